package usage

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// sentState is the state that a peer was sent.
type sentState struct {
	inFlight       map[string]int
	pendingPrompts map[string]int
	waitingRanks   map[string]int
	speeds         map[string]fireflypath.Speed
	partialView    bool
	used           map[string]int64
	fullAt         time.Time
}

// fillHeartbeat adds to a heartbeat what changed since the last one to that peer.
func (u *Usage) fillHeartbeat(to string, hb *peer.Heartbeat) {
	layout := u.fleet.Layout()
	if !slices.Contains(layout.Members(u.self), to) {
		return // it sends work to other targets
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	s := u.sentTo[to]
	first := s == nil
	full := first || now.Sub(s.fullAt) >= fullInterval
	if full {
		s = &sentState{
			inFlight: map[string]int{}, pendingPrompts: map[string]int{}, waitingRanks: map[string]int{}, used: map[string]int64{},
			speeds: map[string]fireflypath.Speed{}, fullAt: now,
		}
		if !first {
			s.speeds = u.sentTo[to].speeds // only the first speed of a target matters
		}
		u.sentTo[to] = s
	}
	out := &peer.Usage{Full: full}
	if first && layout.CellCount() == 1 {
		out.BucketLevels = u.limits.Levels(now)
	}
	out.InFlight = diff(s.inFlight, u.inFlight, 0)
	out.PendingPrompts = diff(s.pendingPrompts, u.pendingPrompts, 0)
	out.WaitingRanks = diff(s.waitingRanks, u.waitingRanks, noRank)
	for target, v := range u.speeds {
		if _, known := s.speeds[target]; !known {
			out.Speeds = set(out.Speeds, target, v)
			s.speeds[target] = v
		}
	}
	for team, n := range u.used {
		if layout.CellCount() == 1 && (s.used[team] != n || full) {
			out.QuotaUsed = set(out.QuotaUsed, team, n)
			s.used[team] = n
		}
	}
	changed := out.InFlight != nil || out.PendingPrompts != nil || out.WaitingRanks != nil || out.Speeds != nil || out.QuotaUsed != nil
	if !full && !changed && s.partialView == u.partialView {
		return
	}
	out.PartialView, s.partialView = u.partialView, u.partialView
	u.sequence++
	out.Epoch, out.Sequence = u.epoch, u.sequence
	hb.Usage = out
	u.sent.Inc(1)
}

// noRank is sent for a pool in which nothing waits any more.
const noRank = -1

// diff returns the entries of current that differ from previous, with the value removed
// for entries that no longer exist. It updates previous to current.
func diff(previous, current map[string]int, removed int) map[string]int {
	var out map[string]int
	for key, n := range current {
		if p, ok := previous[key]; !ok || p != n {
			out = set(out, key, n)
			previous[key] = n
		}
	}
	for key := range previous {
		if _, ok := current[key]; !ok {
			out = set(out, key, removed)
			delete(previous, key)
		}
	}
	return out
}

// set sets a key of a map that is allocated on first use.
func set[V any](m map[string]V, key string, v V) map[string]V {
	if m == nil {
		m = map[string]V{}
	}
	m[key] = v
	return m
}
