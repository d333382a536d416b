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

// most bounds the refusals remembered in each of two maps, of about 40 bytes
// an entry: at the peak's 57 requests a second all of them, refused for four
// minutes, fit in.
const most = 16 << 10

// Early is a step that marks the work of impatient callers, for the scheduler
// to weigh. A request is known by its team, path and body, because callers
// send the same again; it carries nothing else that tells.
type Early struct {
	clock clockwork.Clock

	mu sync.Mutex
	// until maps a request to when it may come back. The older map is dropped
	// when the younger one is full.
	until, older map[uint64]time.Time
}

// New returns the step.
func New(clock clockwork.Clock) *Early {
	return &Early{clock: clock, until: map[uint64]time.Time{}}
}

// String names the step.
func (*Early) String() string {
	return "early"
}

// Run sets Work.Early.
func (e *Early) Run(_ context.Context, r *request.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.until) == 0 && len(e.older) == 0 {
		return nil
	}
	k := key(r)
	t, ok := e.until[k]
	if !ok {
		t = e.older[k]
	}
	r.Work.Early = r.Work.Arrived.Before(t)
	return nil
}

// Refused remembers a refusal that gave a time.
func (e *Early) Refused(r *request.Request, ref *fireflypath.Refusal) {
	if ref.RetryAfter <= 0 || r.Team == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.until) >= most {
		e.older, e.until = e.until, make(map[uint64]time.Time, most)
	}
	e.until[key(r)] = e.clock.Now().Add(ref.RetryAfter)
}

func key(r *request.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Team.Name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(r.Inbound.Path)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(r.Inbound.Body)
	return d.Sum64()
}
