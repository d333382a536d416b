// Package departures notices callers that close their connection while their request is held.
package departures

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// every is the time between two looks. Requests that end sooner cost none; a
// caller's leaving frees its place at most this much later.
const every = 50 * time.Millisecond

// Watcher looks at the sockets of held requests.
//
// The server library reads nothing while a request is held, so a caller that
// left would be noticed only when its answer is written. Until then its work
// would wait, be dispatched and run for nobody. The kernel knows: POLLRDHUP
// tells that the other side has closed, and reads no byte of a next request.
type Watcher struct {
	clock clockwork.Clock
	mu    sync.Mutex
	held  map[*Watch]struct{}
}

// Socket is a connection that knows the socket below it.
type Socket interface {
	Raw() syscall.RawConn
}

// Watch is one request whose caller is watched.
type Watch struct {
	raw  syscall.RawConn
	left func()
}

// New returns Departures that watch nobody.
func New(clock clockwork.Clock) *Watcher {
	return &Watcher{clock: clock, held: map[*Watch]struct{}{}}
}

// Add watches the connection, if it is a Socket, and calls left once if the caller closes it.
func (d *Watcher) Add(c net.Conn, left func()) *Watch {
	s, ok := c.(Socket)
	if !ok || s.Raw() == nil {
		return nil
	}
	h := &Watch{raw: s.Raw(), left: left}
	d.mu.Lock()
	d.held[h] = struct{}{}
	d.mu.Unlock()
	return h
}

// Remove ends the watch; nil is allowed.
func (d *Watcher) Remove(h *Watch) {
	if h == nil {
		return
	}
	d.mu.Lock()
	delete(d.held, h)
	d.mu.Unlock()
}

// Run looks until the context ends.
func (d *Watcher) Run(ctx context.Context) {
	t := d.clock.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			d.look()
		}
	}
}

func (d *Watcher) look() {
	d.mu.Lock()
	held := make([]*Watch, 0, len(d.held))
	for h := range d.held {
		held = append(held, h)
	}
	d.mu.Unlock()
	for _, h := range held {
		if h.closed() {
			d.Remove(h)
			h.left()
		}
	}
}

// DisconnectAll treats all callers as gone.
func (d *Watcher) DisconnectAll() {
	d.mu.Lock()
	held := make([]*Watch, 0, len(d.held))
	for h := range d.held {
		held = append(held, h)
	}
	clear(d.held)
	d.mu.Unlock()
	for _, h := range held {
		h.left()
	}
}

func (h *Watch) closed() bool {
	closed := false
	err := h.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}
