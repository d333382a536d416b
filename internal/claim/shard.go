package claim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// shard is the queue of operations on one document.
type shard struct {
	pending []*operation
	// inFlight is the number of operations in the current batch.
	inFlight int
	// committing is true while a goroutine commits batches of the shard.
	committing bool
}

// document is the value of a shard in the store.
type document struct {
	Claims []entry `json:"claims"`
}

// entry is one claim.
type entry struct {
	// KeyHash identifies the team and the key.
	KeyHash string `json:"h"`
	// RequestID is the ID of the request that holds the key.
	RequestID string `json:"n"`
	// ClaimedAt is the time of the claim, in Unix seconds.
	ClaimedAt int64 `json:"t"`
}

// hashKey hashes team and key to 128 bits. The probability that any two of a million keys
// collide is about 10^-27, and the store holds no text from callers.
func hashKey(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

func documentKey(n int) string {
	return fmt.Sprintf("%s%02d", keyPrefix, n)
}

// commitBatches commits batches until no operation is pending.
func (c *Claims) commitBatches(n int) {
	var batch []*operation
	backoff := minBackoff
	for {
		var ok bool
		if batch, ok = c.nextBatch(n, batch); !ok {
			return
		}
		abandoned, err := c.commitBatch(n, batch)
		if err == nil {
			batch = abandoned
			backoff = minBackoff
			continue
		}
		if c.backOff(backoff) != nil {
			c.failPending(n, batch)
			return
		}
		if !errors.Is(err, fireflypath.ErrConflict) {
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// failPending fails the batch and the pending operations after Abort or Close.
func (c *Claims) failPending(n int, batch []*operation) {
	batch, _ = c.nextBatch(n, batch)
	c.mu.Lock()
	c.shards[n].committing = false
	c.mu.Unlock()
	for _, o := range batch {
		o.complete(ErrUnavailable)
	}
}

// backOff waits for a random time between d/2 and d, so that daemons that conflicted on a
// document don't retry at the same time.
func (c *Claims) backOff(d time.Duration) error {
	select {
	case <-c.clock.After(d/2 + rand.N(d/2)):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// commitBatch reads the document, applies the batch and writes the document if it changed. It
// returns the claims that were abandoned meanwhile and are now held; they must be released.
//
// The response to a write can be lost although the write took effect. The next attempt then
// reads the document again. If the write took effect, the claim is there with the ID of its
// own request. If it is still in flight, it will fail because the next write changes the
// revision. For that, the document is written even if the claim was abandoned meanwhile.
func (c *Claims) commitBatch(n int, batch []*operation) (abandoned []*operation, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	var doc document
	e, err := c.store.Get(ctx, documentKey(n))
	switch {
	case errors.Is(err, fireflypath.ErrNotFound):
	case err != nil:
		return nil, errors.Wrap(err, "read claims")
	default:
		if err := json.Unmarshal(e.Value, &doc); err != nil {
			return nil, errors.Wrap(err, "parse claims")
		}
	}
	results, changed := doc.apply(batch, c.clock.Now())
	if changed {
		for _, o := range batch {
			o.writeAttempted = true
		}
		if err := c.writeDocument(ctx, n, &doc, e.Revision); err != nil {
			return nil, errors.Wrap(err, "write claims")
		}
	}
	for i, o := range batch {
		if !o.complete(results[i]) && doc.contains(o) {
			abandoned = append(abandoned, o)
		}
	}
	return abandoned, nil
}

// contains reports whether the claim is in the document.
func (d *document) contains(o *operation) bool {
	return slices.ContainsFunc(d.Claims, func(e entry) bool {
		return e.KeyHash == o.keyHash && e.RequestID == o.requestID
	})
}

func (c *Claims) writeDocument(ctx context.Context, n int, doc *document, revision uint64) error {
	value, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	_, err = c.store.Put(ctx, documentKey(n), value, revision, 0)
	return err
}

// maxEntries is the number of entries that fit into one value of the store. An entry has at
// most 22 bytes of hash, 59 of request ID (32 of the daemon's name and a ULID), 10 of time and
// 24 of JSON syntax.
const maxEntries = fireflypath.MaxValue/(22+59+10+24) - 1

// apply applies the operations of the batch to the document in order. It returns their results
// and whether the document changed.
func (d *document) apply(batch []*operation, now time.Time) (results []error, changed bool) {
	changed = d.expire(now)
	index := make(map[string]int, len(d.Claims))
	for i, e := range d.Claims {
		index[e.KeyHash] = i
	}
	results = make([]error, len(batch))
	released := map[int]bool{}
	for i, o := range batch {
		pos, found := index[o.keyHash]
		found = found && !released[pos]
		release := o.isRelease()
		switch {
		case release && found && d.Claims[pos].RequestID == o.requestID:
			released[pos] = true
			changed = true
		case release && !found && !o.release && o.writeAttempted:
			// A write of the abandoned claim may still take effect. It cannot after another write.
			changed = true
		case release:
		case found && d.Claims[pos].RequestID == o.requestID:
		case found:
			results[i] = &HeldError{Holder: d.Claims[pos].RequestID}
		case len(d.Claims) >= maxEntries:
			results[i] = ErrFull
		default:
			index[o.keyHash] = len(d.Claims)
			d.Claims = append(d.Claims, entry{KeyHash: o.keyHash, RequestID: o.requestID, ClaimedAt: now.Unix()})
			changed = true
		}
	}
	d.remove(released)
	return results, changed
}

// expire removes claims older than Retention. The claims are ordered by time except for the
// clock skew between daemons.
func (d *document) expire(now time.Time) bool {
	oldest := now.Add(-Retention).Unix()
	n := 0
	for n < len(d.Claims) && d.Claims[n].ClaimedAt < oldest {
		n++
	}
	d.Claims = d.Claims[n:]
	return n > 0
}

// remove removes the claims at the given positions.
func (d *document) remove(released map[int]bool) {
	if len(released) == 0 {
		return
	}
	kept := d.Claims[:0]
	for i, e := range d.Claims {
		if !released[i] {
			kept = append(kept, e)
		}
	}
	d.Claims = kept
}
