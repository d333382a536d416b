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
	// impatient is the part of refused callers that come back early.
	impatient = 0.7
	// attempts bounds a caller's attempts.
	attempts = 10
	// hasty is the longest time after which an impatient caller is back.
	hasty = time.Second
)

// request is a caller's request with all its attempts.
type request struct {
	arrival  mix.Arrival
	started  time.Time
	deadline time.Time
	prefix   []uint64
	output   int
	rnd      *rand.Rand
	attempts int
	first    time.Time
	last     fireflypath.State
	fresh    int
	// patient is true if the last attempt came at the time that was told.
	patient bool
	// prefilled is true once a target has prefilled the prompt.
	prefilled bool
}

// daemon is one entry host with its own scheduler.
type daemon struct {
	fleet  *fleet
	number int
	sched  fireflypath.Scheduler
	place  fireflypath.Placement
	wake   time.Time
	waits  map[*fireflypath.Work]*request
	// flights are kept for the policy that cancels.
	flights   []flight
	cancelled time.Time
	heard     [daemons]share.Demand
	ledger    share.Ledger
}

// line is the daemon's demand as it tells it to the others.
func (d *daemon) line() share.Demand {
	m := d.sched.Demand(d.now())
	return share.Demand{Name: strconv.Itoa(d.number), Slots: m.Slots, Running: m.RunningRequests, Waiting: m.WaitingRequests}
}

// apply puts the part of the windows in force that may be used now, and again
// when more may be.
func (d *daemon) apply() {
	d.sched.SetShare(d.now(), fireflypath.Share{Default: d.ledger.InUse(d.now())})
	d.pump()
	if at := d.ledger.NextChange(); !at.IsZero() {
		d.fleet.loop.at(at.Add(time.Microsecond), func() {
			d.sched.SetShare(d.now(), fireflypath.Share{Default: d.ledger.InUse(d.now())})
			d.pump()
		})
	}
}

func (d *daemon) offer(w *fireflypath.Work, r *request) {
	d.waits[w] = r
	d.handle(d.sched.Offer(d.now(), w, nil))
	d.pump()
}

func (d *daemon) observe(e fireflypath.Event) {
	d.sched.Observe(d.now(), e)
	d.pump()
}

func (d *daemon) now() time.Time { return d.fleet.loop.now }

// pump dispatches what may be dispatched and sets the next wake-up.
func (d *daemon) pump() {
	d.handle(d.sched.Expire(d.now(), nil))
	for d.sched.Next(d.now(), &d.place) {
		w := d.place.Work
		if w.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched) {
			d.dispatch(w, d.place.Target)
		}
	}
	d.handle(d.sched.Expire(d.now(), nil))
	d.cancel()
	at := d.sched.Wake(d.now())
	if at.IsZero() || (at.Equal(d.wake) && at.After(d.now())) {
		return
	}
	d.wake = at
	d.fleet.loop.at(at.Add(time.Microsecond), func() {
		if d.wake.Equal(at) {
			d.wake = time.Time{}
			d.pump()
		}
	})
}

func (d *daemon) dispatch(w *fireflypath.Work, target string) {
	r := d.waits[w]
	delete(d.waits, w)
	e := d.fleet.names[target]
	sent := d.now()
	j := &job{work: w, output: r.output}
	d.flights = append(d.flights, flight{request: r, job: j, engine: e})
	j.first = func(cached int) {
		r.prefilled = true
		r.fresh = w.Cost.Prompt - cached
		d.fleet.tally.prefilled(r, w.Cost.Prompt, r.fresh)
		d.fleet.loop.after(hop, func() {
			r.first = d.now()
			d.observe(fireflypath.Event{Kind: fireflypath.EventFirstOutput, Target: target, Work: w, Sent: sent, Cached: cached})
		})
	}
	j.done = func() {
		d.fleet.loop.after(hop, func() {
			d.land(j)
			w.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateAnswered)
			d.fleet.tally.answered(r, d.now())
			d.observe(fireflypath.Event{
				Kind: fireflypath.EventDone, Target: target, Work: w, Sent: sent, Tokens: r.output, Cached: -1,
			})
		})
	}
	d.fleet.loop.after(hop, func() { e.accept(j) })
}

// handle writes the refusals, after a relief round where one is due.
func (d *daemon) handle(sheds []fireflypath.Shed) {
	for _, s := range sheds {
		if !s.Relief {
			d.refuse(s)
			continue
		}
		d.ask(s, len(d.fleet.mix.Tiers)-2, false)
	}
}

// ask is a relief round: it asks the peers for their work of the lowest tier,
// then of the next, up to the one below the work's, so that no tier gives way
// before all daemons have given up the ones below it. Each question takes a
// hop and each answer another.
func (d *daemon) ask(s fireflypath.Shed, rank int, freed bool) {
	d.fleet.loop.after(hop, func() {
		for _, p := range d.fleet.daemons {
			if p == d && rank == s.Work.Rank {
				continue
			}
			out := p.sched.Relieve(d.now(), rank, s.Tokens, nil)
			freed = freed || len(out) > 0
			p.handle(out)
		}
		d.fleet.loop.after(hop, func() {
			if rank > s.Work.Rank {
				d.ask(s, rank-1, freed)
				return
			}
			if freed && s.Reason == fireflypath.ReasonDeadline {
				d.ask(s, len(d.fleet.mix.Tiers)-2, false)
				return
			}
			if !freed {
				d.handle(d.sched.Relieve(d.now(), rank, s.Tokens, nil))
				d.refuse(s)
			}
			d.pump()
		})
	})
}

// refuse gives the final answer, unless the work went elsewhere meanwhile.
func (d *daemon) refuse(s fireflypath.Shed) {
	to := fireflypath.StateShed
	if s.Reason == fireflypath.ReasonDeadline {
		to = fireflypath.StateExpired
	}
	if !s.Work.Lifecycle.Transition(fireflypath.StateWaiting, to) {
		return
	}
	d.sched.Withdraw(d.now(), s.Work)
	r := d.waits[s.Work]
	delete(d.waits, s.Work)
	room := s.RetryAfter > 0
	d.fleet.tally.refused(r, to, room && d.fleet.inverted(s.Work.Rank))
	if d.fleet.load.retries && room {
		d.retry(r, s.RetryAfter)
	}
}

// retry brings a refused caller back, mostly before its time.
func (d *daemon) retry(r *request, after time.Duration) {
	early := false
	r.patient = true
	if r.rnd.Float64() < impatient {
		early = true
		r.patient = false
		after = min(after, time.Duration(r.rnd.Int64N(int64(hasty))))
	}
	at := d.now().Add(after)
	if r.attempts >= attempts || !at.Before(r.deadline) {
		return
	}
	d.fleet.tally.again(r)
	d.fleet.loop.at(at, func() { d.fleet.attempt(r, early) })
}
