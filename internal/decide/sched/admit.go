package sched

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/deadline"
	"github.com/fireflypath/fireflypath/internal/decide/fair"
)

const (
	// minRetryAfter and maxRetryAfter limit the retry delay told to refused
	// callers. A shorter delay is no longer than the answer itself takes;
	// beyond the longer one, no forecast is reliable.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// retryJitter adds up to a quarter to the retry delay, so that callers
	// refused together do not return together.
	retryJitter = 0.25
	// reliefInterval is the time after which peers are asked again to make room
	// for the same work.
	reliefInterval = 250 * time.Millisecond
	// minDrainShare is the smallest share of the drain rate assumed for a tier
	// when higher tiers use all of it; it keeps wait estimates finite.
	minDrainShare = 0.02
	// relieveAll asks peers to shed all their lower-tier work: it is more
	// tokens than a daemon can hold.
	relieveAll = math.MaxInt32
)

// Offer queues new work. It appends to out the work that is shed as a result:
// the new work itself or lower-tier work displaced by it.
func (s *Scheduler) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	if _, ok := s.idOf[w]; ok {
		return out
	}
	s.drainRate.Advance(now, s.queue.Len() > 0)
	r := rankOf(w)
	s.cfg.LowestRank = max(s.cfg.LowestRank, r)
	if w.RetriedEarly {
		s.backoff.RecordEarly(now, w.Team)
	}
	s.arrivalRates[r].Add(now, w.Cost.Tokens())
	s.reserve.RecordArrival(now, r)
	expected := s.minDuration(w)
	latest := s.latestStart(w)
	if latest.Before(now) {
		return append(out, s.infeasibleShed(w, expected))
	}
	if s.blockedByRelief(now, r) {
		return append(out, s.fullShed(now, w, false))
	}
	if s.startsTooLate(now, w, latest) {
		return s.refuseLate(now, w, out)
	}
	id := s.allocItem(w)
	it := &s.items[id]
	it.phase = phaseWaiting
	for i := 0; i <= r; i++ {
		it.requestsAhead += s.queue.Requests(i)
	}
	s.queue.Push(id, w)
	s.pushStart(id, latest)
	return s.enforceLimits(now, out)
}

// blockedByRelief reports whether work of rank r must not wait here because a
// higher tier was relieved a moment ago. Otherwise the daemon that asked for
// relief would refuse its work while newly arrived lower-tier work waits here,
// and would have to ask again. Work that could be dispatched at once is refused
// too, as that is known only after it was queued.
func (s *Scheduler) blockedByRelief(now time.Time, r int) bool {
	return r > s.reliefRank && now.Before(s.reliefUntil)
}

// Withdraw removes waiting work and reports whether it was waiting here. It
// also releases work that Next returned but its owner did not send.
func (s *Scheduler) Withdraw(now time.Time, w *fireflypath.Work) bool {
	id, ok := s.idOf[w]
	if !ok {
		return false
	}
	switch s.items[id].phase {
	case phaseWaiting:
		s.drainRate.Advance(now, true)
		s.removeWaiting(id)
		s.freeItem(id)
		return true
	case phaseExpired:
		s.expired = slices.DeleteFunc(s.expired, func(d int32) bool { return d == id })
		s.freeItem(id)
		return true
	case phaseInFlight:
		if st := w.Lifecycle.State(); st != fireflypath.StateDispatched {
			s.endFlight(now, id)
			s.freeItem(id)
		}
	case phaseFree:
	}
	return false
}

// minDuration returns how long the work takes at the fastest target without
// cached tokens, or 0 if no speed is known yet.
func (s *Scheduler) minDuration(w *fireflypath.Work) time.Duration {
	if s.maxPrefillRate == 0 || s.maxDecodeRate == 0 {
		return 0
	}
	sec := float64(w.Cost.Prompt)/s.maxPrefillRate + s.expectedOutput(w)/s.maxDecodeRate
	return time.Duration(sec * float64(time.Second))
}

// latestStart returns when the work must start to meet its deadline at the
// fastest target.
func (s *Scheduler) latestStart(w *fireflypath.Work) time.Time {
	return deadline.LatestStart(w.Deadline, s.minDuration(w), s.margin.TightFactor())
}

// startsTooLate reports whether the work is expected to wait past its latest
// start. It returns false while lower-tier work waits here: refusing the work
// would require shedding all of that first, on the strength of an estimate.
func (s *Scheduler) startsTooLate(now time.Time, w *fireflypath.Work, latest time.Time) bool {
	if s.lowestWaiting(rankOf(w)) >= 0 {
		return false
	}
	wait, ok := s.expectedWait(w, 0)
	return ok && now.Add(wait).After(latest)
}

// expectedWait returns the expected wait of w if it were queued now behind
// extraTokens more than are waiting, and false if the drain rate is not known
// yet.
//
// The arrival rate of higher tiers is assumed to last for at most one more
// rateHorizon, the time over which it was measured. Extrapolated without end, a
// burst of two seconds caused work with a minute to spare to be refused while
// targets were idle.
func (s *Scheduler) expectedWait(w *fireflypath.Work, extraTokens int) (time.Duration, bool) {
	drain := s.drainRate.Rate()
	if drain == 0 {
		return 0, false
	}
	r := rankOf(w)
	ahead, remaining := float64(s.queue.TokensAhead(w)+extraTokens), drain
	for i := range r {
		ahead += float64(s.queue.Tokens(i))
		remaining -= s.arrivalRates[i].Rate()
	}
	higherRate := drain - remaining
	sustained := ahead / max(remaining, minDrainShare*drain)
	transient := (ahead + higherRate*rateHorizon.Seconds()) / drain
	return time.Duration(min(sustained, transient) * float64(time.Second)), true
}

// retryAfter returns the delay after which the work waiting now and
// extraTokens, those shed in the same round, are expected to be served. Without
// counting the latter, callers refused together would be told the same time and
// compete again on return.
func (s *Scheduler) retryAfter(now time.Time, w *fireflypath.Work, extraTokens int) time.Duration {
	d, ok := s.expectedWait(w, extraTokens)
	if !ok {
		d = minRetryAfter
	}
	d = min(max(d, minRetryAfter), maxRetryAfter)
	d = s.backoff.Extend(now, w.Team, d)
	return d + time.Duration(retryJitter*s.rng.Float64()*float64(d))
}

// lowestWaiting returns the rank of the lowest tier below rank r that has work
// waiting here, or -1 if there is none.
func (s *Scheduler) lowestWaiting(r int) int {
	for i := fair.Ranks - 1; i > r; i-- {
		if s.queue.Requests(i) > 0 {
			return i
		}
	}
	return -1
}

// infeasibleShed returns the Shed for work that would miss its deadline even at
// an idle target.
func (s *Scheduler) infeasibleShed(w *fireflypath.Work, expected time.Duration) fireflypath.Shed {
	return fireflypath.Shed{
		Work:   w,
		Reason: fireflypath.ReasonDeadline,
		Detail: fmt.Sprintf("needs about %v with an idle target", expected.Round(time.Millisecond)),
	}
}

// refuseLate sheds new work that would start too late. If peers may hold
// lower-tier work, the work is queued while they are asked to shed it.
func (s *Scheduler) refuseLate(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	shed := s.lateShed(now, w)
	if shed.Relief {
		id := s.allocItem(w)
		s.items[id].phase = phaseWaiting
		s.items[id].reliefAsked = now
		s.queue.Push(id, w)
		s.pushStart(id, s.latestStart(w))
	}
	return append(out, shed)
}

// lateShed returns the Shed for work that is expected to start too late. Unless
// the work is of the lowest tier, peers must first be asked to shed all their
// lower-tier work.
func (s *Scheduler) lateShed(now time.Time, w *fireflypath.Work) fireflypath.Shed {
	wait, _ := s.expectedWait(w, 0)
	reason := fireflypath.ReasonDeadline
	if w.RetriedEarly {
		reason = fireflypath.ReasonEarly
	}
	return fireflypath.Shed{
		Work:       w,
		Reason:     reason,
		RetryAfter: s.retryAfter(now, w, 0),
		Detail:     fmt.Sprintf("turn expected in %v, too late for the deadline", wait.Round(time.Millisecond)),
		Relief:     rankOf(w) < s.cfg.LowestRank,
		Tokens:     relieveAll,
	}
}

// enforceLimits sheds work of the lowest waiting tier until the pool's limits
// are met. It stops at work for which peers must be asked first.
func (s *Scheduler) enforceLimits(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	for s.queue.Len() > s.cfg.Pool.Requests || s.queue.Bytes() > s.cfg.Pool.Bytes {
		r := s.lowestWaiting(-1)
		id := s.queue.Victim(r)
		it := &s.items[id]
		relief := r < s.cfg.LowestRank
		if relief && now.Sub(it.reliefAsked) < reliefInterval {
			return out
		}
		out = append(out, s.fullShed(now, it.work, relief))
		if relief {
			it.reliefAsked = now
			return out
		}
		s.removeWaiting(id)
		s.freeItem(id)
	}
	return out
}

// fullShed returns the Shed for work that exceeds the pool's limits.
func (s *Scheduler) fullShed(now time.Time, w *fireflypath.Work, relief bool) fireflypath.Shed {
	return fireflypath.Shed{
		Work:       w,
		Reason:     fireflypath.ReasonFull,
		RetryAfter: s.retryAfter(now, w, 0),
		Detail: fmt.Sprintf("%d requests and %d bytes wait of %d and %d",
			s.queue.Len(), s.queue.Bytes(), s.cfg.Pool.Requests, s.cfg.Pool.Bytes),
		Relief: relief,
		Tokens: w.Cost.Tokens(),
	}
}
