package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

// returnPool runs one dispatcher's scheduler against targets that take the same time for every request, and
// callers that return as they are told.
type returnPool struct {
	*slots.Scheduler
	now     time.Time
	running []runningRequest
	callers []*returnCaller
	nextID  int
	// returned counts the callers that kept to their time by tenth of a second.
	returned map[time.Duration]int
}

type runningRequest struct {
	placement fireflypath.Placement
	ends      time.Time
}

// returnCaller is one caller with its attempts.
type returnCaller struct {
	digest    uint32
	rank      int
	began     time.Time
	returnsAt time.Time
	work      *fireflypath.Work
	// keeps is true if the time that it was told is not longer than it waits. impatient callers return at
	// once.
	keeps, impatient bool
	refusals         int
	served           bool
}

// Requests take slotTime at their target, so that returnTargets targets with five slots complete
// returnCapacity requests per second.
const (
	slotTime       = 500 * time.Millisecond
	returnTargets  = 8
	returnCapacity = 80
	returnStep     = 5 * time.Millisecond
)

func newReturnPool(returns bool) *returnPool {
	p := &returnPool{now: start, returned: map[time.Duration]int{}}
	p.restart(returns)
	return p
}

// restart replaces the scheduler by one that knows nothing but the work that waits and runs, as a new
// dispatcher does.
func (p *returnPool) restart(returns bool) {
	old := p.Scheduler
	tuning := slots.DispatcherTuning()
	tuning.Returns = returns
	p.Scheduler = slots.New(fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}, 7, tuning)
	p.SetRepresented(p.now, 3)
	p.SetTargets(p.now, newTargets(returnTargets))
	if old == nil {
		return
	}
	for _, r := range p.running {
		p.AddInFlight(p.now, r.placement.Work, identityOf(r.placement.Target), p.now, true)
	}
	for _, w := range old.TakeWaiting() {
		p.refuse(p.Offer(p.now, w, nil))
	}
}

func identityOf(name string) string {
	for _, t := range newTargets(returnTargets) {
		if t.Name == name {
			return t.Identity()
		}
	}
	return ""
}

func (p *returnPool) add(rank int, impatient bool) {
	p.nextID++
	c := &returnCaller{digest: uint32(p.nextID), rank: rank, began: p.now, impatient: impatient}
	p.callers = append(p.callers, c)
	p.attempt(c)
}

// attempt offers the request of a caller, whose time limit is 10 s and whose patience is 3 s.
func (p *returnPool) attempt(c *returnCaller) {
	c.returnsAt = time.Time{}
	p.nextID++
	w := newWork(fmt.Sprint(p.nextID), c.rank, p.now)
	w.Goal, w.Deadline, w.PatienceEnds = c.began.Add(800*time.Millisecond), c.began.Add(10*time.Second), p.now.Add(3*time.Second)
	w.Digest, w.Elapsed = c.digest, p.now.Sub(c.began)
	c.work = w
	p.refuse(p.Offer(p.now, w, nil))
}

func (p *returnPool) refuse(sheds []fireflypath.Shed) {
	for _, s := range sheds {
		s.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateShed)
		for _, c := range p.callers {
			if c.work != s.Work {
				continue
			}
			c.refusals++
			longest := c.began.Add(10*time.Second).Sub(p.now) / 3
			switch {
			case c.impatient && c.refusals <= 3:
				c.returnsAt = p.now.Add(returnStep)
			case !c.impatient && c.refusals == 1:
				c.keeps = s.RetryAfter <= longest
				c.returnsAt = p.now.Add(min(s.RetryAfter, longest) + 2*time.Millisecond)
			}
		}
	}
}

// step lets time pass and executes what is due.
func (p *returnPool) step() {
	p.now = p.now.Add(returnStep)
	kept := p.running[:0]
	for _, r := range p.running {
		if p.now.Before(r.ends) {
			kept = append(kept, r)
			continue
		}
		complete(p.Scheduler, p.now, r.placement, slotTime)
	}
	p.running = kept
	p.refuse(p.Expire(p.now, nil))
	for _, c := range p.callers {
		if !c.returnsAt.IsZero() && !p.now.Before(c.returnsAt) {
			if c.keeps {
				p.returned[p.now.Sub(start).Truncate(100*time.Millisecond)]++
			}
			p.attempt(c)
		}
	}
	for _, placed := range dispatchAll(p.Scheduler, p.now) {
		p.running = append(p.running, runningRequest{placement: placed, ends: p.now.Add(slotTime)})
		for _, c := range p.callers {
			c.served = c.served || c.work == placed.Work
		}
	}
}

// burst runs 3 s at 0.9 of the capacity, 4 s at 2.5 times the capacity and 8 s at 0.9 of it. Of ten callers
// two are of rank 0, four of rank 1 and four of rank 2; one in ten is impatient. The change is made at its
// time.
func (p *returnPool) burst(at time.Duration, change func()) {
	offered, n := 0.0, 0
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += returnStep {
		if change != nil && elapsed == at {
			change()
		}
		load := 0.9
		switch {
		case elapsed >= 15*time.Second:
			load = 0
		case elapsed >= 3*time.Second && elapsed < 7*time.Second:
			load = 2.5
		}
		for offered += load * returnCapacity * returnStep.Seconds(); offered >= 1; offered-- {
			n++
			p.add([]int{0, 1, 2, 1, 2, 0, 1, 2, 1, 2}[n%10], n%11 == 0)
		}
		p.step()
	}
}

// returnResult is what callers received.
type returnResult struct {
	kept, keptRefused, served, sent, early, earlyServed int
	// wave is the largest number of callers that kept to their time and returned within a tenth of a second.
	wave                     int
	servedByRank, sentByRank [3]int
}

func (p *returnPool) result() returnResult {
	var out returnResult
	for _, n := range p.returned {
		out.wave = max(out.wave, n)
	}
	for _, c := range p.callers {
		out.sent++
		out.sentByRank[c.rank]++
		if c.served {
			out.served++
			out.servedByRank[c.rank]++
		}
		switch {
		case c.impatient && c.refusals > 0:
			out.early++
			if c.served {
				out.earlyServed++
			}
		case c.keeps:
			out.kept++
			if !c.served {
				out.keptRefused++
			}
		}
	}
	return out
}

// A burst of 2.5 times the capacity is refused. Callers that return at the time that they were given found
// newcomers ahead of them and were refused again. Fewer than a tenth of them may be, and no more callers in
// all may go without an answer than before.
func TestCallersThatKeepTheirTimeAreServed(t *testing.T) {
	is := is.New(t)
	before, after := newReturnPool(false), newReturnPool(true)
	before.burst(0, nil)
	after.burst(0, nil)
	b, a := before.result(), after.result()
	t.Logf("before %+v", b)
	t.Logf("after  %+v", a)
	is.True(a.kept >= 40)
	is.True(10*a.keptRefused < a.kept)
	is.True(a.served >= b.served-b.sent/100)
	is.True(a.servedByRank[0] >= b.servedByRank[0]-b.sentByRank[0]/100)
	is.True(a.wave <= returnCapacity/10)      // what the targets complete in a tenth of a second
	is.True(a.earlyServed <= b.earlyServed+1) // who does not wait gains nothing
}

// The dispatcher that gave the times is lost, with its ledger. Callers that return are newcomers to the next
// one: not worse off than without times, and nobody else is.
func TestLostLedgerMakesCallersNewcomers(t *testing.T) {
	is := is.New(t)
	before, after := newReturnPool(false), newReturnPool(true)
	before.burst(6*time.Second, func() { before.restart(false) })
	after.burst(6*time.Second, func() { after.restart(true) })
	b, a := before.result(), after.result()
	t.Logf("before %+v", b)
	t.Logf("after  %+v", a)
	is.True(a.kept > 0)
	is.True(a.served >= b.served-b.sent/100)
	is.True(a.keptRefused*b.kept <= b.keptRefused*a.kept)
}

// Half of the targets are gone when the promised callers return. There is no room for all of them, but those
// that kept to their time still come before newcomers, and no more callers in all go without an answer.
func TestPoolShrinksAfterPromises(t *testing.T) {
	is := is.New(t)
	before, after := newReturnPool(false), newReturnPool(true)
	for _, p := range []*returnPool{before, after} {
		p.burst(6*time.Second, func() { p.SetTargets(p.now, newTargets(returnTargets/2)) })
	}
	b, a := before.result(), after.result()
	t.Logf("before %+v", b)
	t.Logf("after  %+v", a)
	is.True(a.kept > 0)
	is.True(a.served >= b.served-b.sent/100)
	is.True(a.keptRefused*b.kept <= b.keptRefused*a.kept)
}

// refuseUntilPromised overloads the pool until a caller of the rank is refused with a promise, and returns
// it and the time after which it is to return.
func refuseUntilPromised(t *testing.T, p *returnPool, rank int) (*returnCaller, time.Duration) {
	t.Helper()
	for range 1000 {
		p.add(rank, false)
		p.step()
		for _, c := range p.callers {
			if c.keeps && c.work.Promised && c.returnsAt.After(p.now) {
				after := c.returnsAt.Sub(p.now)
				p.callers = nil // the others do not return
				return c, after
			}
		}
	}
	t.Fatal("no request was promised a time")
	return nil, 0
}

// Newcomers that wait for the same rank were served before a caller that came back at its time, whose goal
// has passed. It must go before them, also if another scheduler takes the waiting work over with what is known
// of it, and not before a higher rank.
func TestKeptTimeComesBeforeNewcomers(t *testing.T) {
	for _, moved := range []bool{false, true} {
		t.Run(fmt.Sprint("moved ", moved), func(t *testing.T) {
			is := is.New(t)
			p := newReturnPool(true)
			p.burst(3*time.Second, nil) // the speed of the targets is known
			first, after := refuseUntilPromised(t, p, 1)
			for end := p.now.Add(after + returnStep); p.now.Before(end); {
				p.step()
			}
			for i := range 60 {
				p.Offer(p.now, newWork(fmt.Sprint("new-", i), 1, p.now), nil)
			}
			again := newWork("again", 1, p.now)
			again.Digest, again.Goal, again.Deadline = first.digest, first.work.Goal, first.work.Deadline
			is.Equal(len(p.Offer(p.now, again, nil)), 0)
			is.Equal(again.Return, fireflypath.ReturnKept)
			higher := newWork("higher", 0, p.now)
			p.Offer(p.now, higher, nil)
			if moved {
				p.restart(true)
			}
			var order []string
			for range 400 {
				p.now = p.now.Add(returnStep)
				for _, placed := range dispatchAll(p.Scheduler, p.now) {
					order = append(order, placed.Work.ID)
					p.running = append(p.running, runningRequest{placement: placed, ends: p.now.Add(slotTime)})
				}
				kept := p.running[:0]
				for _, r := range p.running {
					if p.now.Before(r.ends) {
						kept = append(kept, r)
						continue
					}
					complete(p.Scheduler, p.now, r.placement, slotTime)
				}
				p.running = kept
			}
			is.True(len(order) > 2)
			is.Equal(order[:2], []string{"higher", "again"})
		})
	}
}

// A caller that comes back at once gets no place before others, and its promise is given up if it is served.
func TestEarlyCallerGainsNothing(t *testing.T) {
	is := is.New(t)
	p := newReturnPool(true)
	p.burst(3*time.Second, nil)
	first, after := refuseUntilPromised(t, p, 1)
	p.now = p.now.Add(50 * time.Millisecond)
	early := newWork("early", 1, p.now)
	early.Digest = first.digest
	early.Goal, early.PatienceEnds = p.now.Add(-time.Second), p.now.Add(100*time.Millisecond) // its turn comes too late
	sheds := p.Offer(p.now, early, nil)
	is.Equal(early.Return, fireflypath.ReturnEarly)
	is.Equal(len(sheds), 1)
	is.True(max(sheds[0].RetryAfter-after, after-sheds[0].RetryAfter) < 60*time.Millisecond) // the same time again
}

// Without the setting, nothing of a request says that its caller returned.
func TestReturnsOffChangesNothing(t *testing.T) {
	is := is.New(t)
	p := newReturnPool(false)
	w := newWork("a", 1, p.now)
	w.Digest, w.Elapsed, w.Return = 5, time.Second, fireflypath.ReturnKept
	p.Offer(p.now, w, nil)
	is.Equal(w.Return, fireflypath.ReturnNone)
	is.True(!w.Promised)
}

// Refusing and recognizing a caller must stay cheap while hundreds of requests wait.
func BenchmarkReturnWhileWorkWaits(b *testing.B) {
	for _, returns := range []bool{false, true} {
		b.Run(fmt.Sprint("returns ", returns), func(b *testing.B) {
			p := newReturnPool(returns)
			p.burst(20*time.Second, nil)
			for i := range 500 {
				p.Offer(p.now, newWork(fmt.Sprint("waiting-", i), i%3, p.now), nil)
			}
			w := newWork("w", 2, p.now)
			w.Digest, w.Elapsed = 7, time.Second
			w.PatienceEnds, w.Goal = p.now.Add(time.Millisecond), p.now.Add(-time.Second)
			var out []fireflypath.Shed
			b.ReportAllocs()
			for b.Loop() {
				w.Return = fireflypath.ReturnNone
				out = p.Offer(p.now, w, out[:0])
				if len(out) == 0 {
					b.Fatal("the request was not refused")
				}
			}
		})
	}
}
