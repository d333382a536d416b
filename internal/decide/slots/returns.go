package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
	"github.com/fireflypath/fireflypath/internal/decide/returns"
)

const (
	// keptWaitFraction replaces MaxWaitFraction for callers that return at the time that they were given.
	// They do not return a third time, so that there is no use in refusing them while there is time left.
	keptWaitFraction = 0.9
	// burstHorizon is the time constant of the arrival rates that notice a burst. rateHorizon reacts too late.
	burstHorizon = 700 * time.Millisecond
)

// promises is what the scheduler knows of callers that are to return.
type promises struct {
	ledger *returns.Ledger
	// arrivals counts newcomers by rank, like Scheduler.arrivals, over burstHorizon.
	arrivals [numTiers]rate.Meter
}

func newPromises() *promises {
	p := &promises{ledger: returns.New()}
	for i := range p.arrivals {
		p.arrivals[i].TimeConstant = burstHorizon
	}
	return p
}

// isKept reports whether the caller returns at the time that it was given.
func isKept(w *fireflypath.Work) bool { return w.Return == fireflypath.ReturnKept }

// maxWaitFraction returns the fraction of the time until its caller gives up that a request may wait.
func (s *Scheduler) maxWaitFraction(w *fireflypath.Work) float64 {
	if isKept(w) {
		return max(keptWaitFraction, s.tuning.MaxWaitFraction)
	}
	return s.tuning.MaxWaitFraction
}

// recognizeReturn sets whether the caller of an offered request returns after a refusal. It reports whether
// the caller returns at the time that it was given, so that the forecast contains it already.
func (s *Scheduler) recognizeReturn(now time.Time, w *fireflypath.Work) bool {
	if s.returns == nil {
		w.Return = fireflypath.ReturnNone
		return false
	}
	if isKept(w) {
		return true // recognized by the scheduler that had the request before
	}
	w.Return = s.returns.ledger.Recognize(now, w.Digest, w.Elapsed)
	if w.Return == fireflypath.ReturnNone && w.Elapsed > 0 && s.returnsElsewhere() {
		f := s.returnForecast(now, w, s.steadyRate(now))
		if s.returns.ledger.Redeem(now, w.Rank, w.Elapsed, w.Deadline.Sub(now), f) {
			w.Return = fireflypath.ReturnKept
		}
	}
	if !isKept(w) {
		s.returns.arrivals[min(max(w.Rank, 0), numTiers-1)].Add(now, 1)
	}
	return isKept(w)
}

// returnsElsewhere reports whether callers refused here may return to another scheduler of the pool, and the
// callers of others to this one.
func (s *Scheduler) returnsElsewhere() bool {
	return !s.isDispatcher || len(s.share.Fractions) > 0
}

// admitReturn gives up the promise of a caller that returned early and is not refused.
func (s *Scheduler) admitReturn(now time.Time, w *fireflypath.Work) {
	if w.Return == fireflypath.ReturnEarly {
		s.returns.ledger.Release(now, w.Digest)
	}
}

// promiseReturn returns the time after which a refused caller is to return. It reports false if times are
// not promised, if nothing is known of the targets' speed, or if the refusal is not for lack of room.
func (s *Scheduler) promiseReturn(now time.Time, w *fireflypath.Work, detail string) (time.Duration, bool) {
	if s.returns == nil || detail == noTargetDetail {
		return 0, false
	}
	perSecond := s.steadyRate(now)
	if perSecond <= 0 {
		return 0, false
	}
	after, promised := s.returns.ledger.Promise(now, returns.Caller{
		Digest: w.Digest, Rank: w.Rank, Remaining: w.Deadline.Sub(now), Elapsed: w.Elapsed, Spread: s.jitterFraction(w),
	}, s.returnForecast(now, w, perSecond))
	w.Promised = promised
	return after, true
}

// returnForecast returns the capacity that is expected for returning callers of the request's rank, if the
// targets complete the given number of requests per second. While newcomers exceed what higher ranks leave,
// minSpareFraction of that is promised: each request that is served late for a promise takes the place of one
// that would be in time.
func (s *Scheduler) returnForecast(now time.Time, w *fireflypath.Work, perSecond float64) returns.Forecast {
	perSecond *= s.slotsFraction(w)
	left := max(perSecond-s.newcomerRate(now, w.Rank-1), 0)
	f := returns.Forecast{Rate: max(perSecond-s.newcomerRate(now, w.Rank), minSpareFraction*left), Capacity: perSecond}
	for _, o := range s.waiting {
		if o.Rank < w.Rank && s.priority(now, o) < 2*w.Rank || o.Rank == w.Rank && isKept(o) && o != w {
			f.Ahead++
		}
	}
	if until := s.earliestBackoffEnd(now, w); !until.IsZero() {
		f.NotBefore = until.Sub(now)
	}
	return f
}

// steadyRate returns the number of requests that complete per second, or 0 if unknown. The estimate of
// completionRate varies with the mix of work, and promises made at its peaks exceed the capacity.
func (s *Scheduler) steadyRate(now time.Time) float64 {
	r := s.completions.Rate()
	if r <= 0 {
		return s.completionRate(now)
	}
	if limit, ok := s.totalLimit(now); ok {
		return min(r, limit)
	}
	return r
}

// newcomerRate returns the number of newcomers per second of the given rank and of all higher tiers.
func (s *Scheduler) newcomerRate(now time.Time, rank int) float64 {
	sum := 0.0
	for r := range min(rank+1, numTiers) {
		s.arrivals[r].Advance(now, true)
		s.returns.arrivals[r].Advance(now, true)
		sum += max(s.arrivals[r].Rate(), s.returns.arrivals[r].Rate())
	}
	return sum
}
