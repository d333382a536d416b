package pool

import (
	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// runningRequest is a dispatched request that has not ended, and its target.
type runningRequest struct {
	request *request.Request
	target  string
}

// OpenRequests appends a record of each waiting or running request that matches,
// for operators. It reads only fields that no longer change; the others belong to
// the request's goroutine.
func (p *Pool) OpenRequests(match func(*fireflypath.Work) bool, out []fireflypath.Record) []fireflypath.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w, r := range p.waiting {
		if match(w) {
			out = append(out, openRecord(r))
		}
	}
	for w, run := range p.running {
		if !match(w) {
			continue
		}
		rec := openRecord(run.request)
		rec.Target, rec.Dispatched = run.target, run.request.Sent
		out = append(out, rec)
	}
	return out
}

func openRecord(r *request.Request) fireflypath.Record {
	w := &r.Work
	return fireflypath.Record{
		ID: w.ID, Team: w.Team, Tier: w.Tier, Pool: w.Pool, Arrived: w.Arrived, Deadline: w.Deadline,
		Cost: w.Cost, Generation: r.Config.Generation, State: w.Lifecycle.State().String(),
	}
}

// endsRequest reports whether a request no longer runs after an event of the kind.
func endsRequest(kind fireflypath.EventKind) bool {
	switch kind {
	case fireflypath.EventDone, fireflypath.EventFailed, fireflypath.EventRefused, fireflypath.EventUnsent:
		return true
	default:
		return false
	}
}
