// Package writeback writes what daemons had written to the platform's store and a restored store
// lacks.
package writeback

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// callTimeout bounds one write, retryPause is the pause after one that failed.
	callTimeout = time.Second
	retryPause  = 500 * time.Millisecond
	// maxAttempts is how often a write is tried. A store that was just restored may be slow or turn
	// calls away for some seconds.
	maxAttempts = 20
)

// Writer writes lost entries. Several daemons may do so at the same time: each write is conditional on
// what the restored store had, so that one succeeds and none replaces a later change.
type Writer struct {
	store  fireflypath.Store
	clock  clockwork.Clock
	log    *zap.Logger
	writes tally.Counter
	queue  chan []directory.LostEntry
}

// New returns a writer, which writes while Run runs.
func New(store fireflypath.Store, clock clockwork.Clock, scope tally.Scope, log *zap.Logger) *Writer {
	return &Writer{
		store: store, clock: clock, log: log, writes: scope.SubScope("writeback").Counter("writes"),
		queue: make(chan []directory.LostEntry, 1),
	}
}

// Write has the entries written. Those of an earlier restore that still wait are dropped: the store
// that they belong to is gone.
func (w *Writer) Write(lost []directory.LostEntry) {
	select {
	case <-w.queue:
	default:
	}
	w.queue <- lost
}

// Run writes until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case lost := <-w.queue:
			for _, e := range lost {
				w.writeEntry(ctx, e)
			}
		}
	}
}

// writeEntry writes one entry, unless another daemon was faster.
func (w *Writer) writeEntry(ctx context.Context, e directory.LostEntry) {
	var err error
	for range maxAttempts {
		err = w.try(ctx, e)
		if err == nil {
			w.log.Info("entry written again to the restored store", zap.String("key", e.Key), zap.Bool("removed", e.Deleted))
			return
		}
		if errors.Is(err, fireflypath.ErrConflict) || ctx.Err() != nil {
			return
		}
		w.clock.Sleep(retryPause)
	}
	w.log.Warn("entry is missing in the restored store", zap.String("key", e.Key), logs.Err(err))
}

func (w *Writer) try(ctx context.Context, e directory.LostEntry) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.writes.Inc(1)
	if e.Deleted {
		return w.store.Delete(ctx, e.Key, e.Found)
	}
	_, err := w.store.Put(ctx, e.Key, e.Value, e.Found, 0)
	return err
}
