// Package disconnect detects callers that close their connection while their request is in
// progress.
package disconnect

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// pollInterval is the time between two checks of all connections. Requests that end between
// two checks cost none. A disconnect frees the request's place at most this much later.
const pollInterval = 50 * time.Millisecond

// Watcher polls the sockets of requests that are in progress.
//
// The server library reads nothing while a request is in progress, so a disconnect would be
// noticed only when the response is written. Until then the request would wait, be dispatched
// and run for nobody. Polling for POLLRDHUP tells that the caller closed the connection, without
// reading bytes of its next request.
type Watcher struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	watches map[*Watch]struct{}
}

// Socket is a connection that gives access to its socket.
type Socket interface {
	Raw() syscall.RawConn
}

// Watch is one watched connection.
type Watch struct {
	raw          syscall.RawConn
	onDisconnect func()
}

// New returns a Watcher without connections.
func New(clock clockwork.Clock) *Watcher {
	return &Watcher{clock: clock, watches: map[*Watch]struct{}{}}
}

// Add watches the connection, if it is a Socket, and calls onDisconnect once if the caller
// closes it. It returns nil for other connections.
func (w *Watcher) Add(c net.Conn, onDisconnect func()) *Watch {
	s, ok := c.(Socket)
	if !ok || s.Raw() == nil {
		return nil
	}
	watch := &Watch{raw: s.Raw(), onDisconnect: onDisconnect}
	w.mu.Lock()
	w.watches[watch] = struct{}{}
	w.mu.Unlock()
	return watch
}

// Remove ends a watch, which may be nil.
func (w *Watcher) Remove(watch *Watch) {
	if watch == nil {
		return
	}
	w.mu.Lock()
	delete(w.watches, watch)
	w.mu.Unlock()
}

// Run polls the connections until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	t := w.clock.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			w.poll()
		}
	}
}

func (w *Watcher) poll() {
	w.mu.Lock()
	watches := make([]*Watch, 0, len(w.watches))
	for watch := range w.watches {
		watches = append(watches, watch)
	}
	w.mu.Unlock()
	for _, watch := range watches {
		if watch.peerClosed() {
			w.Remove(watch)
			watch.onDisconnect()
		}
	}
}

// DisconnectAll treats all callers as disconnected.
func (w *Watcher) DisconnectAll() {
	w.mu.Lock()
	watches := make([]*Watch, 0, len(w.watches))
	for watch := range w.watches {
		watches = append(watches, watch)
	}
	clear(w.watches)
	w.mu.Unlock()
	for _, watch := range watches {
		watch.onDisconnect()
	}
}

func (w *Watch) peerClosed() bool {
	closed := false
	err := w.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}
