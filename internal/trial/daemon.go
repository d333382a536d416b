package trial

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/share"
	"github.com/fireflypath/fireflypath/internal/mix"
)

const (
	// impatientFraction is the fraction of refused callers that retry early.
	impatientFraction = 0.7
	// maxAttempts bounds the attempts of one caller.
	maxAttempts = 10
	// maxEarlyRetryDelay is the longest delay of an early retry.
	maxEarlyRetryDelay = time.Second
)

// request is a caller's request with all its attempts.
type request struct {
	arrival        mix.Arrival
	started        time.Time
	deadline       time.Time
	prefix         []uint64
	output         int
	rnd            *rand.Rand
	attempts       int
	firstTokenAt   time.Time
	lastRefusal    fireflypath.State
	uncachedTokens int
	// patient reports whether the last attempt was a retry at the announced time.
	patient bool
	// prefilled reports whether a target has prefilled the prompt.
	prefilled bool
}

// daemon is one gateway daemon with its own scheduler.
type daemon struct {
	fleet     *fleet
	index     int
	scheduler fireflypath.Scheduler
	placement fireflypath.Placement
	nextWake  time.Time
	waiting   map[*fireflypath.Work]*request
	// running holds the dispatched requests, for the policy that cancels.
	running    []runningRequest
	lastCancel time.Time
	demands    [daemons]share.Demand
	ledger     share.Ledger
}

// demand returns the daemon's demand as it is sent to the other daemons.
func (d *daemon) demand() share.Demand {
	m := d.scheduler.Demand(d.now())
	return share.Demand{Name: strconv.Itoa(d.index), Slots: m.Slots, Running: m.RunningRequests, Waiting: m.WaitingRequests}
}

// applyShare applies the share of the windows that may be used now, and schedules the
// next change.
func (d *daemon) applyShare() {
	d.scheduler.SetShare(d.now(), fireflypath.Share{Default: d.ledger.InUse(d.now())})
	d.runScheduler()
	if at := d.ledger.NextChange(); !at.IsZero() {
		d.fleet.loop.at(at.Add(time.Microsecond), func() {
			d.scheduler.SetShare(d.now(), fireflypath.Share{Default: d.ledger.InUse(d.now())})
			d.runScheduler()
		})
	}
}

func (d *daemon) offer(w *fireflypath.Work, r *request) {
	d.waiting[w] = r
	d.handleSheds(d.scheduler.Offer(d.now(), w, nil))
	d.runScheduler()
}

func (d *daemon) observe(e fireflypath.Event) {
	d.scheduler.Observe(d.now(), e)
	d.runScheduler()
}

func (d *daemon) now() time.Time { return d.fleet.loop.now }

// runScheduler dispatches what the scheduler allows and schedules the next wake-up.
func (d *daemon) runScheduler() {
	d.handleSheds(d.scheduler.Expire(d.now(), nil))
	for d.scheduler.Next(d.now(), &d.placement) {
		w := d.placement.Work
		if w.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched) {
			d.dispatch(w, d.placement.Target)
		}
	}
	d.handleSheds(d.scheduler.Expire(d.now(), nil))
	d.cancelLowest()
	at := d.scheduler.Wake(d.now())
	if at.IsZero() || (at.Equal(d.nextWake) && at.After(d.now())) {
		return
	}
	d.nextWake = at
	d.fleet.loop.at(at.Add(time.Microsecond), func() {
		if d.nextWake.Equal(at) {
			d.nextWake = time.Time{}
			d.runScheduler()
		}
	})
}

func (d *daemon) dispatch(w *fireflypath.Work, target string) {
	r := d.waiting[w]
	delete(d.waiting, w)
	e := d.fleet.enginesByName[target]
	sent := d.now()
	j := &job{work: w, output: r.output}
	d.running = append(d.running, runningRequest{request: r, job: j, engine: e})
	j.onFirstToken = func(cached int) {
		r.prefilled = true
		r.uncachedTokens = w.Cost.Prompt - cached
		d.fleet.tally.prefilled(r, w.Cost.Prompt, r.uncachedTokens)
		d.fleet.loop.after(hop, func() {
			r.firstTokenAt = d.now()
			d.observe(fireflypath.Event{Kind: fireflypath.EventFirstOutput, Target: target, Work: w, Sent: sent, Cached: cached})
		})
	}
	j.onDone = func() {
		d.fleet.loop.after(hop, func() {
			d.removeRunning(j)
			w.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateAnswered)
			d.fleet.tally.answered(r, d.now())
			d.observe(fireflypath.Event{
				Kind: fireflypath.EventDone, Target: target, Work: w, Sent: sent, Tokens: r.output, Cached: -1,
			})
		})
	}
	d.fleet.loop.after(hop, func() { e.enqueue(j) })
}

// handleSheds refuses the shed work, after a relief round where one is required.
func (d *daemon) handleSheds(sheds []fireflypath.Shed) {
	for _, s := range sheds {
		if !s.Relief {
			d.refuse(s)
			continue
		}
		d.requestRelief(s, len(d.fleet.mix.Tiers)-2, false)
	}
}

// requestRelief runs a relief round: it asks all daemons to shed work of the lowest
// tier, then of the next one, up to the tier of the work itself, so that no tier sheds
// work before all daemons have shed the tiers below it. Each request and each reply
// takes one hop.
func (d *daemon) requestRelief(s fireflypath.Shed, rank int, anyShed bool) {
	d.fleet.loop.after(hop, func() {
		for _, p := range d.fleet.daemons {
			if p == d && rank == s.Work.Rank {
				continue
			}
			out := p.scheduler.Relieve(d.now(), rank, s.Tokens, nil)
			anyShed = anyShed || len(out) > 0
			p.handleSheds(out)
		}
		d.fleet.loop.after(hop, func() {
			if rank > s.Work.Rank {
				d.requestRelief(s, rank-1, anyShed)
				return
			}
			if anyShed && s.Reason == fireflypath.ReasonDeadline {
				d.requestRelief(s, len(d.fleet.mix.Tiers)-2, false)
				return
			}
			if !anyShed {
				d.handleSheds(d.scheduler.Relieve(d.now(), rank, s.Tokens, nil))
				d.refuse(s)
			}
			d.runScheduler()
		})
	})
}

// refuse refuses the work for good, unless it was dispatched or withdrawn meanwhile.
func (d *daemon) refuse(s fireflypath.Shed) {
	to := fireflypath.StateShed
	if s.Reason == fireflypath.ReasonDeadline {
		to = fireflypath.StateExpired
	}
	if !s.Work.Lifecycle.Transition(fireflypath.StateWaiting, to) {
		return
	}
	d.scheduler.Withdraw(d.now(), s.Work)
	r := d.waiting[s.Work]
	delete(d.waiting, s.Work)
	retryable := s.RetryAfter > 0
	d.fleet.tally.refused(r, to, retryable && d.fleet.lowerTierWaits(s.Work.Rank))
	if d.fleet.load.retries && retryable {
		d.retry(r, s.RetryAfter)
	}
}

// retry schedules the retry of a refused caller, in most cases before the announced
// time.
func (d *daemon) retry(r *request, after time.Duration) {
	early := false
	r.patient = true
	if r.rnd.Float64() < impatientFraction {
		early = true
		r.patient = false
		after = min(after, time.Duration(r.rnd.Int64N(int64(maxEarlyRetryDelay))))
	}
	at := d.now().Add(after)
	if r.attempts >= maxAttempts || !at.Before(r.deadline) {
		return
	}
	d.fleet.tally.undoRefusal(r)
	d.fleet.loop.at(at, func() { d.fleet.startAttempt(r, early) })
}
