package engine

import (
	"context"
	"strconv"

	"github.com/fireflypath/fireflypath"
)

// cacheEvery is how many reports are read for one list of cache events. The
// scheduler knows what it sent where; the events tell it what was dropped,
// which changes over minutes, and a list costs as many bytes as a report.
const cacheEvery = 4

// watched is what is remembered of an engine between two polls.
type watched struct {
	// polls counts the reports read, seq is the number of the last cache event.
	polls int
	seq   uint64
}

// cacheEvents is a list as docs/PROTOCOLS.md gives it.
type cacheEvents struct {
	Events []struct {
		Seq    uint64   `json:"seq"`
		Op     string   `json:"op"`
		Blocks []string `json:"blocks"`
	} `json:"events"`
}

// Poll reads the load report and, now and then, the cache events behind those
// read before.
func (e *Engine) Poll(ctx context.Context, t fireflypath.Target) ([]fireflypath.Event, error) {
	out, err := e.reports.Load(ctx, t, nil)
	if err != nil {
		// An engine that restarted numbers its events from 1 again. Asked for
		// those behind the old number, it would have none for a long time.
		e.remember(t.Name, watched{})
		return nil, err
	}
	w := e.recall(t.Name)
	if w.polls%cacheEvery == 0 {
		out, err = e.cache(ctx, t, &w, out)
	}
	w.polls++
	e.remember(t.Name, w)
	return out, err
}

func (e *Engine) cache(
	ctx context.Context, t fireflypath.Target, w *watched, out []fireflypath.Event,
) ([]fireflypath.Event, error) {
	var c cacheEvents
	if err := e.reports.Get(ctx, t, "/cache/events?after="+strconv.FormatUint(w.seq, 10), &c); err != nil {
		return out, err
	}
	for _, ev := range c.Events {
		w.seq = max(w.seq, ev.Seq)
		out = append(out, fireflypath.Event{
			Kind: fireflypath.EventCache, Target: t.Name, Cached: -1,
			Blocks: blocks(ev.Blocks), Dropped: ev.Op == "dropped",
		})
	}
	return out, nil
}

func (e *Engine) recall(target string) watched {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[target]
}

func (e *Engine) remember(target string, w watched) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[target] = w
}

func blocks(hex []string) []uint64 {
	out := make([]uint64, 0, len(hex))
	for _, h := range hex {
		if n, err := strconv.ParseUint(h, 16, 64); err == nil {
			out = append(out, n)
		}
	}
	return out
}
