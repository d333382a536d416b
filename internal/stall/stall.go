// Package stall aborts transfers that stall, instead of limiting their duration.
package stall

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ErrStalled means that no bytes arrived within a bound.
var ErrStalled = errors.New("no bytes came for too long")

// Timeouts are the timeouts of a transfer.
type Timeouts struct {
	// FirstByte is the longest time until the first bytes.
	FirstByte time.Duration
	// Idle is the longest time without bytes after that.
	Idle time.Duration
	// Total is the longest time for the whole transfer. It is far above what a live
	// connection takes and ends one that delivers single bytes for ever.
	Total time.Duration
}

// Watchdog aborts a transfer that receives no bytes for too long.
//
// A timeout for a whole transfer limits its size: a megabyte takes a second on a link of
// 10 Mbit/s. Aborted after that second and restarted, the transfer never completes, while
// the link is full of discarded data. All that shows from outside is a busy link and data
// that only become more outdated. A timeout for pauses distinguishes a dead connection
// from a slow one regardless of the size.
type Watchdog struct {
	clock    clockwork.Clock
	pause    time.Duration
	deadline time.Time
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer clockwork.Timer
}

// New returns a context that is canceled with ErrStalled as its cause when a bound is
// exceeded, and the guard that tracks the received bytes. Close must be called.
func New(parent context.Context, clock clockwork.Clock, b Timeouts) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	g := &Watchdog{clock: clock, pause: b.Idle, deadline: clock.Now().Add(b.Total), cancel: cancel}
	g.timer = clock.AfterFunc(b.FirstByte, func() { cancel(ErrStalled) })
	return ctx, g
}

// Reader returns a reader that resets the pause timeout whenever it reads bytes from r.
func (g *Watchdog) Reader(r io.Reader) io.Reader {
	return reader{source: r, guard: g}
}

// Close stops the timer and cancels the context.
func (g *Watchdog) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.Stop()
	g.cancel(context.Canceled)
}

func (g *Watchdog) resetTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.Reset(max(0, min(g.pause, g.deadline.Sub(g.clock.Now()))))
}

type reader struct {
	source io.Reader
	guard  *Watchdog
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.guard.resetTimer()
	}
	return n, err
}
