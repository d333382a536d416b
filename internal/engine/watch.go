package engine

import (
	"context"
	"strconv"

	"github.com/fireflypath/fireflypath"
)

// cacheEvents is a list as docs/PROTOCOLS.md gives it.
type cacheEvents struct {
	Events []struct {
		Seq    uint64   `json:"seq"`
		Op     string   `json:"op"`
		Blocks []string `json:"blocks"`
	} `json:"events"`
}

// Poll reads the load report, and the cache events behind those read before.
func (e *Engine) Poll(ctx context.Context, t fireflypath.Target) ([]fireflypath.Event, error) {
	out, err := e.reports.Load(ctx, t, nil)
	if err != nil {
		// An engine that restarted numbers its events from 1 again. Asked for
		// those behind the old number, it would have none for a long time.
		e.setCursor(t.Name, 0)
		return nil, err
	}
	after := e.cursor(t.Name)
	var c cacheEvents
	if err := e.reports.Get(ctx, t, "/cache/events?after="+strconv.FormatUint(after, 10), &c); err != nil {
		return out, err
	}
	for _, ev := range c.Events {
		after = max(after, ev.Seq)
		out = append(out, fireflypath.Event{
			Kind: fireflypath.EventCache, Target: t.Name, Cached: -1,
			Blocks: blocks(ev.Blocks), Dropped: ev.Op == "dropped",
		})
	}
	e.setCursor(t.Name, after)
	return out, nil
}

func (e *Engine) cursor(target string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[target]
}

func (e *Engine) setCursor(target string, seq uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[target] = seq
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
