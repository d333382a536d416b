package sim

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/sim/engine"
)

// call is one attempt of a caller through one daemon.
type call struct {
	r      *request
	d      *daemon
	number int
	work   fireflypath.Work
	tries  int
	avoid  []string
	target *target
	// sentAt is when the request was sent to the target.
	sentAt        time.Time
	engineRequest *engine.Request
	finished      bool
	// elapsed is for how long the caller has been trying, as the daemon estimates it.
	elapsed time.Duration
	events  int
	// viaPeer is true for a connection through another daemon.
	viaPeer bool
}

// sortCalls orders calls by the ids of their requests.
func sortCalls(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return strings.Compare(a.work.ID, b.work.ID) })
}

// offer passes the request to the daemon's scheduler.
func (c *call) offer() {
	if c.finished {
		return
	}
	r, now := c.r, c.r.w.loop.Now()
	if r.w.quarantine.isHeld(r) {
		c.refuse(heldRetryAfter)
		return
	}
	k := r.spec()
	if c.tries == 0 {
		c.elapsed = c.d.estimateElapsed(r)
	}
	c.tries++
	c.work = fireflypath.Work{
		ID: r.id + "-" + strconv.Itoa(c.number), Rank: r.rank, Pool: poolName, Weight: 1, Arrived: now, Deadline: r.deadline(),
		Goal: r.goal(), Cost: fireflypath.Cost{Prompt: r.prompt + r.generated, MaxOutput: r.outputEstimate}, ExpectedOutput: max(r.outputEstimate-r.generated, 1),
		Gap: k.Gap.Duration(), Idempotent: k.Repeat, Avoid: c.avoid, Version: r.version,
		Digest: r.digest(), Elapsed: c.elapsed,
	}
	r.w.setTeam(r, &c.work)
	if r.generated == 0 {
		c.work.PatienceEnds = now.Add(k.Patience())
	}
	r.countOffer()
	c.d.offer(c)
}

// goal returns the time by which the answer should begin.
func (r *request) goal() time.Time {
	return r.arrivedAt.Add(r.spec().Goal.Duration())
}

// refuse returns the daemon's refusal to the caller.
func (c *call) refuse(after time.Duration) {
	if c.finished {
		return
	}
	c.finished = true
	c.countRecognized(true)
	c.r.w.loop.After(c.r.w.options.Fleet.CallerHop.Duration(), func() { c.r.handleRefusal(after) })
}

// disconnect closes the caller's connection.
func (c *call) disconnect() {
	if c.finished {
		return
	}
	c.finished = true
	if c.engineRequest != nil {
		c.target.Cancel(c.engineRequest)
	}
	c.r.w.loop.After(c.r.w.options.Fleet.CallerHop.Duration(), c.r.handleFailure)
}

// checkPatience ends the attempt if the caller has waited longer than its patience
// since the last event.
func (c *call) checkPatience(since time.Time, patience time.Duration) {
	if c.finished || c.r.ended {
		return
	}
	now := c.r.w.loop.Now()
	if seen := c.r.lastEventAt; seen.After(since) {
		if left := patience - now.Sub(seen); left > 0 {
			c.r.w.loop.After(left, func() { c.checkPatience(since, patience) })
			return
		}
	}
	c.finished = true
	c.r.finish(outcomeLeft)
	c.r.w.loop.After(c.r.w.options.Fleet.CallerHop.Duration(), c.cancel)
}

// cancel informs the daemon and the engine that the caller has left.
func (c *call) cancel() {
	c.d.withdraw(c)
	if c.engineRequest == nil {
		return
	}
	c.target.Cancel(c.engineRequest)
	c.notifyScheduler(fireflypath.Event{Kind: fireflypath.EventFailed, NotByTarget: true, Tokens: c.events})
}

// send sends the request to an engine.
func (c *call) send(name string) {
	w := c.r.w
	c.avoid = append(c.avoid, name)
	c.target, c.sentAt = w.findTarget(name), w.loop.Now()
	if c.number == 1 && c.tries == 1 {
		c.r.dispatchedAt = w.loop.Now()
	}
	req := &engine.Request{Prompt: c.work.Cost.Prompt, Output: c.r.output - c.r.generated}
	req.OnEvent = func(_ time.Time, last bool) {
		running, waiting := c.target.Load()
		w.loop.After(w.options.Fleet.Hop.Duration(), func() { c.handleEvent(req, last, running, waiting) })
	}
	req.OnFailure = func(time.Time) {
		w.loop.After(w.options.Fleet.Hop.Duration(), func() { c.handleEngineFailure(req, false) })
	}
	c.engineRequest = req
	delay, reached := time.Duration(0), true
	if c.target != nil {
		delay, c.viaPeer, reached = c.d.connect(c.target)
	}
	if !reached {
		c.avoid = c.avoid[:len(c.avoid)-1]
		w.loop.After(delay, c.unsent)
		return
	}
	w.loop.After(delay+w.options.Fleet.Hop.Duration(), func() {
		if c.finished || c.engineRequest != req {
			return // its connection broke meanwhile
		}
		if c.target != nil {
			c.target.recordArrival(w.loop.Now(), c.sentAt, c.d)
		}
		if c.target != nil && c.target.notice.Backoff > 0 {
			notice := c.target.notice
			w.loop.After(w.options.Fleet.Hop.Duration(), func() { c.observeNotice(notice); c.handleEngineRefusal() })
			return
		}
		if c.target == nil || !c.target.Submit(req) {
			if c.target != nil {
				w.recordTurnedAway(c.target)
			}
			w.loop.After(w.options.Fleet.Hop.Duration(), c.handleEngineRefusal)
			return
		}
		w.recordOccupancy(c.target)
		w.quarantine.reachesEngine(c)
	})
}

// notifyScheduler passes an event of this call to its scheduler.
func (c *call) notifyScheduler(e fireflypath.Event) {
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

// observeNotice passes what the engine says of itself in an answer to the scheduler.
func (c *call) observeNotice(n fireflypath.Notice) {
	if c.finished {
		return
	}
	c.target.recordAnswer(c.r.w.loop.Now(), c.d, n)
	c.d.observe(fireflypath.Event{Kind: fireflypath.EventNotice, Target: c.target.Name, Cached: -1, Sent: c.sentAt, Notice: n})
}

// handleEvent forwards an output event to the scheduler and the caller.
func (c *call) handleEvent(req *engine.Request, last bool, running, waiting int) {
	if c.finished || req != c.engineRequest {
		return
	}
	r, now := c.r, c.r.w.loop.Now()
	if c.events == 0 {
		c.countRecognized(false)
		r.recordVersion(c.target)
		c.scheduleBreak()
		if !c.viaPeer {
			c.d.paths.Answered()
		}
		c.observeNotice(c.target.notice)
		c.d.observe(fireflypath.Event{
			Kind: fireflypath.EventReport, Target: c.target.Name, Cached: -1,
			Report: fireflypath.Report{MeasuredAt: now, Running: running, Waiting: waiting},
		})
		c.notifyScheduler(fireflypath.Event{Kind: fireflypath.EventFirstOutput})
	}
	c.events++
	r.generated = min(r.generated+r.w.options.Fleet.Engines.Stride, r.output-1)
	if last {
		c.finished = true
		c.notifyScheduler(fireflypath.Event{Kind: fireflypath.EventDone, Tokens: c.events})
		r.w.quarantine.served(c)
	}
	r.w.loop.After(r.w.options.Fleet.CallerHop.Duration(), func() { r.handleEvent(r.w.loop.Now(), last) })
}

// handleEngineFailure handles an engine that went down while it held the request, or the loss of the
// path to it.
func (c *call) handleEngineFailure(req *engine.Request, notByTarget bool) {
	if c.finished || req != c.engineRequest {
		return
	}
	c.notifyScheduler(fireflypath.Event{Kind: fireflypath.EventFailed, NotByTarget: notByTarget, Tokens: c.events})
	if !notByTarget {
		c.r.w.quarantine.engineCrashed(c)
	}
	c.engineRequest, c.events = nil, 0
	if c.r.spec().Repeat && c.tries < 2 {
		c.offer()
		return
	}
	c.finished = true
	c.r.w.loop.After(c.r.w.options.Fleet.CallerHop.Duration(), c.r.handleFailure)
}

// handleEngineRefusal handles an engine that did not run the request.
func (c *call) handleEngineRefusal() {
	if c.finished {
		return
	}
	if c.target == nil || c.target.Stopped() {
		c.notifyScheduler(fireflypath.Event{Kind: fireflypath.EventFailed})
	} else {
		c.notifyScheduler(fireflypath.Event{Kind: fireflypath.EventRefused})
	}
	c.engineRequest = nil
	if c.tries < maxAttempts {
		c.offer()
		return
	}
	c.refuse(engineRefusalRetryAfter)
}

// heldRetryAfter is the retry delay sent to a caller whose request is held.
const heldRetryAfter = time.Hour

// engineRefusalRetryAfter is the retry delay sent to a caller whose request no engine
// accepted.
const engineRefusalRetryAfter = 300 * time.Millisecond
