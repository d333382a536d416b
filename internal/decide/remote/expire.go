package remote

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// Expire removes the waiting requests that have expired and appends their refusals.
func (s *Scheduler) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	out = s.Local.Expire(now, out)
	for n, w := range s.pending {
		if now.Before(callerGivesUpAt(w).Add(replyGrace)) {
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

// retryAfter is for callers whose request got no answer from the dispatcher: by then
// another dispatcher decides.
const retryAfter = 300 * time.Millisecond

// callerGivesUpAt is when the caller of a waiting request gives up.
func callerGivesUpAt(w *fireflypath.Work) time.Time {
	if !w.PatienceEnds.IsZero() && w.PatienceEnds.Before(w.Deadline) {
		return w.PatienceEnds
	}
	return w.Deadline
}

// Wake is when Next or Expire may have a result without another event.
func (s *Scheduler) Wake(now time.Time) time.Time {
	next := s.Local.Wake(now)
	for _, w := range s.pending {
		if due := callerGivesUpAt(w).Add(replyGrace); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// Relieve drops waiting requests of lower tiers, lowest tier first.
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

// lowestTierPending is the pending request of the lowest tier, the newest one of that
// tier.
func (s *Scheduler) lowestTierPending() *fireflypath.Work {
	var lowest *fireflypath.Work
	for n, w := range s.pending {
		if lowest == nil || w.Rank > lowest.Rank || w.Rank == lowest.Rank && n > s.numbers[lowest] {
			lowest = w
		}
	}
	return lowest
}
