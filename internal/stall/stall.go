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

// ErrStalled means that no bytes arrived before a timeout.
var ErrStalled = errors.New("no bytes came for too long")

// Timeouts are the time limits of a transfer.
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
// the link is full of discarded data. The only visible symptoms are a busy link and data
// that become ever more outdated. An idle timeout distinguishes a dead connection
// from a slow one regardless of the size.
type Watchdog struct {
	clock    clockwork.Clock
	idle     time.Duration
	deadline time.Time
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer clockwork.Timer
}

// New returns a context that is canceled with ErrStalled as its cause when a timeout
// expires, and the watchdog that tracks the received bytes. Close must be called.
func New(parent context.Context, clock clockwork.Clock, timeouts Timeouts) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &Watchdog{clock: clock, idle: timeouts.Idle, deadline: clock.Now().Add(timeouts.Total), cancel: cancel}
	w.timer = clock.AfterFunc(timeouts.FirstByte, func() { cancel(ErrStalled) })
	return ctx, w
}

// Reader returns a reader that resets the idle timeout whenever it reads bytes from r.
func (w *Watchdog) Reader(r io.Reader) io.Reader {
	return reader{source: r, watchdog: w}
}

// Close stops the timer and cancels the context.
func (w *Watchdog) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.cancel(context.Canceled)
}

func (w *Watchdog) resetTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(max(0, min(w.idle, w.deadline.Sub(w.clock.Now()))))
}

type reader struct {
	source   io.Reader
	watchdog *Watchdog
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.watchdog.resetTimer()
	}
	return n, err
}
