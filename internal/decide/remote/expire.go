package remote

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// Expire appends waiting work whose time is over.
func (s *Scheduler) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	out = s.Local.Expire(now, out)
	for n, w := range s.pending {
		if now.Before(callerGone(w).Add(replyGrace)) {
			continue
		}
		s.withdrawPending(n, w)
		out = append(out, fireflypath.Shed{
			Work: w, Reason: fireflypath.ReasonDeadline, Detail: "its time is over and the dispatcher has not answered",
			RetryAfter: retryAfter,
		})
	}
	return out
}

// retryAfter is told to callers whom the dispatcher left without an answer: by then
// another one decides.
const retryAfter = 300 * time.Millisecond

// callerGone is when the caller of waiting work leaves.
func callerGone(w *fireflypath.Work) time.Time {
	if !w.Leaves.IsZero() && w.Leaves.Before(w.Deadline) {
		return w.Leaves
	}
	return w.Deadline
}

// Wake is when Next or Expire may have something new without an event.
func (s *Scheduler) Wake(now time.Time) time.Time {
	at := s.Local.Wake(now)
	for _, w := range s.pending {
		if due := callerGone(w).Add(replyGrace); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	return at
}

// Relieve gives up waiting work of lower tiers, lowest first.
func (s *Scheduler) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	for freed := 0; freed < tokens && len(s.pending) > 0; {
		w := s.lowestTierPending()
		if w.Rank <= rank {
			break
		}
		s.Withdraw(now, w)
		freed += max(w.Cost.Tokens(), 1)
		out = append(out, fireflypath.Shed{
			Work: w, Reason: fireflypath.ReasonFull, Detail: "gave way to work of a higher tier", RetryAfter: retryAfter,
		})
	}
	return s.Local.Relieve(now, rank, tokens, out)
}

// lowestTierPending is the work of the lowest tier that waits for the dispatcher, of equal ones
// the newest.
func (s *Scheduler) lowestTierPending() *fireflypath.Work {
	var low *fireflypath.Work
	for n, w := range s.pending {
		if low == nil || w.Rank > low.Rank || w.Rank == low.Rank && n > s.numbers[low] {
			low = w
		}
	}
	return low
}
