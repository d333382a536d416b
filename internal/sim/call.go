package sim

import (
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/sim/engine"
)

// call is one attempt of a caller at a daemon.
type call struct {
	r      *request
	d      *daemon
	number int
	work   fireflypath.Work
	tries  int
	avoid  []string
	target *target
	run    *engine.Run
	over   bool
	events int
}

// arrive offers the request to the daemon's scheduler.
func (c *call) arrive() {
	if c.over {
		return
	}
	r, now := c.r, c.r.w.loop.Now()
	k := r.spec()
	c.tries++
	c.work = fireflypath.Work{
		ID: r.id + "-" + strconv.Itoa(c.number), Rank: r.rank, Pool: pool, Weight: 1, Arrived: now, Deadline: r.deadline(),
		Goal: r.goal(), Cost: fireflypath.Cost{Prompt: r.prompt + r.made, MaxOutput: r.hint}, ExpectedOutput: max(r.hint-r.made, 1),
		Gap: k.Gap.Std(), Idempotent: k.Repeat, Avoid: c.avoid,
	}
	if r.made == 0 {
		c.work.PatienceEnds = now.Add(k.Patience())
	}
	c.d.offer(c)
}

// goal is when the answer should begin.
func (r *request) goal() time.Time {
	return r.arrived.Add(r.spec().Goal.Std())
}

// refused passes a refusal of the daemon on.
func (c *call) refused(after time.Duration) {
	if c.over {
		return
	}
	c.over = true
	c.r.w.loop.After(c.r.w.o.Fleet.Way.Std(), func() { c.r.refused(after) })
}

// broken ends the caller's connection.
func (c *call) broken() {
	if c.over {
		return
	}
	c.over = true
	if c.run != nil {
		c.target.Cancel(c.run)
	}
	c.r.w.loop.After(c.r.w.o.Fleet.Way.Std(), c.r.failed)
}

// impatient ends an attempt whose caller has waited for as long as it bears.
func (c *call) impatient(since time.Time, patience time.Duration) {
	if c.over || c.r.ended {
		return
	}
	now := c.r.w.loop.Now()
	if seen := c.r.seen; seen.After(since) {
		if left := patience - now.Sub(seen); left > 0 {
			c.r.w.loop.After(left, func() { c.impatient(since, patience) })
			return
		}
	}
	c.over = true
	c.r.end(outcomeLeft)
	c.r.w.loop.After(c.r.w.o.Fleet.Way.Std(), c.gone)
}

// gone tells the daemon and the engine that the caller left.
func (c *call) gone() {
	c.d.withdraw(c)
	if c.run == nil {
		return
	}
	c.target.Cancel(c.run)
	c.tell(fireflypath.Event{Kind: fireflypath.EventFailed, CallerLeft: true, Tokens: c.events})
}

// dispatched sends the request to an engine.
func (c *call) dispatched(name string) {
	w := c.r.w
	c.avoid = append(c.avoid, name)
	c.target = w.find(name)
	if c.number == 1 && c.tries == 1 {
		c.r.sent = w.loop.Now()
	}
	run := &engine.Run{Prompt: c.work.Cost.Prompt, Output: c.r.output - c.r.made}
	run.Event = func(_ time.Time, last bool) {
		running, waiting := c.target.Load()
		w.loop.After(w.o.Fleet.Hop.Std(), func() { c.event(run, last, running, waiting) })
	}
	run.Fail = func(time.Time) { w.loop.After(w.o.Fleet.Hop.Std(), func() { c.failed(run) }) }
	c.run = run
	w.loop.After(w.o.Fleet.Hop.Std(), func() {
		if c.target == nil || !c.target.Submit(run) {
			w.loop.After(w.o.Fleet.Hop.Std(), c.turnedAway)
		}
	})
}

// tell passes an event of this call on to its scheduler.
func (c *call) tell(e fireflypath.Event) {
	e.Work, e.Cached = &c.work, -1
	if c.target != nil {
		e.Target = c.target.Name
	}
	if c.d.calls[&c.work] != c {
		return // the daemon was restarted
	}
	if e.Kind != fireflypath.EventFirstOutput {
		delete(c.d.calls, &c.work)
	}
	c.d.observe(e)
}

// event passes an answer's event on.
func (c *call) event(run *engine.Run, last bool, running, waiting int) {
	if c.over || run != c.run {
		return
	}
	r, now := c.r, c.r.w.loop.Now()
	if c.events == 0 {
		c.d.observe(fireflypath.Event{
			Kind: fireflypath.EventReport, Target: c.target.Name, Cached: -1,
			Report: fireflypath.Report{MeasuredAt: now, Running: running, Waiting: waiting},
		})
		c.tell(fireflypath.Event{Kind: fireflypath.EventFirstOutput})
	}
	c.events++
	r.made = min(r.made+r.w.o.Fleet.Engines.Stride, r.output-1)
	if last {
		c.over = true
		c.tell(fireflypath.Event{Kind: fireflypath.EventDone, Tokens: c.events})
	}
	r.w.loop.After(r.w.o.Fleet.Way.Std(), func() { r.event(r.w.loop.Now(), last) })
}

// failed is the end of an engine that had the request.
func (c *call) failed(run *engine.Run) {
	if c.over || run != c.run {
		return
	}
	c.tell(fireflypath.Event{Kind: fireflypath.EventFailed, Tokens: c.events})
	c.run, c.events = nil, 0
	if c.r.spec().Repeat && c.tries < 2 {
		c.arrive()
		return
	}
	c.over = true
	c.r.w.loop.After(c.r.w.o.Fleet.Way.Std(), c.r.failed)
}

// turnedAway is an engine that did not run the request.
func (c *call) turnedAway() {
	if c.over {
		return
	}
	if c.target == nil || c.target.Gone() {
		c.tell(fireflypath.Event{Kind: fireflypath.EventFailed})
	} else {
		c.tell(fireflypath.Event{Kind: fireflypath.EventRefused})
	}
	c.run = nil
	if c.tries < maxAttempts {
		c.arrive()
		return
	}
	c.refused(turnedAwayAgain)
}

// turnedAwayAgain is what a caller is told whose request no engine took.
const turnedAwayAgain = 300 * time.Millisecond
