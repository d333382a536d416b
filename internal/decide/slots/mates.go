package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

const (
	// turnTime is how long each daemon in a row has to take a place that became
	// free at a target: what it takes is told to the others in about that time.
	turnTime = 30 * time.Millisecond
	// ownTime is how long a daemon may take again a place that it freed itself.
	// The others have not heard of it yet.
	ownTime = 20 * time.Millisecond
	// promptUnit is the unit, in tokens, in which daemons tell how much prompt of
	// theirs waits at a target: a thousand take 20 to 100 ms there.
	promptUnit = 1000
	// leastPrompt is the least number of units that is told. Less ends before it
	// is heard of, and would be told with nearly each request.
	leastPrompt = 3
)

// rival is another daemon that has work waiting for the pool.
type rival struct {
	hash uint64
	rank int
}

// Report adds what this daemon has in flight and waiting. Where many more daemons
// send work to the targets than hear of it, a target's own word tells more, and
// nothing is added.
func (s *Sched) Report(m *fireflypath.Mate) {
	if s.share.Mixed {
		return
	}
	for _, t := range s.order {
		if t.requests > 0 {
			m.Flights[t.id] = t.requests
		}
		if n := t.prefill / promptUnit; n >= leastPrompt {
			m.Prompts[t.id] = n
		}
	}
	if r, ok := s.top(); ok {
		m.Waits[s.pool.Name] = r
	}
	for _, t := range s.order {
		if t.known() {
			m.Speeds[t.id] = fireflypath.Speed{Prefill: coarse(t.speed.Prefill()), Decode: coarse(t.speed.Decode())}
		}
	}
}

// coarse rounds a speed down to two digits: small changes are not worth telling.
func coarse(v float64) int {
	n, unit := int(v), 1
	for n >= 100 {
		n /= 10
		unit *= 10
	}
	return n * unit
}

// top is the highest rank that waits.
func (s *Sched) top() (int, bool) {
	if len(s.waiting) == 0 {
		return 0, false
	}
	r := s.waiting[0].Rank
	for _, w := range s.waiting {
		r = min(r, w.Rank)
	}
	return r, true
}

// Hear takes in what the other daemons have in flight and waiting.
func (s *Sched) Hear(now time.Time, mates []fireflypath.Mate) {
	s.rivals = s.rivals[:0]
	for _, m := range mates {
		if r, ok := m.Waits[s.pool.Name]; ok {
			s.rivals = append(s.rivals, rival{hash: xxhash.Sum64String(m.Name + "/" + s.pool.Name), rank: r})
		}
	}
	for _, t := range s.order {
		sum, prompt := 0, 0
		for _, m := range mates {
			sum += m.Flights[t.id]
			prompt += m.Prompts[t.id]
			if v, ok := m.Speeds[t.id]; ok && !t.known() {
				t.speed.Adopt(float64(v.Prefill), float64(v.Decode))
				s.learned(t)
			}
		}
		if sum < t.elsewhere {
			t.freed = now
		}
		t.elsewhere, t.told = sum, true
		t.ahead = prompt * promptUnit
	}
}

// turn is true if it is for this daemon to take a place at the target.
//
// All daemons see a place become free at about the same time. If all took it,
// the target would get as many requests too many as there are daemons with work
// waiting, and these would wait in its own queue, out of reach of tiers. So they
// take turns: higher ranks first, equal ones in an order that differs from target
// to target and is the same at all daemons.
func (s *Sched) turn(now time.Time, t *target, rank int) bool {
	if len(s.rivals) == 0 || now.Sub(t.own) < ownTime {
		return true
	}
	return !now.Before(t.freed.Add(s.position(t, rank)))
}

// position is how long after a place became free it is this daemon's turn.
func (s *Sched) position(t *target, rank int) time.Duration {
	n := 0
	mine := place.Mix(s.seed ^ t.hash)
	for _, r := range s.rivals {
		if r.rank < rank || r.rank == rank && place.Mix(r.hash^t.hash) < mine {
			n++
		}
	}
	return time.Duration(n) * turnTime
}

// due is when a target may be tried that takes nothing from here now, or zero.
func (s *Sched) due(now time.Time, t *target) time.Time {
	if now.Before(t.until) {
		return t.until
	}
	r, ok := s.top()
	if !ok || len(s.rivals) == 0 {
		return time.Time{}
	}
	if at := t.freed.Add(s.position(t, r)); now.Before(at) {
		return at
	}
	return time.Time{}
}
