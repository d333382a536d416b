// Package early recognises requests that come back before the time that their refusal gave.
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

// maxEntries bounds the refusals remembered in each of two maps, of about 40 bytes
// an entry: at the peak's 57 requests a second all of them, refused for four
// minutes, fit in.
const maxEntries = 16 << 10

// Early is a step that marks the work of impatient callers, for the scheduler
// to weigh. A request is known by its team, path and body, because callers
// send the same again; it carries nothing else that tells.
type Early struct {
	clock clockwork.Clock

	mu sync.Mutex
	// allowedAt maps a request to when it may come back. The older map is dropped
	// when the younger one is full.
	allowedAt, olderAllowedAt map[uint64]time.Time
}

// New returns the step.
func New(clock clockwork.Clock) *Early {
	return &Early{clock: clock, allowedAt: map[uint64]time.Time{}}
}

// String names the step.
func (*Early) String() string {
	return "early"
}

// Run sets Work.Early.
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
	r.Work.Early = r.Work.Arrived.Before(t)
	return nil
}

// RecordRefusal remembers a refusal that gave a time.
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
