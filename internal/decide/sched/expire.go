package sched

import (
	"fmt"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// expiredReliefInterval is the time after which expired work is returned
	// again if its owner has not decided after a relief round. Each return
	// starts another round; a peer that does not answer leaves the membership
	// within seconds.
	expiredReliefInterval = 250 * time.Millisecond
	// reliefBlock is how long after a relief round no lower-tier work is
	// queued: a few round trips, until the daemon that asked has decided.
	reliefBlock = 50 * time.Millisecond
)

// Expire appends to out the waiting work that can no longer meet its deadline.
func (s *Scheduler) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	s.drainRate.Advance(now, s.queue.Len() > 0)
	for len(s.startHeap) > 0 && !s.items[s.startHeap[0]].latestStart.After(now) {
		id := s.startHeap[0]
		latest := s.latestStart(s.items[id].work)
		if latest.After(now) {
			s.removeStart(id)
			s.pushStart(id, latest)
			continue
		}
		s.markExpired(id)
	}
	pending := s.expired[:0]
	for _, id := range s.expired {
		keepItem := false
		if out, keepItem = s.refuseExpired(now, id, out); keepItem {
			pending = append(pending, id)
		}
	}
	s.expired = pending
	return out
}

// markExpired moves an item from the queue to the list that Expire returns.
func (s *Scheduler) markExpired(id int32) {
	s.removeWaiting(id)
	s.items[id].phase = phaseExpired
	s.expired = append(s.expired, id)
}

// refuseExpired sheds work whose latest start has passed. A caller of a higher
// tier must not be refused while lower-tier work waits here or at peers, so
// peers are asked first to shed theirs. Meanwhile the item is kept for its
// owner to withdraw, and refuseExpired returns true.
func (s *Scheduler) refuseExpired(now time.Time, id int32, out []fireflypath.Shed) ([]fireflypath.Shed, bool) {
	it := &s.items[id]
	w := it.work
	if it.phase != phaseExpired || w.Lifecycle.State() != fireflypath.StateWaiting {
		s.freeItem(id)
		return out, false
	}
	if now.Sub(it.reliefAsked) < expiredReliefInterval {
		return out, true
	}
	shed := s.lateShed(now, w)
	shed.Detail = fmt.Sprintf("waited %v and can no longer end in time", now.Sub(w.Arrived).Round(time.Millisecond))
	s.items[id].reliefAsked = now
	if !shed.Relief {
		s.freeItem(id)
	}
	return append(out, shed), shed.Relief
}

// Relieve sheds waiting work ranked below rank, the lowest tier first, until
// the given number of tokens is freed.
func (s *Scheduler) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	if now.Before(s.reliefUntil) {
		// Keep the block of an earlier round for a higher tier.
		s.reliefRank = min(s.reliefRank, rank)
	} else {
		s.reliefRank = rank
	}
	s.reliefUntil = now.Add(reliefBlock)
	freed := 0
	for freed < tokens {
		r := s.lowestWaiting(rank)
		if r < 0 {
			break
		}
		id := s.queue.Victim(r)
		w := s.items[id].work
		freed += max(w.Cost.Tokens(), 1)
		s.removeWaiting(id)
		out = append(out, fireflypath.Shed{
			Work:       w,
			Reason:     fireflypath.ReasonFull,
			RetryAfter: s.retryAfter(now, w, freed),
			Detail:     fmt.Sprintf("gave way to work of rank %d", rank),
		})
		s.freeItem(id)
	}
	return out
}
