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

// shard is one document's queue at this daemon.
type shard struct {
	pending []*op
	// trying is the size of the batch under way.
	trying int
	// busy is true while a goroutine commits.
	busy bool
}

// document is a shard's value in the store.
type document struct {
	Claims []entry `json:"claims"`
}

// entry is one claim.
type entry struct {
	// Hash stands for team and key.
	Hash string `json:"h"`
	// Nonce is the id of the request that holds the key.
	Nonce string `json:"n"`
	// At is when it was claimed, in Unix seconds.
	At int64 `json:"t"`
}

// hash shortens team and key to 128 bits: two keys out of a million meet with
// a chance of 10^-27, and the document holds no caller's words.
func hash(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

func name(n int) string {
	return fmt.Sprintf("%s%02d", Prefix, n)
}

// commit writes batches until nothing is pending.
func (c *Claims) commit(n int) {
	var batch []*op
	pause := firstPause
	for {
		var any bool
		if batch, any = c.take(n, batch); !any {
			return
		}
		left, err := c.attempt(n, batch)
		if err == nil {
			batch = left
			pause = firstPause
			continue
		}
		if c.wait(pause) != nil {
			c.give(n, batch)
			return
		}
		if !errors.Is(err, fireflypath.ErrConflict) {
			pause = min(2*pause, lastPause)
		}
	}
}

// give ends a commit that cannot go on.
func (c *Claims) give(n int, batch []*op) {
	batch, _ = c.take(n, batch)
	c.mu.Lock()
	c.shards[n].busy = false
	c.mu.Unlock()
	for _, o := range batch {
		o.settle(ErrUnavailable)
	}
}

// wait pauses for a random part of d, so that daemons that met at one document
// do not meet again.
func (c *Claims) wait(d time.Duration) error {
	select {
	case <-c.clock.After(d/2 + rand.N(d/2)):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// attempt reads the document, and writes it if the batch changes it.
//
// A write's answer can be lost although the write took effect. The next
// attempt reads the document again: a claim with the request's own nonce is
// there if it did, and the write's revision is outdated if it did not.
func (c *Claims) attempt(n int, batch []*op) (left []*op, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	var doc document
	e, err := c.store.Get(ctx, name(n))
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
			o.written = true
		}
		if err := c.put(ctx, n, &doc, e.Revision); err != nil {
			return nil, errors.Wrap(err, "write claims")
		}
	}
	for i, o := range batch {
		if !o.settle(results[i]) && doc.holds(o) {
			left = append(left, o)
		}
	}
	return left, nil
}

// holds reports whether the claim is in the document.
func (d *document) holds(o *op) bool {
	return slices.ContainsFunc(d.Claims, func(e entry) bool {
		return e.Hash == o.hash && e.Nonce == o.nonce
	})
}

func (c *Claims) put(ctx context.Context, n int, doc *document, revision uint64) error {
	value, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	_, err = c.store.Put(ctx, name(n), value, revision, 0)
	return err
}

// maxEntries fit into one value: an entry is at most 22 bytes of hash, 59 of
// nonce (a daemon's name of 32 and a ULID), 10 of time and 24 of JSON.
const maxEntries = fireflypath.MaxValue/(22+59+10+24) - 1

// apply runs the batch on the document in its order.
func (d *document) apply(batch []*op, now time.Time) (results []error, changed bool) {
	changed = d.expire(now)
	index := make(map[string]int, len(d.Claims))
	for i, e := range d.Claims {
		index[e.Hash] = i
	}
	results = make([]error, len(batch))
	gone := map[int]bool{}
	for i, o := range batch {
		at, found := index[o.hash]
		found = found && !gone[at]
		undo := o.undo()
		switch {
		case undo && found && d.Claims[at].Nonce == o.nonce:
			gone[at] = true
			changed = true
		case undo:
		case found && d.Claims[at].Nonce == o.nonce:
		case found:
			results[i] = &HeldError{Holder: d.Claims[at].Nonce}
		case len(d.Claims) >= maxEntries:
			results[i] = ErrFull
		default:
			index[o.hash] = len(d.Claims)
			d.Claims = append(d.Claims, entry{Hash: o.hash, Nonce: o.nonce, At: now.Unix()})
			changed = true
		}
	}
	d.drop(gone)
	return results, changed
}

// expire drops old claims. They are in the order in which they were made, but
// for the skew between daemons' clocks.
func (d *document) expire(now time.Time) bool {
	oldest := now.Add(-Retention).Unix()
	n := 0
	for n < len(d.Claims) && d.Claims[n].At < oldest {
		n++
	}
	d.Claims = d.Claims[n:]
	return n > 0
}

func (d *document) drop(gone map[int]bool) {
	if len(gone) == 0 {
		return
	}
	kept := d.Claims[:0]
	for i, e := range d.Claims {
		if !gone[i] {
			kept = append(kept, e)
		}
	}
	d.Claims = kept
}
