package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// returnSlack is the least time after the longest time limit of a stream in which its caller may come
	// back: the time limit counts from when a daemon accepted the request.
	returnSlack = 2 * time.Second
	// Callers leave a silent stream after abandonedGoals times its goal, or abandonedGaps times the longest
	// pause that they tolerate. They come back within reconnectTime then.
	abandonedGoals = 4
	abandonedGaps  = 8
	reconnectTime  = 500 * time.Millisecond
	// defaultTimeout is the time limit of routes that set none.
	defaultTimeout = 30 * time.Second
)

// History remembers which versions each pool has had, and which pools have served the same routes, for as
// long as a stream may last. It is not safe for concurrent use.
type History struct {
	// retention is the longest time between the beginning of a stream and its caller's return.
	retention time.Duration
	startedAt time.Time
	present   map[string]map[string]bool
	// lastSeen holds when versions went that are not present, by pool.
	lastSeen map[string]map[string]time.Time
	moves    moves
	// ambiguousSince holds when pools last became ambiguous.
	ambiguousSince map[string]time.Time
}

// NewHistory returns a history that has seen nothing.
func NewHistory() *History {
	return &History{
		present: map[string]map[string]bool{}, lastSeen: map[string]map[string]time.Time{}, ambiguousSince: map[string]time.Time{},
	}
}

// Observe records a configuration. It returns the pools whose streams can be taken for those of another
// version or pool from now on, and could not before.
func (h *History) Observe(now time.Time, cfg *fireflypath.Config) []string {
	if cfg.Generation == 0 {
		return nil // nothing is known yet
	}
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	for i := range cfg.Routes {
		if r := &cfg.Routes[i]; r.Resumable {
			h.retention = max(h.retention, timeoutOf(r)+returnTimeOf(r))
		}
	}
	present := presentVersions(cfg)
	var sure []string
	for pool := range present {
		if !h.Ambiguous(now, pool) {
			sure = append(sure, pool)
		}
	}
	h.replace(now, present)
	h.moves.prune(now.Add(-h.retention))
	moved := h.moves.observe(now, cfg)
	out := slices.DeleteFunc(sure, func(pool string) bool { return !h.Ambiguous(now, pool) })
	for _, pool := range moved {
		if pool != notResumable && !slices.Contains(out, pool) {
			out = append(out, pool)
		}
	}
	slices.Sort(out)
	for _, pool := range out {
		h.ambiguousSince[pool] = now
	}
	return out
}

// presentVersions returns the versions that the targets of each pool have. The targets of a version on trial
// are not among those of the configuration.
func presentVersions(cfg *fireflypath.Config) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	add := func(targets []fireflypath.Target) {
		for i := range targets {
			t := &targets[i]
			if out[t.Pool] == nil {
				out[t.Pool] = map[string]bool{}
			}
			out[t.Pool][t.Version] = true
		}
	}
	add(cfg.Targets)
	for i := range cfg.Rollouts {
		add(cfg.Rollouts[i].Targets)
	}
	return out
}

func timeoutOf(r *fireflypath.Route) time.Duration {
	if d := r.Timeout.Std(); d > 0 {
		return d
	}
	return defaultTimeout
}

// returnTimeOf returns the longest time from the end of a stream's time limit to its caller's return.
func returnTimeOf(r *fireflypath.Route) time.Duration {
	abandoned := max(abandonedGoals*r.Goal.Std(), abandonedGaps*r.Gap.Std())
	if abandoned == 0 {
		return returnSlack
	}
	return max(returnSlack, abandoned+reconnectTime)
}

// replace sets the versions that are present.
func (h *History) replace(now time.Time, present map[string]map[string]bool) {
	for pool, versions := range h.present {
		for v := range versions {
			if present[pool][v] {
				continue
			}
			if h.lastSeen[pool] == nil {
				h.lastSeen[pool] = map[string]time.Time{}
			}
			h.lastSeen[pool][v] = now
		}
	}
	h.present = present
	for pool, versions := range h.lastSeen {
		maps.DeleteFunc(versions, func(v string, at time.Time) bool { return present[pool][v] || now.Sub(at) > h.retention })
		if len(versions) == 0 {
			delete(h.lastSeen, pool)
		}
	}
}

// Versions returns the versions that the pool has had for as long as a stream may last, in order.
func (h *History) Versions(now time.Time, pool string) []string {
	out := slices.Collect(maps.Keys(h.present[pool]))
	for v, at := range h.lastSeen[pool] {
		if now.Sub(at) <= h.retention && !h.present[pool][v] {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// Mixed reports whether streams of several versions may go on in the pool.
func (h *History) Mixed(now time.Time, pool string) bool { return len(h.Versions(now, pool)) > 1 }

// Related returns the pools that have served paths of the pool's routes before or after it, for as long as
// a stream may last. One of them may be empty: it stands for a time in which a route's streams could not be
// resumed.
func (h *History) Related(now time.Time, pool string) []string {
	return h.moves.relatedTo(now.Add(-h.retention), pool)
}

// Ambiguous reports whether a stream of the pool's routes may have begun at several versions or pools.
func (h *History) Ambiguous(now time.Time, pool string) bool {
	return h.Mixed(now, pool) || len(h.Related(now, pool)) > 0
}

// Settled reports whether the pool has been ambiguous for as long as a stream may last, so that all its
// streams have been recorded with other daemons when they began.
func (h *History) Settled(now time.Time, pool string) bool {
	return h.Ambiguous(now, pool) && now.Sub(h.ambiguousSince[pool]) >= h.retention
}

// Complete reports whether the history covers as long as a stream may last.
func (h *History) Complete(now time.Time) bool {
	return !h.startedAt.IsZero() && now.Sub(h.startedAt) >= h.retention
}

// Retention returns for how long records of streams are needed.
func (h *History) Retention() time.Duration { return h.retention }
