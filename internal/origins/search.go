package origins

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/origin"
)

const (
	// askTimeout is how long other daemons are waited for when a caller comes back.
	askTimeout = 200 * time.Millisecond
	// viewTimeout is how long a caller that came back waits until the view covers the time of its return,
	// and the age from which a view is not waited for. viewPoll is the time between two looks at its age.
	viewTimeout = 1500 * time.Millisecond
	viewPoll    = 25 * time.Millisecond
	// maxAwaited is the number of daemons that are asked for evidence from a current view.
	maxAwaited = 8
	// maxAwaiting is the number of callers in viewTimeout on whose behalf others are asked so. Each takes up
	// one of the few calls that a daemon handles for another one at a time. For further callers this daemon's
	// own view counts.
	maxAwaiting = 4
)

// Find returns where a stream began that may have begun in one of the pools. It reports false if nobody
// knows: then the stream must not go on.
func (r *Registry) Find(ctx context.Context, key origin.Key, pools []string) (origin.Origin, bool) {
	return r.find(ctx, recordID{key: key}, pools)
}

// FindWork is like Find for the only stream of a work.
func (r *Registry) FindWork(ctx context.Context, work origin.Key, pools []string) (origin.Origin, bool) {
	return r.find(ctx, recordID{work, true}, pools)
}

func (r *Registry) find(ctx context.Context, id recordID, pools []string) (origin.Origin, bool) {
	own := r.evidence(id, pools, false)
	if own.Found && !id.ofWork {
		r.metrics.foundHere.Inc(1)
		return own.Origin, true
	}
	o, recorded, ok := r.search(ctx, id, pools, own)
	switch {
	case !ok:
		r.metrics.unknown.Inc(1)
	case recorded:
		r.metrics.foundElsewhere.Inc(1)
	default:
		r.metrics.only.Inc(1)
	}
	return o, ok
}

// search asks other daemons. Without a record the stream goes on only if it can have begun at one version
// of one pool, whatever daemon began it.
func (r *Registry) search(ctx context.Context, id recordID, pools []string, own origin.Evidence) (o origin.Origin, recorded, ok bool) {
	arrived := r.deps.Clock.Now()
	evidence, recorded := r.ask(ctx, id, pools)
	recorded = recorded || own.Found || own.Conflicting
	infer := origin.Infer
	if id.ofWork {
		infer = origin.InferWork
	}
	if recorded {
		o, ok = infer(pools, append(evidence, own))
	} else if current, found := r.awaitCurrent(ctx, arrived, id, pools); found {
		recorded = current.Found
		o, ok = infer(pools, append(evidence, current, r.evidence(id, pools, false)))
	}
	r.deps.Log.Info("origin of stream searched", zap.Uint64("key", uint64(id.key)), zap.Bool("of_work", id.ofWork), zap.Bool("found", ok),
		zap.Bool("recorded", recorded), zap.String("pool", o.Pool), zap.String("version", o.Version), zap.Strings("pools", pools),
		zap.Int("answers", len(evidence)), zap.Duration("view_age", r.deps.Freshness.Age()), zap.Duration("took", r.deps.Clock.Since(arrived)))
	return o, recorded, ok
}

// awaitView waits until the view shows all that was in use at the given time. It reports false if that
// takes too long, at once if the store is out of reach.
func (r *Registry) awaitView(ctx context.Context, at time.Time) bool {
	for {
		age, elapsed := r.deps.Freshness.Age(), r.deps.Clock.Since(at)
		if age <= elapsed {
			return true
		}
		if elapsed >= viewTimeout || age > elapsed+viewTimeout {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-r.deps.Clock.After(viewPoll):
		}
	}
}

// ask returns the evidence of other daemons. recorded is true if one of them has a record. The others are not
// waited for then, unless it is that of a work, which others may contradict.
func (r *Registry) ask(ctx context.Context, id recordID, pools []string) (all []origin.Evidence, recorded bool) {
	if r.deps.Peers == nil || id.key == 0 {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	candidates := r.candidates(id)
	results := r.askEach(ctx, candidates, findRequest{Key: uint64(id.key), OfWork: id.ofWork, Pools: pools})
	for range candidates {
		f := <-results
		if f == nil {
			continue // a daemon that does not answer may still have a record
		}
		all = append(all, f.evidence())
		recorded = recorded || f.Found || f.Conflicting
		if recorded && !id.ofWork {
			break
		}
	}
	return all, recorded
}

// askEach calls daemons at the same time. It sends a response, or nil, for each of them.
func (r *Registry) askEach(ctx context.Context, members []fireflypath.Member, req findRequest) <-chan *findResponse {
	results := make(chan *findResponse, len(members))
	for _, m := range members {
		go func() {
			var response findResponse
			if r.deps.Peers.Call(ctx, m, methodFind, req, &response) != nil {
				results <- nil
				return
			}
			results <- &response
		}()
	}
	return results
}

// awaitCurrent returns the evidence of the first daemon, this one or another, whose view shows all that was
// in use at the given time, and that has seen all since streams may have begun that come back.
func (r *Registry) awaitCurrent(ctx context.Context, at time.Time, id recordID, pools []string) (origin.Evidence, bool) {
	remaining := viewTimeout - r.deps.Clock.Since(at)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	own := make(chan bool, 1)
	go func() { own <- r.awaitView(ctx, at) }()
	var others <-chan *findResponse
	pending := 0
	if r.deps.Peers != nil && r.startAwaiting(remaining) {
		candidates := r.candidates(id)
		candidates = candidates[:min(len(candidates), maxAwaited)]
		pending = len(candidates)
		others = r.askEach(ctx, candidates, findRequest{Key: uint64(id.key), OfWork: id.ofWork, Pools: pools, Await: true})
	}
	for waiting := true; waiting || pending > 0; {
		select {
		case ok := <-own:
			if e := r.evidence(id, pools, ok); ok && e.Complete {
				return e, true
			}
			waiting = false
		case f := <-others:
			if f != nil && f.Current && f.Complete {
				return f.evidence(), true
			}
			pending--
		}
	}
	return origin.Evidence{}, false
}

// startAwaiting reports whether others may be asked for a current view on behalf of one more caller. They may
// be busy with it for the given time, also if the caller leaves.
func (r *Registry) startAwaiting(d time.Duration) bool {
	select {
	case r.awaiting <- struct{}{}:
		r.deps.Clock.AfterFunc(d, func() { <-r.awaiting })
		return true
	default:
		return false
	}
}

// candidates returns the daemons that are asked, the likeliest to have a record first. Those without a key
// have none, and any daemons will do.
func (r *Registry) candidates(id recordID) []fireflypath.Member {
	key := id.key
	if key == 0 {
		key = origin.Key(rand.Uint64())
	}
	return origin.Candidates(r.deps.Members.Live(), r.deps.Self, key)
}

// evidence returns what this daemon knows. current is true if its view is later than the question.
func (r *Registry) evidence(id recordID, pools []string, current bool) origin.Evidence {
	now := r.deps.Clock.Now()
	current = current || r.isFresh() // read first, so that it is not that of a later configuration
	r.observe(r.deps.Configs.Current())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	var e origin.Evidence
	if id.ofWork {
		e = r.works.Find(id.key)
	} else {
		e = r.table.Find(id.key)
	}
	e.Complete = current && r.history.Complete(now)
	e.Settled = len(pools) > 0
	for _, pool := range pools {
		e.Settled = e.Settled && r.history.Settled(now, pool)
		e.Versions = append(e.Versions, r.history.Versions(now, pool)...)
		e.Pools = append(e.Pools, r.history.Related(now, pool)...)
	}
	return e
}

// handleFind returns this daemon's evidence.
func (r *Registry) handleFind(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	received := r.deps.Clock.Now()
	var req findRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode a search for a stream")
	}
	current := req.Await && r.awaitView(ctx, received)
	e := r.evidence(recordID{origin.Key(req.Key), req.OfWork}, req.Pools, current)
	return findResponse{
		Found: e.Found, Conflicting: e.Conflicting, Pool: e.Origin.Pool, Version: e.Origin.Version,
		Versions: e.Versions, Pools: e.Pools, Complete: e.Complete, Settled: e.Settled, Current: current,
	}, nil
}
