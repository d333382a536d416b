// Package departures notices callers that close their connection while their request is held.
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

// pollInterval is the time between two looks. Requests that end sooner cost none; a
// caller's leaving frees its place at most this much later.
const pollInterval = 50 * time.Millisecond

// Watcher looks at the sockets of held requests.
//
// The server library reads nothing while a request is held, so a caller that
// left would be noticed only when its answer is written. Until then its work
// would wait, be dispatched and run for nobody. The kernel knows: POLLRDHUP
// tells that the other side has closed, and reads no byte of a next request.
type Watcher struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	watches map[*Watch]struct{}
}

// Socket is a connection that knows the socket below it.
type Socket interface {
	Raw() syscall.RawConn
}

// Watch is one request whose caller is watched.
type Watch struct {
	raw          syscall.RawConn
	onDisconnect func()
}

// New returns Departures that watch nobody.
func New(clock clockwork.Clock) *Watcher {
	return &Watcher{clock: clock, watches: map[*Watch]struct{}{}}
}

// Add watches the connection, if it is a Socket, and calls left once if the caller closes it.
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

// Remove ends the watch; nil is allowed.
func (w *Watcher) Remove(watch *Watch) {
	if watch == nil {
		return
	}
	w.mu.Lock()
	delete(w.watches, watch)
	w.mu.Unlock()
}

// Run looks until the context ends.
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
	held := make([]*Watch, 0, len(w.watches))
	for h := range w.watches {
		held = append(held, h)
	}
	w.mu.Unlock()
	for _, h := range held {
		if h.peerClosed() {
			w.Remove(h)
			h.onDisconnect()
		}
	}
}

// DisconnectAll treats all callers as gone.
func (w *Watcher) DisconnectAll() {
	w.mu.Lock()
	held := make([]*Watch, 0, len(w.watches))
	for h := range w.watches {
		held = append(held, h)
	}
	clear(w.watches)
	w.mu.Unlock()
	for _, h := range held {
		h.onDisconnect()
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
