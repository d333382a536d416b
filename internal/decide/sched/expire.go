package sched

import (
	"fmt"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// again is how long after a relief round work past its time is returned once
	// more, if the owner has not decided by then: a peer that does not answer is
	// out of the membership after seconds, and each return starts a round.
	again = 250 * time.Millisecond
	// press is how long after a relief round lower work is not let in to wait: a
	// few round trips, until the daemon that asked has decided.
	press = 50 * time.Millisecond
)

// Expire appends the waiting work that can no longer end in time.
func (s *Scheduler) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	s.drain.Pass(now, s.queue.Len() > 0)
	for len(s.latest) > 0 && !s.items[s.latest[0]].latest.After(now) {
		slot := s.latest[0]
		latest := s.latestOf(s.items[slot].work)
		if latest.After(now) {
			s.unschedule(slot)
			s.schedule(slot, latest)
			continue
		}
		s.doom(slot)
	}
	kept := s.doomed[:0]
	for _, slot := range s.doomed {
		keep := false
		if out, keep = s.expire(now, slot, out); keep {
			kept = append(kept, slot)
		}
	}
	s.doomed = kept
	return out
}

// doom sets work aside for Expire, which returns it.
func (s *Scheduler) doom(slot int32) {
	s.unqueue(slot)
	s.items[slot].phase = phaseDoomed
	s.doomed = append(s.doomed, slot)
}

// expire refuses work whose latest start has passed. If lower work may wait
// here or at peers it has to go first: a caller of a higher tier must not be
// refused while lower work holds a place. While peers are asked the work is
// kept, for the owner to withdraw; it reports true then.
func (s *Scheduler) expire(now time.Time, slot int32, out []fireflypath.Shed) ([]fireflypath.Shed, bool) {
	it := &s.items[slot]
	w := it.work
	if it.phase != phaseDoomed || w.Life.State() != fireflypath.StateWaiting {
		s.release(slot)
		return out, false
	}
	if now.Sub(it.asked) < again {
		return out, true
	}
	sh := s.lateShed(now, w)
	sh.Detail = fmt.Sprintf("waited %v and can no longer end in time", now.Sub(w.Arrived).Round(time.Millisecond))
	s.items[slot].asked = now
	if !sh.Relief {
		s.release(slot)
	}
	return append(out, sh), sh.Relief
}

// Relieve gives up waiting work of lower tiers than rank, lowest first, until
// tokens are freed.
func (s *Scheduler) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	if now.Before(s.pressed) {
		// another round's work may be of a higher tier than this one's
		s.pressure = min(s.pressure, rank)
	} else {
		s.pressure = rank
	}
	s.pressed = now.Add(press)
	freed := 0
	for freed < tokens {
		r := s.lower(rank)
		if r < 0 {
			break
		}
		slot := s.queue.Victim(r)
		w := s.items[slot].work
		freed += max(w.Cost.Tokens(), 1)
		s.unqueue(slot)
		out = append(out, fireflypath.Shed{
			Work:       w,
			Reason:     fireflypath.ReasonFull,
			RetryAfter: s.retryAfter(now, w, freed),
			Detail:     fmt.Sprintf("gave way to work of rank %d", rank),
		})
		s.release(slot)
	}
	return out
}
