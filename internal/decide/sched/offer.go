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
	// shortest and longest bound the time a refused caller is told: below, the
	// answer itself takes as long; above, no forecast holds.
	shortest = 500 * time.Millisecond
	longest  = 60 * time.Second
	// jitter spreads callers that were refused together over a quarter of the
	// time they were told, so that they do not come back together.
	jitter = 0.25
	// repeat is how long after peers were asked for room they are asked again
	// for the same work.
	repeat = 250 * time.Millisecond
	// floor is the least part of the drain rate that a tier is reckoned with when
	// higher tiers take it all; it keeps times finite.
	floor = 0.02
	// everything asks peers for all their lower work: more tokens than a daemon
	// can hold.
	everything = math.MaxInt32
)

// Offer takes work in. It appends to out what gives way: the work itself, or
// lower work displaced by it.
func (s *Scheduler) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	if _, ok := s.slots[w]; ok {
		return out
	}
	s.drain.Pass(now, s.queue.Len() > 0)
	r := rank(w)
	s.cfg.LowestRank = max(s.cfg.LowestRank, r)
	if w.Early {
		s.damper.Early(now, w.Team)
	}
	s.arrivals[r].Add(now, w.Cost.Tokens())
	s.reserve.Arrive(now, r)
	expected := s.best(w)
	latest := s.latestOf(w)
	if latest.Before(now) {
		return append(out, s.hopeless(w, expected))
	}
	if s.barred(now, r) {
		return append(out, s.full(now, w, false))
	}
	if s.late(now, w, latest) {
		return s.refuseLate(now, w, out)
	}
	slot := s.alloc(w)
	it := &s.items[slot]
	it.phase = phaseWaiting
	for i := 0; i <= r; i++ {
		it.ahead += s.queue.Requests(i)
	}
	s.queue.Push(slot, w)
	s.schedule(slot, latest)
	return s.bound(now, out)
}

// barred is true for work below a tier that was just relieved here. Without it
// the daemon that asked for relief would refuse its work while newly arrived
// lower work waits, and would have to ask again. Work that might be dispatched
// at once is barred too: whether it would be is known only after it was let in.
func (s *Scheduler) barred(now time.Time, r int) bool {
	return r > s.pressure && now.Before(s.pressed)
}

// Withdraw removes waiting work; it reports false if it was not waiting here.
// Work that Next returned, but that its owner did not send, is forgotten.
func (s *Scheduler) Withdraw(now time.Time, w *fireflypath.Work) bool {
	slot, ok := s.slots[w]
	if !ok {
		return false
	}
	switch s.items[slot].phase {
	case phaseWaiting:
		s.drain.Pass(now, true)
		s.unqueue(slot)
		s.release(slot)
		return true
	case phaseDoomed:
		s.doomed = slices.DeleteFunc(s.doomed, func(d int32) bool { return d == slot })
		s.release(slot)
		return true
	case phaseFlight:
		if st := w.Life.State(); st != fireflypath.StateDispatched {
			s.land(now, slot)
			s.release(slot)
		}
	case phaseFree:
	}
	return false
}

// best is how long the work takes at the fastest target, not cached; 0 while
// nothing is known.
func (s *Scheduler) best(w *fireflypath.Work) time.Duration {
	if s.fastPrefill == 0 || s.fastDecode == 0 {
		return 0
	}
	sec := float64(w.Cost.Prompt)/s.fastPrefill + s.outputOf(w)/s.fastDecode
	return time.Duration(sec * float64(time.Second))
}

// latestOf is when the work must start at the fastest target.
func (s *Scheduler) latestOf(w *fireflypath.Work) time.Time {
	return deadline.Latest(w.Deadline, s.best(w), s.margin.Tight())
}

// late is true if the work is expected to wait past its latest start. While
// lower work waits here it is not asked: the lower work would have to go first,
// for the sake of an estimate.
func (s *Scheduler) late(now time.Time, w *fireflypath.Work, latest time.Time) bool {
	if s.lower(rank(w)) >= 0 {
		return false
	}
	wait, ok := s.wait(w, 0)
	return ok && now.Add(wait).After(latest)
}

// wait is the time until w's turn, were it pushed now, with so many tokens more
// before it. A rate of higher work was measured over the horizon and says
// nothing of the time behind it: taken as lasting, a burst of two seconds made
// work with a minute to spare look hopeless and refused it beside idle targets.
// So higher work counts for one more horizon at most.
func (s *Scheduler) wait(w *fireflypath.Work, more int) (time.Duration, bool) {
	drain := s.drain.Rate()
	if drain == 0 {
		return 0, false
	}
	r := rank(w)
	ahead, free := float64(s.queue.Ahead(w)+more), drain
	for i := range r {
		ahead += float64(s.queue.Tokens(i))
		free -= s.arrivals[i].Rate()
	}
	higher := drain - free
	lasting := ahead / max(free, floor*drain)
	passing := (ahead + higher*horizon.Seconds()) / drain
	return time.Duration(min(lasting, passing) * float64(time.Second)), true
}

// retryAfter is when what waits now will have been served, and with it what was
// given up together with w before it: callers that are refused together would
// else be told the same time, and find each other when they come back.
func (s *Scheduler) retryAfter(now time.Time, w *fireflypath.Work, before int) time.Duration {
	d, ok := s.wait(w, before)
	if !ok {
		d = shortest
	}
	d = min(max(d, shortest), longest)
	d = s.damper.Stretch(now, w.Team, d)
	return d + time.Duration(jitter*s.rnd.Float64()*float64(d))
}

// lower is the lowest rank below r of which work waits here, or -1.
func (s *Scheduler) lower(r int) int {
	for i := fair.Ranks - 1; i > r; i-- {
		if s.queue.Requests(i) > 0 {
			return i
		}
	}
	return -1
}

func (s *Scheduler) hopeless(w *fireflypath.Work, expected time.Duration) fireflypath.Shed {
	return fireflypath.Shed{
		Work:   w,
		Reason: fireflypath.ReasonDeadline,
		Detail: fmt.Sprintf("needs about %v with an idle target", expected.Round(time.Millisecond)),
	}
}

// refuseLate refuses work on arrival whose turn comes too late. If peers may
// hold lower work it waits while they are asked.
func (s *Scheduler) refuseLate(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	sh := s.lateShed(now, w)
	if sh.Relief {
		slot := s.alloc(w)
		s.items[slot].phase = phaseWaiting
		s.items[slot].asked = now
		s.queue.Push(slot, w)
		s.schedule(slot, s.latestOf(w))
	}
	return append(out, sh)
}

func (s *Scheduler) lateShed(now time.Time, w *fireflypath.Work) fireflypath.Shed {
	wait, _ := s.wait(w, 0)
	reason := fireflypath.ReasonDeadline
	if w.Early {
		reason = fireflypath.ReasonEarly
	}
	return fireflypath.Shed{
		Work:       w,
		Reason:     reason,
		RetryAfter: s.retryAfter(now, w, 0),
		Detail:     fmt.Sprintf("turn expected in %v, too late for the deadline", wait.Round(time.Millisecond)),
		Relief:     rank(w) < s.cfg.LowestRank,
		Tokens:     everything,
	}
}

// bound gives up work while the pool's limits are exceeded, the lowest tier first.
func (s *Scheduler) bound(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	for s.queue.Len() > s.cfg.Pool.Requests || s.queue.Bytes() > s.cfg.Pool.Bytes {
		r := s.lower(-1)
		slot := s.queue.Victim(r)
		it := &s.items[slot]
		relief := r < s.cfg.LowestRank
		if relief && now.Sub(it.asked) < repeat {
			return out
		}
		out = append(out, s.full(now, it.work, relief))
		if relief {
			it.asked = now
			return out
		}
		s.unqueue(slot)
		s.release(slot)
	}
	return out
}

func (s *Scheduler) full(now time.Time, w *fireflypath.Work, relief bool) fireflypath.Shed {
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
