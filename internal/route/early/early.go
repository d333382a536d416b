// Package early detects requests that are retried before the Retry-After time of
// their refusal.
package early

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// maxEntries bounds each of the two maps of refusals, at about 40 bytes per entry.
// It holds all refusals of four minutes even if every request is refused at the
// peak rate of 57 requests per second.
const maxEntries = 16 << 10

// Early is the step that marks requests of callers that retry too early, for the
// scheduler to consider. A retry is recognised by its team, path and body, because
// callers send the same request again without any other mark.
type Early struct {
	clock clockwork.Clock

	mu sync.Mutex
	// allowedAt maps the hash of a refused request to the time from which it may be
	// retried. When it is full it replaces olderAllowedAt, which is dropped.
	allowedAt, olderAllowedAt map[uint64]time.Time
}

// New returns the step.
func New(clock clockwork.Clock) *Early {
	return &Early{clock: clock, allowedAt: map[uint64]time.Time{}}
}

// String returns the name of the step.
func (*Early) String() string {
	return "early"
}

// Run sets Work.RetriedEarly.
func (e *Early) Run(_ context.Context, r *request.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.allowedAt) == 0 && len(e.olderAllowedAt) == 0 {
		return nil
	}
	k := requestHash(r)
	t, ok := e.allowedAt[k]
	if !ok {
		t = e.olderAllowedAt[k]
	}
	r.Work.RetriedEarly = r.Work.Arrived.Before(t)
	return nil
}

// RecordRefusal records the time from which a refused request may be retried, if
// the refusal has one.
func (e *Early) RecordRefusal(r *request.Request, refusal *fireflypath.Refusal) {
	if refusal.RetryAfter <= 0 || r.Team == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.allowedAt) >= maxEntries {
		e.olderAllowedAt, e.allowedAt = e.allowedAt, make(map[uint64]time.Time, maxEntries)
	}
	e.allowedAt[requestHash(r)] = e.clock.Now().Add(refusal.RetryAfter)
}

func requestHash(r *request.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Team.Name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(r.Inbound.Path)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(r.Inbound.Body)
	return d.Sum64()
}
