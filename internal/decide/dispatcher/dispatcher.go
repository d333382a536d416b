// Package dispatcher implements the central queue of one pool for a group of
// daemons.
//
// It is meant for bursts that reach several daemons at once. A daemon alone sees
// only its own queue: it gives a free slot to its own late or lower-tier work
// while punctual or higher-tier work waits at another daemon, and daemons leave
// slots idle to avoid overloading targets together. With one queue for all
// daemons, the order of tiers and goals holds across them, and no target gets
// more requests than it has slots.
//
// A dispatcher only decides. A request belongs to the daemon that accepted it:
// that daemon alone ends its waiting state, sends it and answers the caller. Two
// dispatchers at the same time, a stalled one, or none at all therefore impair
// the order and the use of slots, but no guarantee.
package dispatcher

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/targets"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// Scheduler is a scheduler that can also account for work placed by others.
type Scheduler interface {
	fireflypath.Scheduler
	// AddInFlight counts work that is already in flight at a target.
	AddInFlight(now time.Time, w *fireflypath.Work, target string, sent time.Time, began bool)
	// UpdatePeers sets the in-flight work of daemons that schedule for
	// themselves.
	UpdatePeers(now time.Time, peers []fireflypath.PeerLoad)
	// SetRepresented sets for how many daemons the scheduler decides. For none, it uses no target that
	// names a limit or is brittle.
	SetRepresented(now time.Time, daemons int)
	// Notices returns what targets have declared. NoticeVersion changes whenever they do.
	Notices(now time.Time) []fireflypath.TargetNotice
	NoticeVersion() uint64
	// ApplyNotices records what daemons have observed of such declarations.
	ApplyNotices(now time.Time, notices []fireflypath.TargetNotice)
	// ApplyBackoffs records the times for which targets want no requests of a daemon.
	ApplyBackoffs(now time.Time, daemon string, backoffs []fireflypath.TargetBackoff)
}

// Dispatcher schedules the work of one pool for several daemons. It is not safe
// for concurrent use.
type Dispatcher struct {
	pool      string
	scheduler Scheduler
	sessions  map[string]*session
	entries   map[*fireflypath.Work]*entry
	list      targets.List
	placement fireflypath.Placement
	sheds     []fireflypath.Shed
	// orphans is work in flight whose daemon closed its session.
	orphans []orphan
	// pausedUntil is the time until which no work is dispatched.
	pausedUntil time.Time
	leases      leaseCount
	// lender is the scheduler if it may lend slots to other cells, or nil.
	lender Lender
}

// orphan is work still in flight at a target that no daemon with a session
// reports.
type orphan struct {
	*entry
	daemon     string
	orphanedAt time.Time
}

// orphanTimeout is how long orphans occupy their slots. A daemon that schedules
// for itself reports its work in flight several times within it. Freed at once,
// the slots would be given to other work, and targets would get twice what they
// can run.
const orphanTimeout = 150 * time.Millisecond

// session holds the work of one daemon and the decisions not yet sent to it.
type session struct {
	id        uint64
	entries   map[uint64]*entry
	decisions []fireflypath.Decision
	// sentNotices is the version of the targets' notices that the daemon was sent.
	sentNotices uint64
	lease       Lease
	// reported is true once the daemon has reported its work, which replaces what is left of an earlier
	// session.
	reported bool
}

// entry is one request of a session.
type entry struct {
	work    fireflypath.Work
	session *session
	number  uint64
}

// New returns a Dispatcher without work.
func New(pool string, sched Scheduler) *Dispatcher {
	return &Dispatcher{
		lender: lenderOf(sched), pool: pool, scheduler: sched, sessions: map[string]*session{}, entries: map[*fireflypath.Work]*entry{},
	}
}

// OpenSession starts a session with a daemon. It replaces an earlier session:
// the daemon reports all its work again.
func (d *Dispatcher) OpenSession(now time.Time, daemon string, id uint64) {
	d.CloseSession(now, daemon)
	d.sessions[daemon] = &session{id: id, entries: map[uint64]*entry{}}
	d.countLeases(now)
}

// CloseSession ends the session with a daemon and removes its waiting work. Its
// work in flight becomes orphaned.
func (d *Dispatcher) CloseSession(now time.Time, daemon string) {
	s := d.sessions[daemon]
	if s == nil {
		return
	}
	delete(d.sessions, daemon)
	d.countLeases(now)
	numbers := make([]uint64, 0, len(s.entries))
	for n := range s.entries {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		e := s.entries[n]
		if d.scheduler.Withdraw(now, &e.work) {
			d.removeEntry(e)
			continue
		}
		d.orphans = append(d.orphans, orphan{entry: e, daemon: daemon, orphanedAt: now})
	}
	d.dispatchWaiting(now)
}

// releaseOrphans removes orphans that have timed out and those of the given
// daemon, which reports its work again.
func (d *Dispatcher) releaseOrphans(now time.Time, daemon string) {
	d.orphans = slices.DeleteFunc(d.orphans, func(o orphan) bool {
		expired := o.daemon == daemon || now.Sub(o.orphanedAt) >= orphanTimeout
		if expired {
			if d.lender != nil && o.daemon != daemon {
				d.lender.Lose(now, &o.work)
			}
			d.withdraw(now, o.entry)
		}
		return expired
	})
}

// Sessions returns the sorted names of the daemons with a session.
func (d *Dispatcher) Sessions() []string {
	out := make([]string, 0, len(d.sessions))
	for name := range d.sessions {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Apply processes a message of a daemon that has a session.
func (d *Dispatcher) Apply(now time.Time, daemon string, update *fireflypath.DispatchUpdate) {
	s := d.sessions[daemon]
	if s == nil {
		return
	}
	if !s.reported {
		s.reported = true
		d.releaseOrphans(now, daemon)
	}
	d.scheduler.ApplyNotices(now, update.Notices)
	d.scheduler.ApplyBackoffs(now, daemon, update.Backoffs)
	d.applyLoads(now, update.Loads)
	for i := range update.InFlight {
		f := &update.InFlight[i]
		e := d.addEntry(now, daemon, s, &f.Offer)
		e.work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched)
		d.scheduler.AddInFlight(now, &e.work, f.Target, now.Add(-f.Sent.Std()), f.Began)
	}
	for i := range update.Progress {
		d.applyProgress(now, s, &update.Progress[i])
	}
	for _, n := range update.Withdrawn {
		if e := s.entries[n]; e != nil {
			d.withdraw(now, e)
		}
	}
	for i := range update.Offers {
		e := d.addEntry(now, daemon, s, &update.Offers[i])
		d.sheds = d.scheduler.Offer(now, &e.work, d.sheds[:0])
		d.refuseShed(now)
	}
	d.dispatchWaiting(now)
}

// ApplyNotices records what a daemon without a session knows of declarations of targets.
func (d *Dispatcher) ApplyNotices(now time.Time, notices []fireflypath.TargetNotice) {
	d.scheduler.ApplyNotices(now, notices)
}

// addEntry adds the work of an offer to a session.
func (d *Dispatcher) addEntry(now time.Time, daemon string, s *session, o *fireflypath.Offer) *entry {
	e := &entry{session: s, number: o.Number}
	e.work = fireflypath.Work{
		ID: daemon + "." + strconv.FormatUint(o.Number, 10), Rank: o.Rank, Pool: d.pool, Team: o.Team, Weight: cmp.Or(o.Weight, teamshare.DefaultWeight),
		Arrived: now.Add(-o.Waited.Std()), Deadline: now.Add(o.Deadline.Std()), Goal: now.Add(o.Goal.Std()),
		Cost: fireflypath.Cost{Prompt: o.Prompt, MaxOutput: o.MaxOutput}, ExpectedOutput: o.ExpectedOutput, Gap: o.Gap.Std(), Avoid: o.Avoid, Version: o.Version, Sender: daemon,
		Digest: o.Digest, Elapsed: o.Elapsed.Std(), Return: o.Return,
	}
	if o.Patience > 0 {
		e.work.PatienceEnds = now.Add(o.Patience.Std())
	}
	s.entries[o.Number] = e
	d.entries[&e.work] = e
	return e
}

// applyProgress passes an event to the scheduler.
func (d *Dispatcher) applyProgress(now time.Time, s *session, p *fireflypath.Progress) {
	e := s.entries[p.Number]
	if e == nil {
		return
	}
	if p.Kind == fireflypath.EventUnsent {
		e.work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateWaiting)
	}
	d.scheduler.Observe(now, fireflypath.Event{
		Kind: p.Kind, Work: &e.work, Tokens: p.Tokens, NotByTarget: p.NotByTarget, Cached: -1,
	})
	if p.Kind != fireflypath.EventUnsent && p.Kind != fireflypath.EventFirstOutput {
		d.removeEntry(e)
	}
}

// withdraw removes work that its daemon has withdrawn, whether it waits or is
// in flight.
func (d *Dispatcher) withdraw(now time.Time, e *entry) {
	if !d.scheduler.Withdraw(now, &e.work) {
		d.scheduler.Observe(now, fireflypath.Event{Kind: fireflypath.EventFailed, Work: &e.work, NotByTarget: true, Cached: -1})
	}
	d.removeEntry(e)
}

func (d *Dispatcher) removeEntry(e *entry) {
	delete(e.session.entries, e.number)
	delete(d.entries, &e.work)
}

// refuseShed turns the work shed by the scheduler into refusals.
func (d *Dispatcher) refuseShed(now time.Time) {
	for _, s := range d.sheds {
		e := d.entries[s.Work]
		if e == nil {
			continue
		}
		e.work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateShed)
		d.scheduler.Withdraw(now, s.Work)
		d.removeEntry(e)
		e.session.decisions = append(e.session.decisions, fireflypath.Decision{
			Number: e.number, Reason: s.Reason, Detail: s.Detail, Retry: fireflypath.MicrosOf(s.RetryAfter),
			Return: e.work.Return, Promised: e.work.Promised,
		})
	}
}

// PauseUntil stops dispatching until the given time. A newly elected dispatcher
// does not yet know the work in flight of daemons that will connect a moment
// later, and would otherwise assign slots that are in use.
func (d *Dispatcher) PauseUntil(now, until time.Time) {
	d.pausedUntil = until
	d.dispatchWaiting(now)
}

// dispatchWaiting dispatches all work that the scheduler can place now.
func (d *Dispatcher) dispatchWaiting(now time.Time) {
	if now.Before(d.pausedUntil) {
		return
	}
	d.updateLeases(now)
	for d.scheduler.Next(now, &d.placement) {
		e := d.entries[d.placement.Work]
		if e == nil {
			continue
		}
		e.work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched)
		decision := fireflypath.Decision{
			Number: e.number, Target: d.identityOf(d.placement.Target), PromptAhead: d.placement.PromptAhead, TimeToFirst: fireflypath.MicrosOf(d.placement.TimeToFirst),
			Return: e.work.Return,
		}
		d.addLendingTerms(now, e, &decision)
		e.session.decisions = append(e.session.decisions, decision)
	}
}

// identityOf returns the identity of the target with the name, or "" if there is none.
func (d *Dispatcher) identityOf(name string) string {
	t, ok := d.list.Find(name)
	if !ok {
		return ""
	}
	return t.Identity()
}

// Tick sheds work that has waited too long and dispatches what can be placed.
func (d *Dispatcher) Tick(now time.Time) {
	d.releaseOrphans(now, "")
	d.sheds = d.scheduler.Expire(now, d.sheds[:0])
	d.refuseShed(now)
	d.dispatchWaiting(now)
}

// Wake returns when Tick is due if no message arrives; zero means never.
func (d *Dispatcher) Wake(now time.Time) time.Time {
	if len(d.entries) == 0 {
		return time.Time{}
	}
	wakeAt := d.scheduler.Wake(now)
	if now.Before(d.leases.begins) {
		wakeAt = earliest(wakeAt, d.leases.begins)
	}
	if now.Before(d.pausedUntil) && (wakeAt.IsZero() || d.pausedUntil.Before(wakeAt)) {
		wakeAt = d.pausedUntil
	}
	if len(d.orphans) > 0 {
		if due := d.orphans[0].orphanedAt.Add(orphanTimeout); wakeAt.IsZero() || due.Before(wakeAt) {
			wakeAt = due
		}
	}
	return wakeAt
}

// HasDecisions reports whether there are decisions not yet sent to a daemon.
func (d *Dispatcher) HasDecisions(daemon string) bool {
	s := d.sessions[daemon]
	return s != nil && len(s.decisions) > 0
}

// TakeDecisions returns and clears the decisions not yet sent to a daemon.
func (d *Dispatcher) TakeDecisions(daemon string) []fireflypath.Decision {
	s := d.sessions[daemon]
	if s == nil {
		return nil
	}
	out := s.decisions
	s.decisions = nil
	return out
}

// TakeNotices returns what targets have declared if that has changed since the daemon was last
// sent it, and nothing otherwise.
func (d *Dispatcher) TakeNotices(now time.Time, daemon string) []fireflypath.TargetNotice {
	s, version := d.sessions[daemon], d.scheduler.NoticeVersion()
	if s == nil || s.sentNotices == version {
		return nil
	}
	s.sentNotices = version
	return d.scheduler.Notices(now)
}

// BusiestTeams appends the n teams that have recently used most of the capacity of their rank. It appends
// none if the scheduler does not know what teams use.
func (d *Dispatcher) BusiestTeams(now time.Time, n int, out []teamshare.Share) []teamshare.Share {
	if s, ok := d.scheduler.(interface {
		BusiestTeams(now time.Time, n int, out []teamshare.Share) []teamshare.Share
	}); ok {
		return s.BusiestTeams(now, n, out)
	}
	return out
}

// SetTargets replaces the targets of the pool.
func (d *Dispatcher) SetTargets(now time.Time, list []fireflypath.Target) {
	d.list.Replace(list)
	d.scheduler.SetTargets(now, list)
	d.dispatchWaiting(now)
}

// SetShare sets the group's share of the targets.
func (d *Dispatcher) SetShare(now time.Time, s fireflypath.Share) {
	d.scheduler.SetShare(now, s)
	d.dispatchWaiting(now)
}

// UpdatePeers updates the in-flight work of daemons without a session. The work
// of those with a session is known already.
func (d *Dispatcher) UpdatePeers(now time.Time, peers []fireflypath.PeerLoad) {
	others := make([]fireflypath.PeerLoad, 0, len(peers))
	for _, m := range peers {
		if d.sessions[m.Name] == nil {
			m.WaitingRanks = nil // a standalone daemon orders its own queue
			others = append(others, m)
		}
	}
	d.scheduler.UpdatePeers(now, others)
	d.dispatchWaiting(now)
}
