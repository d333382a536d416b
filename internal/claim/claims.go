// Package claim keeps idempotency keys in the platform's store, so that work that may not be repeated runs at most once.
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
	// Retention is how long a key stays claimed after its dispatch. Callers
	// retry within minutes; the shards hold 800,000 claims, which is an hour of
	// 220 a second.
	Retention = time.Hour
	// shards is the number of documents. One compare-and-swap writes a whole
	// one, so few make large writes and many leave little to group: with 64, a
	// burst of 200 claims is 64 writes at most, within the several hundred a
	// second that the service takes.
	shards = 64
	// Prefix is where the documents are.
	Prefix = "claims/"

	firstPause = 20 * time.Millisecond
	// lastPause bounds the calls to a service that is down to one a second and shard.
	lastPause = time.Second
	// callTime bounds one call to the store.
	callTime = 2 * time.Second
)

// Errors of claims. All but ErrHeld leave the key free for this caller.
var (
	// ErrUnavailable means that the claim could not be settled in time.
	ErrUnavailable = errors.New("key could not be claimed in time")
	// ErrFull means that the key's shard holds as many claims as fit.
	ErrFull = errors.New("no room for another claim")
)

// HeldError means that another request holds the key.
type HeldError struct {
	// Holder is that request's id.
	Holder string
}

// Error names the holder.
func (e *HeldError) Error() string {
	return "key is held by request " + e.Holder
}

// Claims claims keys for one daemon. Claims that come while a write of their
// shard is under way go into the next one together.
type Claims struct {
	store fireflypath.Store
	clock clockwork.Clock

	ctx    context.Context
	cancel context.CancelFunc
	work   conc.WaitGroup

	mu     sync.Mutex
	closed bool
	shards [shards]shard
}

// New returns Claims in the store.
func New(store fireflypath.Store, clock clockwork.Clock) *Claims {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claims{store: store, clock: clock, ctx: ctx, cancel: cancel}
}

// Claim takes the team's key for the request id. A nil error means that it is
// held for that request, confirmed by the store. It waits while the store is
// down, until the deadline or the end of the context.
func (c *Claims) Claim(ctx context.Context, team, key, id string, deadline time.Time) error {
	o := &op{hash: hash(team, key), nonce: id, done: make(chan error, 1)}
	c.submit(o)
	timer := c.clock.NewTimer(deadline.Sub(c.clock.Now()))
	defer timer.Stop()
	var err error
	select {
	case err = <-o.done:
		return err
	case <-timer.Chan():
		err = ErrUnavailable
	case <-ctx.Done():
		err = errors.Mark(ctx.Err(), ErrUnavailable)
	}
	if o.fate.CompareAndSwap(open, abandoned) {
		return err
	}
	return <-o.done
}

// Release frees the key if the request holds it. It returns at once; the
// store is told as soon as it answers.
func (c *Claims) Release(team, key, id string) {
	c.submit(&op{hash: hash(team, key), nonce: id, release: true, done: make(chan error, 1)})
}

// Abort ends the wait of all claims that the store has not confirmed.
func (c *Claims) Abort() {
	c.cancel()
}

// Close waits for what is under way until the context ends.
func (c *Claims) Close(ctx context.Context) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	defer c.cancel()
	stop := context.AfterFunc(ctx, c.cancel)
	defer stop()
	c.work.Wait()
}

// The fates of an op.
const (
	open uint32 = iota
	settled
	abandoned
)

// op is a claim or a release on its way to the store.
//
// A claim that its request gave up on may have reached the store, or may yet:
// a write whose answer is lost can take effect. Left there, it would refuse
// the caller's retry of a request that never ran. So it turns into a release,
// unless no write was tried.
type op struct {
	hash    string
	nonce   string
	release bool
	// fate is changed once, by the request or by the commit.
	fate atomic.Uint32
	// written is true once a write with the claim was tried.
	written bool
	// done gets one result.
	done chan error
}

// undo reports whether the claim is to be taken back.
func (o *op) undo() bool {
	return o.release || o.fate.Load() == abandoned
}

// settle hands the result over. It reports false if the request has given up
// on a claim that is now held.
func (o *op) settle(result error) bool {
	if o.fate.CompareAndSwap(open, settled) {
		o.done <- result
		return true
	}
	return false
}

func (c *Claims) submit(o *op) {
	n := int(xxhash.Sum64String(o.hash) % shards)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		o.done <- ErrUnavailable
		return
	}
	s := &c.shards[n]
	s.pending = append(s.pending, o)
	if !s.busy {
		s.busy = true
		c.work.Go(func() { c.commit(n) })
	}
}

// take moves what is pending to the batch. It reports false, and lets the next
// submit start a new commit, if there is nothing to do.
func (c *Claims) take(n int, batch []*op) ([]*op, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.shards[n]
	batch = slices.DeleteFunc(append(batch, s.pending...), func(o *op) bool {
		return o.fate.Load() == abandoned && !o.written
	})
	s.pending = nil
	s.trying = len(batch)
	if len(batch) == 0 {
		s.busy = false
	}
	return batch, len(batch) > 0
}

// Pending is the number of claims and releases that the store has not confirmed.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for i := range c.shards {
		sum += len(c.shards[i].pending) + c.shards[i].trying
	}
	return sum
}
