// Package claim claims idempotency keys in the platform's key-value store, so that work that
// must not be repeated runs at most once.
//
// The claims are spread over a fixed number of documents. A daemon batches the operations on a
// document and writes it by compare-and-swap.
package claim

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
)

const (
	// Retention is how long a key stays claimed. Callers retry within minutes. The documents
	// hold 800,000 claims, which is an hour at 220 claims a second.
	Retention = time.Hour
	// shardCount is the number of documents. Each compare-and-swap writes a whole document, so
	// that fewer documents make larger writes, and more documents make smaller batches. With
	// 64, a burst of 200 claims takes at most 64 writes. The store takes several hundred
	// writes a second.
	shardCount = 64
	// keyPrefix is the prefix of the documents' keys in the store.
	keyPrefix = "claims/"

	minBackoff = 20 * time.Millisecond
	// maxBackoff limits the calls to a store that is down to about one a second for each
	// document.
	maxBackoff = time.Second
	// callTimeout bounds the read and the write of one batch.
	callTimeout = 2 * time.Second
)

// Errors of Claims.Claim. After them, unlike after a HeldError, the key remains available to
// the caller.
var (
	// ErrUnavailable means that the store did not confirm the claim in time.
	ErrUnavailable = errors.New("key could not be claimed in time")
	// ErrFull means that the document of the key has no room for another claim.
	ErrFull = errors.New("no room for another claim")
)

// HeldError means that another request holds the key.
type HeldError struct {
	// Holder is the ID of that request.
	Holder string
}

// Error implements error.
func (e *HeldError) Error() string {
	return "key is held by request " + e.Holder
}

// Claims claims keys for one daemon. Operations that arrive while a batch of their document is
// in progress form the next batch.
type Claims struct {
	store fireflypath.Store
	clock clockwork.Clock

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup

	mu     sync.Mutex
	closed bool
	shards [shardCount]shard
}

// New returns Claims that are kept in the store.
func New(store fireflypath.Store, clock clockwork.Clock) *Claims {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claims{store: store, clock: clock, ctx: ctx, cancel: cancel}
}

// Claim claims the team's key for a request. It returns nil once the store has confirmed that
// the request holds the key. While the store is unavailable it retries until the deadline or
// the end of the context.
func (c *Claims) Claim(ctx context.Context, team, key, requestID string, deadline time.Time) error {
	o := &operation{keyHash: hashKey(team, key), requestID: requestID, result: make(chan error, 1)}
	c.enqueue(o)
	timer := c.clock.NewTimer(deadline.Sub(c.clock.Now()))
	defer timer.Stop()
	var err error
	select {
	case err = <-o.result:
		return err
	case <-timer.Chan():
		err = ErrUnavailable
	case <-ctx.Done():
		err = errors.Mark(ctx.Err(), ErrUnavailable)
	}
	if o.state.CompareAndSwap(statePending, stateAbandoned) {
		return err
	}
	return <-o.result
}

// Release releases the key if the request holds it. It does not wait for the store.
func (c *Claims) Release(team, key, requestID string) {
	c.enqueue(&operation{keyHash: hashKey(team, key), requestID: requestID, release: true, result: make(chan error, 1)})
}

// Abort fails all claims that the store has not confirmed.
func (c *Claims) Abort() {
	c.cancel()
}

// Close rejects new operations and waits for the pending ones until the context ends.
func (c *Claims) Close(ctx context.Context) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	defer c.cancel()
	stop := context.AfterFunc(ctx, c.cancel)
	defer stop()
	c.goroutines.Wait()
}

// States of an operation.
const (
	statePending uint32 = iota
	stateCompleted
	stateAbandoned
)

// operation is a claim or a release that the store has not confirmed.
//
// A claim whose request has stopped waiting may be in the store, because a write whose
// response is lost can take effect. If it stayed there, a retry by the caller would be refused
// although the request never ran. An abandoned claim is therefore processed as a release,
// unless no write was attempted.
type operation struct {
	keyHash   string
	requestID string
	release   bool
	// state changes once: to completed by the goroutine that commits, or to abandoned by the
	// request.
	state atomic.Uint32
	// writeAttempted is true once a write of a batch with the operation was attempted.
	writeAttempted bool
	// result receives the result of a completed operation.
	result chan error
}

// isRelease reports whether the operation is a release or an abandoned claim.
func (o *operation) isRelease() bool {
	return o.release || o.state.Load() == stateAbandoned
}

// complete delivers the result. It reports false if the request has abandoned the operation.
func (o *operation) complete(result error) bool {
	if o.state.CompareAndSwap(statePending, stateCompleted) {
		o.result <- result
		return true
	}
	return false
}

// enqueue adds the operation to the queue of its document and starts a goroutine to commit it
// if none is running.
func (c *Claims) enqueue(o *operation) {
	n := int(xxhash.Sum64String(o.keyHash) % shardCount)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		o.result <- ErrUnavailable
		return
	}
	s := &c.shards[n]
	s.pending = append(s.pending, o)
	if !s.committing {
		s.committing = true
		c.goroutines.Go(func() { c.commitBatches(n) })
	}
}

// nextBatch appends the pending operations to the batch and removes abandoned claims that were
// never written. It reports false if the batch is empty; the next operation then starts a new
// goroutine.
func (c *Claims) nextBatch(n int, batch []*operation) ([]*operation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.shards[n]
	batch = slices.DeleteFunc(append(batch, s.pending...), func(o *operation) bool {
		return o.state.Load() == stateAbandoned && !o.writeAttempted
	})
	s.pending = nil
	s.inFlight = len(batch)
	if len(batch) == 0 {
		s.committing = false
	}
	return batch, len(batch) > 0
}

// Pending returns the number of claims and releases that the store has not confirmed.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for i := range c.shards {
		sum += len(c.shards[i].pending) + c.shards[i].inFlight
	}
	return sum
}
