package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

const (
	// turnInterval is the turn of each daemon at a slot that became free at a
	// target. Within about this time the others hear of the request that a daemon
	// sends there.
	turnInterval = 30 * time.Millisecond
	// reclaimInterval is how long a daemon may reuse a slot that its own request
	// freed. The others have not heard of the free slot yet.
	reclaimInterval = 20 * time.Millisecond
	// promptReportUnit is the unit, in tokens, in which daemons report prompts that
	// wait for prefill at a target. A thousand tokens take 20 to 100 ms there.
	promptReportUnit = 1000
	// minPromptReport is the minimum number of units reported. A shorter prompt is
	// prefilled before the report arrives, and nearly every request would need a
	// report.
	minPromptReport = 3
)

// competitor is another daemon that has requests waiting for the pool.
type competitor struct {
	hash uint64
	rank int
}

// Report adds this daemon's requests in flight and waiting. It adds nothing if many
// more daemons send requests to the targets than receive the report: the targets'
// own load reports are more accurate then.
func (s *Scheduler) Report(m *fireflypath.PeerLoad) {
	if s.share.UnknownSenders {
		return
	}
	for _, t := range s.ordered {
		if t.requests > 0 {
			m.InFlight[t.id] = t.requests
		}
		if n := t.pendingPrefill / promptReportUnit; n >= minPromptReport {
			m.PendingPrompts[t.id] = n
		}
	}
	if r, ok := s.highestWaitingRank(); ok {
		m.WaitingRanks[s.pool.Name] = r
	}
	for _, t := range s.ordered {
		if t.speedKnown() {
			m.Speeds[t.id] = fireflypath.Speed{Prefill: roundToTwoDigits(t.speed.PrefillRate()), Decode: roundToTwoDigits(t.speed.DecodeRate())}
		}
	}
}

// roundToTwoDigits rounds a rate down to two significant digits, so that small
// changes cause no report.
func roundToTwoDigits(v float64) int {
	n, unit := int(v), 1
	for n >= 100 {
		n /= 10
		unit *= 10
	}
	return n * unit
}

// highestWaitingRank returns the rank of the highest tier waiting, if any.
func (s *Scheduler) highestWaitingRank() (int, bool) {
	if len(s.waiting) == 0 {
		return 0, false
	}
	r := s.waiting[0].Rank
	for _, w := range s.waiting {
		r = min(r, w.Rank)
	}
	return r, true
}

// UpdatePeers replaces what is known of the requests that other daemons have in
// flight and waiting.
func (s *Scheduler) UpdatePeers(now time.Time, peers []fireflypath.PeerLoad) {
	s.competitors, s.reporters = s.competitors[:0], len(peers)
	for _, m := range peers {
		if r, ok := m.WaitingRanks[s.pool.Name]; ok {
			s.competitors = append(s.competitors, competitor{hash: xxhash.Sum64String(m.Name + "/" + s.pool.Name), rank: r})
		}
	}
	for _, t := range s.shared {
		requests, promptUnits := 0, 0
		for _, m := range peers {
			requests += m.InFlight[t.id]
			promptUnits += m.PendingPrompts[t.id]
			if v, ok := m.Speeds[t.id]; ok && !t.speedKnown() {
				t.speed.AdoptRates(float64(v.Prefill), float64(v.Decode))
				s.updateFastest(t)
			}
		}
		if requests < t.peerRequests {
			t.peerFreedAt = now
		}
		t.peerRequests, t.peersReported = requests, true
		t.peerPrefill = promptUnits * promptReportUnit
	}
}

// hasTurn reports whether it is this daemon's turn to send a request to the target.
//
// All daemons see a slot become free at about the same time. If all of them used
// it, the target would receive one request too many for each daemon with requests
// waiting, and these would wait in the target's own queue, which ignores tiers. So
// daemons take turns: higher tiers first, equal ones in an order that differs
// between targets and is the same at all daemons.
func (s *Scheduler) hasTurn(now time.Time, t *target, rank int) bool {
	if len(s.competitors) == 0 || now.Sub(t.ownFreedAt) < reclaimInterval {
		return true
	}
	return !now.Before(t.peerFreedAt.Add(s.turnDelay(t, rank)))
}

// turnDelay returns how long after a slot became free this daemon's turn begins.
// Daemons agree on the order if each uses the hash of "daemon/pool" as its seed.
func (s *Scheduler) turnDelay(t *target, rank int) time.Duration {
	n := 0
	ownHash := place.Mix64(s.seed ^ t.nameHash)
	for _, r := range s.competitors {
		if r.rank < rank || r.rank == rank && place.Mix64(r.hash^t.nameHash) < ownHash {
			n++
		}
	}
	return time.Duration(n) * turnInterval
}

// nextAttempt returns when a target that accepts nothing now may be tried again, or
// zero if only an event can change that.
func (s *Scheduler) nextAttempt(now time.Time, t *target) time.Time {
	if now.Before(t.ejectedUntil) {
		return t.ejectedUntil
	}
	if at := s.limitAllowsAt(now, t); !at.IsZero() {
		return at
	}
	r, ok := s.highestWaitingRank()
	if !ok || len(s.competitors) == 0 {
		return time.Time{}
	}
	if at := t.peerFreedAt.Add(s.turnDelay(t, r)); now.Before(at) {
		return at
	}
	return time.Time{}
}
