package engine

import (
	"context"
	"strconv"

	"github.com/fireflypath/fireflypath"
)

// reportsPerCachePoll is how many load reports are read per list of cache events. The
// scheduler knows which prompts it sent to which engine and learns from the events which
// ones were dropped. That changes over minutes, and a list costs as many bytes as a report.
const reportsPerCachePoll = 4

// pollState is what is kept about an engine from one poll to the next. It belongs to one start of the
// engine at one address: the next one numbers its events from 1 again.
type pollState struct {
	identity, addr string
	// polls counts the reports read; seq is the number of the last cache event.
	polls int
	seq   uint64
}

// cacheEventList is the list of cache events specified in docs/PROTOCOLS.md.
type cacheEventList struct {
	Events []struct {
		Seq    uint64   `json:"seq"`
		Op     string   `json:"op"`
		Blocks []string `json:"blocks"`
	} `json:"events"`
}

// Poll reads the load report and, once per reportsPerCachePoll reports, the cache events
// after the last one read.
func (e *Engine) Poll(ctx context.Context, target fireflypath.Target) ([]fireflypath.Event, error) {
	events, err := e.reports.Load(ctx, target, nil)
	if err != nil {
		// The engine may have restarted, and then numbers its events from 1 again. A
		// query for events after the old number would return none for a long time.
		e.setPollState(target, pollState{})
		return nil, err
	}
	state := e.pollState(target)
	if state.polls%reportsPerCachePoll == 0 {
		events, err = e.pollCache(ctx, target, &state, events)
	}
	state.polls++
	e.setPollState(target, state)
	return events, err
}

func (e *Engine) pollCache(
	ctx context.Context, target fireflypath.Target, state *pollState, events []fireflypath.Event,
) ([]fireflypath.Event, error) {
	var list cacheEventList
	if err := e.reports.Get(ctx, target, "/cache/events?after="+strconv.FormatUint(state.seq, 10), &list); err != nil {
		return events, err
	}
	for _, ev := range list.Events {
		state.seq = max(state.seq, ev.Seq)
		events = append(events, fireflypath.Event{
			Kind: fireflypath.EventCache, Target: target.Name, Cached: -1,
			Blocks: parseBlocks(ev.Blocks), Dropped: ev.Op == "dropped",
		})
	}
	return events, nil
}

func (e *Engine) pollState(target fireflypath.Target) pollState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.pollStates[target.Name]
	if state.identity != target.Identity() || state.addr != target.Addr {
		return pollState{}
	}
	return state
}

func (e *Engine) setPollState(target fireflypath.Target, state pollState) {
	state.identity, state.addr = target.Identity(), target.Addr
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pollStates[target.Name] = state
}

func parseBlocks(hashes []string) []uint64 {
	out := make([]uint64, 0, len(hashes))
	for _, h := range hashes {
		if n, err := strconv.ParseUint(h, 16, 64); err == nil {
			out = append(out, n)
		}
	}
	return out
}
