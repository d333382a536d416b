// Package dispatcher decides for all daemons of a group about the work of one pool.
//
// It answers bursts that several daemons receive together. Each daemon by itself
// sees only its own queue: a slot that one frees goes to its own late or low work
// while punctual or higher work waits at another, and to keep out of each other's
// way daemons leave slots idle. With one queue before all targets the order of
// tiers and goals holds between daemons too, and no target gets more than it has
// slots.
//
// A dispatcher decides and owns nothing: a request belongs to the daemon that
// accepted it, which alone moves it out of waiting, sends it and answers the caller.
// So two dispatchers at a time, one that stood still, or none, cost order and
// places but no promise.
package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Scheduler decides about the work; it can be told of work that others placed.
type Scheduler interface {
	fireflypath.Scheduler
	// Adopt counts work that is at a target already.
	Adopt(now time.Time, w *fireflypath.Work, target string, sent time.Time, began bool)
	// UpdatePeers takes in what daemons have in flight that decide for themselves.
	UpdatePeers(now time.Time, mates []fireflypath.Mate)
}

// Dispatcher holds the queue of one pool. It is not safe for concurrent use.
type Dispatcher struct {
	pool     string
	sched    Scheduler
	sessions map[string]*session
	entries  map[*fireflypath.Work]*entry
	// identities are those of the targets, by name.
	identities map[string]string
	place      fireflypath.Placement
	sheds      []fireflypath.Shed
	// orphans is work at targets whose daemon left its session.
	orphans []orphan
	// hold is until when nothing is placed.
	hold time.Time
}

// orphan is work at a target that goes on, told of by nobody until its daemon does
// so in another way.
type orphan struct {
	*entry
	daemon string
	since  time.Time
}

// orphanTime is how long such work counts: daemons that decide for themselves tell
// what they have in flight several times in it. Dropped at once, the places that it
// holds would be given to others, and targets would get twice what they can run.
const orphanTime = 150 * time.Millisecond

// session is one daemon's work.
type session struct {
	id    uint64
	works map[uint64]*entry
	turns []fireflypath.Turn
}

type entry struct {
	work    fireflypath.Work
	session *session
	number  uint64
}

// New returns a dispatcher without work.
func New(pool string, sched Scheduler) *Dispatcher {
	return &Dispatcher{
		pool: pool, sched: sched, sessions: map[string]*session{}, entries: map[*fireflypath.Work]*entry{},
		identities: map[string]string{},
	}
}

// OpenSession starts a session with a daemon. What was known of an earlier one ends:
// the daemon tells everything anew.
func (d *Dispatcher) OpenSession(now time.Time, daemon string, id uint64) {
	d.CloseSession(now, daemon)
	d.release(now, daemon)
	d.sessions[daemon] = &session{id: id, works: map[uint64]*entry{}}
}

// CloseSession ends the session with a daemon: its waiting work is no longer here. What it has
// at targets goes on.
func (d *Dispatcher) CloseSession(now time.Time, daemon string) {
	s := d.sessions[daemon]
	if s == nil {
		return
	}
	delete(d.sessions, daemon)
	numbers := make([]uint64, 0, len(s.works))
	for n := range s.works {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		e := s.works[n]
		if d.sched.Withdraw(now, &e.work) {
			d.forget(e)
			continue
		}
		d.orphans = append(d.orphans, orphan{entry: e, daemon: daemon, since: now})
	}
	d.pump(now)
}

// release ends orphans whose time is over, or whose daemon tells of them anew.
func (d *Dispatcher) release(now time.Time, daemon string) {
	d.orphans = slices.DeleteFunc(d.orphans, func(o orphan) bool {
		over := o.daemon == daemon || now.Sub(o.since) >= orphanTime
		if over {
			d.drop(now, o.entry)
		}
		return over
	})
}

// Sessions are the daemons that this one decides for, by name.
func (d *Dispatcher) Sessions() []string {
	out := make([]string, 0, len(d.sessions))
	for name := range d.sessions {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Apply takes in the news of a daemon with a session.
func (d *Dispatcher) Apply(now time.Time, daemon string, news *fireflypath.News) {
	s := d.sessions[daemon]
	if s == nil {
		return
	}
	for i := range news.Flights {
		f := &news.Flights[i]
		e := d.enter(now, daemon, s, &f.Offer)
		e.work.Life.Move(fireflypath.StateWaiting, fireflypath.StateDispatched)
		d.sched.Adopt(now, &e.work, f.Target, now.Add(-f.Sent.Std()), f.Began)
	}
	for i := range news.Progress {
		d.progress(now, s, &news.Progress[i])
	}
	for _, n := range news.Withdrawn {
		if e := s.works[n]; e != nil {
			d.drop(now, e)
		}
	}
	for i := range news.Offers {
		e := d.enter(now, daemon, s, &news.Offers[i])
		d.sheds = d.sched.Offer(now, &e.work, d.sheds[:0])
		d.shed(now)
	}
	d.pump(now)
}

// enter makes the work of an offer.
func (d *Dispatcher) enter(now time.Time, daemon string, s *session, o *fireflypath.Offer) *entry {
	e := &entry{session: s, number: o.Number}
	e.work = fireflypath.Work{
		ID: daemon + "." + strconv.FormatUint(o.Number, 10), Rank: o.Rank, Pool: d.pool, Weight: 1,
		Arrived: now.Add(-o.Waited.Std()), Deadline: now.Add(o.Deadline.Std()), Goal: now.Add(o.Goal.Std()),
		Cost: fireflypath.Cost{Prompt: o.Prompt, Output: o.Output}, Output: o.Expected, Gap: o.Gap.Std(), Avoid: o.Avoid,
	}
	if o.Leaves > 0 {
		e.work.Leaves = now.Add(o.Leaves.Std())
	}
	s.works[o.Number] = e
	d.entries[&e.work] = e
	return e
}

// progress passes an event on.
func (d *Dispatcher) progress(now time.Time, s *session, p *fireflypath.Progress) {
	e := s.works[p.Number]
	if e == nil {
		return
	}
	if p.Kind == fireflypath.EventUnsent {
		e.work.Life.Move(fireflypath.StateDispatched, fireflypath.StateWaiting)
	}
	d.sched.Observe(now, fireflypath.Event{
		Kind: p.Kind, Work: &e.work, Tokens: p.Tokens, Left: p.Left, Cached: -1,
	})
	if p.Kind != fireflypath.EventUnsent && p.Kind != fireflypath.EventFirst {
		d.forget(e)
	}
}

// drop ends work that its daemon has taken back, wherever it is.
func (d *Dispatcher) drop(now time.Time, e *entry) {
	if !d.sched.Withdraw(now, &e.work) {
		d.sched.Observe(now, fireflypath.Event{Kind: fireflypath.EventFailed, Work: &e.work, Left: true, Cached: -1})
	}
	d.forget(e)
}

func (d *Dispatcher) forget(e *entry) {
	delete(e.session.works, e.number)
	delete(d.entries, &e.work)
}

// shed turns what the scheduler gave up into refusals.
func (d *Dispatcher) shed(now time.Time) {
	for _, s := range d.sheds {
		e := d.entries[s.Work]
		if e == nil {
			continue
		}
		e.work.Life.Move(fireflypath.StateWaiting, fireflypath.StateShed)
		d.sched.Withdraw(now, s.Work)
		d.forget(e)
		e.session.turns = append(e.session.turns, fireflypath.Turn{
			Number: e.number, Reason: s.Reason, Detail: s.Detail, Retry: fireflypath.MicrosOf(s.RetryAfter),
		})
	}
}

// PauseUntil has nothing placed until a time. A dispatcher that has just been chosen does not
// know yet what those have at the targets that will choose it a moment later; it would
// fill places that are taken.
func (d *Dispatcher) PauseUntil(now, until time.Time) {
	d.hold = until
	d.pump(now)
}

// pump carries out what the scheduler decides now.
func (d *Dispatcher) pump(now time.Time) {
	if now.Before(d.hold) {
		return
	}
	for d.sched.Next(now, &d.place) {
		e := d.entries[d.place.Work]
		if e == nil {
			continue
		}
		e.work.Life.Move(fireflypath.StateWaiting, fireflypath.StateDispatched)
		e.session.turns = append(e.session.turns, fireflypath.Turn{
			Number: e.number, Target: d.identities[d.place.Target], Ahead: d.place.Line, First: fireflypath.MicrosOf(d.place.First),
		})
	}
}

// Tick gives up what has waited too long and places what can be placed now.
func (d *Dispatcher) Tick(now time.Time) {
	d.release(now, "")
	d.sheds = d.sched.Expire(now, d.sheds[:0])
	d.shed(now)
	d.pump(now)
}

// Wake is when Tick has something to do without news; zero means never.
func (d *Dispatcher) Wake(now time.Time) time.Time {
	if len(d.entries) == 0 {
		return time.Time{}
	}
	at := d.sched.Wake(now)
	if now.Before(d.hold) && (at.IsZero() || d.hold.Before(at)) {
		at = d.hold
	}
	if len(d.orphans) > 0 {
		if due := d.orphans[0].since.Add(orphanTime); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	return at
}

// HasDecisions is true if there are decisions for a daemon that it has not been told.
func (d *Dispatcher) HasDecisions(daemon string) bool {
	s := d.sessions[daemon]
	return s != nil && len(s.turns) > 0
}

// TakeDecisions takes the decisions for a daemon that it has not been told.
func (d *Dispatcher) TakeDecisions(daemon string) []fireflypath.Turn {
	s := d.sessions[daemon]
	if s == nil {
		return nil
	}
	out := s.turns
	s.turns = nil
	return out
}

// SetTargets replaces the targets.
func (d *Dispatcher) SetTargets(now time.Time, targets []fireflypath.Target) {
	clear(d.identities)
	for _, t := range targets {
		d.identities[t.Name] = t.Identity()
	}
	d.sched.SetTargets(now, targets)
	d.pump(now)
}

// SetShare sets which targets the group sends work to.
func (d *Dispatcher) SetShare(now time.Time, s fireflypath.Share) {
	d.sched.SetShare(now, s)
	d.pump(now)
}

// UpdatePeers takes in what other daemons tell of their work; only that of daemons
// without a session is not known here already.
func (d *Dispatcher) UpdatePeers(now time.Time, mates []fireflypath.Mate) {
	others := make([]fireflypath.Mate, 0, len(mates))
	for _, m := range mates {
		if d.sessions[m.Name] == nil {
			m.Waits = nil // their order is their own
			others = append(others, m)
		}
	}
	d.sched.UpdatePeers(now, others)
	d.pump(now)
}
