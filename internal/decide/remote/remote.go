// Package remote lets a pool's dispatcher make the scheduling decisions, and makes them
// locally while no dispatcher is available.
//
// It handles the loss of the daemon that runs the dispatcher: killed, partitioned, frozen
// or slow. Requests waiting there are taken back and scheduled by this daemon alone until
// another dispatcher takes over, so that callers wait longer by a fraction of their goal
// and no request is lost.
package remote

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/targets"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// Local is the scheduler used while there is no dispatcher. It tracks this daemon's
// in-flight requests all the time, so that its state is always current.
type Local interface {
	fireflypath.Scheduler
	Report(m *fireflypath.PeerLoad)
	UpdatePeers(now time.Time, peers []fireflypath.PeerLoad)
	// AddInFlight counts a request that is already at a target.
	AddInFlight(now time.Time, w *fireflypath.Work, target string, sent time.Time, began bool)
	// TakeWaiting removes and returns all waiting requests.
	TakeWaiting() []*fireflypath.Work
	// EachInFlight calls fn for every request at a target; targets are named by identity.
	EachInFlight(fn func(w *fireflypath.Work, target string, sent time.Time, began bool))
	// Notices returns what targets have declared. NoticeVersion changes whenever they do.
	Notices(now time.Time) []fireflypath.TargetNotice
	NoticeVersion() uint64
	// Refuses reports whether a target has declared that it takes no requests of this daemon.
	Refuses(now time.Time, identity string) bool
	// Backoffs returns the times for which targets want no requests of this daemon. BackoffVersion
	// changes whenever a target asks for one.
	Backoffs(now time.Time) []fireflypath.TargetBackoff
	BackoffVersion() uint64
	// ApplyNotices records what other daemons know of such declarations.
	ApplyNotices(now time.Time, notices []fireflypath.TargetNotice)
	// DeclaresLimits reports whether a target names a rate limit or is brittle.
	DeclaresLimits() bool
	// SetLeasedUntil sets until when dispatchers may use this daemon's part of what targets bear.
	SetLeasedUntil(until time.Time)
}

// replyGrace is how long a request on which the dispatcher has not decided is kept after
// its caller gives up: the refusal may be on the way.
const replyGrace = 50 * time.Millisecond

// Scheduler implements fireflypath.Scheduler. It is not safe for concurrent use.
type Scheduler struct {
	Local
	// attached is true while a dispatcher decides.
	attached bool
	// sendTeams makes offers name the caller's team.
	sendTeams bool
	// unknownSenders is true if the targets are shared with daemons that receive no report
	// of this one.
	unknownSenders bool
	// peersNeedReports is true if another daemon needs to know this one's in-flight
	// requests.
	peersNeedReports bool
	lastNumber       uint64
	// numbers holds the requests known to the dispatcher; pending holds those that wait
	// for its decision.
	numbers map[*fireflypath.Work]uint64
	pending map[uint64]*fireflypath.Work
	// placements were decided by the dispatcher and not yet returned by Next.
	placements []placement
	list       targets.List
	outbox     fireflypath.DispatchUpdate
	// sentNotices and sentBackoffs are the versions of the notices and the backoffs that the
	// dispatcher was sent.
	sentNotices, sentBackoffs uint64
	// loadsWanted holds the targets whose own load reports the dispatcher needs.
	loadsWanted map[string]bool
	updateReady chan struct{}
}

type placement struct {
	work     *fireflypath.Work
	decision fireflypath.Decision
}

var _ fireflypath.Scheduler = (*Scheduler)(nil)

// New returns a detached scheduler.
func New(local Local) *Scheduler {
	return &Scheduler{
		Local: local, updateReady: make(chan struct{}, 1), numbers: map[*fireflypath.Work]uint64{}, pending: map[uint64]*fireflypath.Work{},
	}
}

// SendTeams makes offers to the dispatcher name the caller's team and its weight.
func (s *Scheduler) SendTeams() { s.sendTeams = true }

// Attach switches to a new dispatcher and sends it all waiting and in-flight requests.
func (s *Scheduler) Attach(now time.Time) {
	if s.attached {
		s.reset()
	}
	s.attached = true
	requests := append(s.takePending(), s.TakeWaiting()...)
	s.EachInFlight(func(w *fireflypath.Work, target string, sent time.Time, began bool) {
		s.outbox.InFlight = append(s.outbox.InFlight, fireflypath.InFlightWork{
			Offer: s.offer(now, w), Target: target, Sent: fireflypath.MicrosOf(now.Sub(sent)), Began: began,
		})
	})
	for _, w := range requests {
		s.submit(now, w)
	}
	s.signal()
}

// Detach switches to local scheduling. It appends requests that cannot be served to out.
func (s *Scheduler) Detach(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	s.attached = false
	requests := s.takePending()
	s.reset()
	for _, w := range requests {
		out = s.Local.Offer(now, w, out)
	}
	return out
}

// reset drops the state shared with a dispatcher.
func (s *Scheduler) reset() {
	clear(s.numbers)
	s.outbox = fireflypath.DispatchUpdate{}
	s.sentNotices, s.sentBackoffs = 0, 0
	clear(s.loadsWanted)
}

// takePending takes back all requests that Next has not returned: the undecided ones in
// the order in which they were offered, then the placed ones.
func (s *Scheduler) takePending() []*fireflypath.Work {
	numbers := make([]uint64, 0, len(s.pending))
	for n := range s.pending {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	out := make([]*fireflypath.Work, 0, len(numbers))
	for _, n := range numbers {
		out = append(out, s.pending[n])
	}
	clear(s.pending)
	for _, p := range s.placements {
		out = append(out, p.work)
	}
	s.placements = s.placements[:0]
	return out
}

// UpdateReady signals that there is an update for the dispatcher.
func (s *Scheduler) UpdateReady() <-chan struct{} { return s.updateReady }

func (s *Scheduler) signal() {
	select {
	case s.updateReady <- struct{}{}:
	default:
	}
}

// Attached reports whether a dispatcher decides.
func (s *Scheduler) Attached() bool { return s.attached }

// HasPending reports whether requests wait for the dispatcher.
func (s *Scheduler) HasPending() bool { return len(s.pending) > 0 }

// TakeUpdate returns and clears the update not yet sent to the dispatcher.
func (s *Scheduler) TakeUpdate(now time.Time) fireflypath.DispatchUpdate {
	out := s.outbox
	s.outbox = fireflypath.DispatchUpdate{}
	if version := s.NoticeVersion(); version != s.sentNotices {
		out.Notices, s.sentNotices = s.Notices(now), version
	}
	if version := s.BackoffVersion(); version != s.sentBackoffs {
		out.Backoffs, s.sentBackoffs = s.Backoffs(now), version
	}
	return out
}

// ApplyNotices records what the dispatcher knows of declarations of targets. Those that it
// sends are not sent back.
func (s *Scheduler) ApplyNotices(now time.Time, notices []fireflypath.TargetNotice) {
	known := s.NoticeVersion() == s.sentNotices
	s.Local.ApplyNotices(now, notices)
	if known {
		s.sentNotices = s.NoticeVersion()
	}
}

// Report adds this daemon's in-flight requests to the report for peers, if several daemons
// place requests: each must know the others' placements, or targets get several times the
// load they can run. While one dispatcher decides for all, it knows everything, and a
// report would cost three messages to each daemon of the group for every request.
func (s *Scheduler) Report(m *fireflypath.PeerLoad) {
	m.PartialView = m.PartialView || !s.attached && !s.unknownSenders
	if !s.attached || s.peersNeedReports {
		s.Local.Report(m)
	}
}

// SetShare sets which targets this daemon dispatches to while it is detached.
func (s *Scheduler) SetShare(now time.Time, share fireflypath.Share) {
	s.unknownSenders = share.UnknownSenders
	s.Local.SetShare(now, share)
}

// UpdatePeers applies the peers' reports of in-flight requests.
func (s *Scheduler) UpdatePeers(now time.Time, peers []fireflypath.PeerLoad) {
	s.peersNeedReports = slices.ContainsFunc(peers, func(m fireflypath.PeerLoad) bool { return m.PartialView })
	s.Local.UpdatePeers(now, peers)
}

// ApplyDecisions applies the dispatcher's decisions. Refusals are appended to out;
// placements are returned by Next.
func (s *Scheduler) ApplyDecisions(now time.Time, decisions []fireflypath.Decision, out []fireflypath.Shed) []fireflypath.Shed {
	for _, d := range decisions {
		w := s.pending[d.Number]
		if w == nil {
			continue // taken back in the meantime; the dispatcher was informed
		}
		delete(s.pending, d.Number)
		w.Return, w.Promised = d.Return, d.Promised
		if d.Target != "" {
			s.placements = append(s.placements, placement{work: w, decision: d})
			continue
		}
		delete(s.numbers, w)
		out = append(out, fireflypath.Shed{Work: w, Reason: d.Reason, Detail: d.Detail, RetryAfter: d.Retry.Std()})
	}
	return out
}

// Offer adds a request.
func (s *Scheduler) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	if !s.attached {
		return s.Local.Offer(now, w, out)
	}
	s.submit(now, w)
	return out
}

func (s *Scheduler) submit(now time.Time, w *fireflypath.Work) {
	o := s.offer(now, w)
	s.pending[o.Number] = w
	s.outbox.Offers = append(s.outbox.Offers, o)
	s.signal()
}

// offer describes the request to the dispatcher.
func (s *Scheduler) offer(now time.Time, w *fireflypath.Work) fireflypath.Offer {
	s.lastNumber++
	s.numbers[w] = s.lastNumber
	o := fireflypath.Offer{
		Number: s.lastNumber, Rank: w.Rank, Prompt: w.Cost.Prompt, MaxOutput: w.Cost.MaxOutput, ExpectedOutput: w.ExpectedOutput,
		Waited: fireflypath.MicrosOf(now.Sub(w.Arrived)), Goal: fireflypath.MicrosOf(w.Goal.Sub(now)),
		Deadline: fireflypath.MicrosOf(w.Deadline.Sub(now)), Gap: fireflypath.MicrosOf(w.Gap), Avoid: w.Avoid, Version: w.Version,
		Digest: w.Digest, Elapsed: fireflypath.MicrosOf(w.Elapsed), Return: w.Return,
	}
	if !w.PatienceEnds.IsZero() {
		o.Patience = max(fireflypath.MicrosOf(w.PatienceEnds.Sub(now)), 1)
	}
	if s.sendTeams {
		o.Team = w.Team
		if w.Weight != teamshare.DefaultWeight {
			o.Weight = w.Weight
		}
	}
	return o
}

// Next returns the dispatcher's next placement or, while detached, the local scheduler's.
func (s *Scheduler) Next(now time.Time, p *fireflypath.Placement) bool {
	for len(s.placements) > 0 {
		next := s.placements[0]
		s.placements = s.placements[1:]
		t, ok := s.list.FindIdentity(next.decision.Target)
		if !ok || t.Drained {
			// The target is unknown here, or this daemon already knows that it is leaving,
			// and then sends it nothing.
			s.resubmit(next.work, !ok)
			continue
		}
		if next.work.Version != "" && t.Version != next.work.Version {
			// The dispatcher knows no versions, or an earlier start of the target.
			next.work.Avoid = append(next.work.Avoid, t.Name)
			s.withdrawPending(next.decision.Number, next.work)
			s.submit(now, next.work)
			continue
		}
		if s.Refuses(now, next.decision.Target) || leaseEnded(now, &next) {
			// The dispatcher does not know that yet, or the decision came late. It is no failure of
			// the target.
			s.withdrawPending(next.decision.Number, next.work)
			s.submit(now, next.work)
			continue
		}
		s.AddInFlight(now, next.work, next.decision.Target, now, false)
		s.wantLoad(t.Name, next.decision.Load)
		*p = fireflypath.Placement{
			Work: next.work, Target: t.Name, Waited: now.Sub(next.work.Arrived), PromptAhead: next.decision.PromptAhead,
			TimeToFirst: next.decision.TimeToFirst.Std(), Considered: p.Considered[:0],
		}
		return true
	}
	return !s.attached && s.Local.Next(now, p)
}

// resubmit asks the dispatcher to decide again. That this daemon does not know the target says nothing of
// the target, which may have just started: the dispatcher would take it out of use for all daemons.
func (s *Scheduler) resubmit(w *fireflypath.Work, unknown bool) {
	n := s.numbers[w]
	s.pending[n] = w
	s.addProgress(fireflypath.Progress{Number: n, Kind: fireflypath.EventUnsent, NotByTarget: unknown})
}

func (s *Scheduler) addProgress(p fireflypath.Progress) {
	s.outbox.Progress = append(s.outbox.Progress, p)
	s.signal()
}

// withdrawPending removes a waiting request and informs the dispatcher.
func (s *Scheduler) withdrawPending(n uint64, w *fireflypath.Work) {
	delete(s.pending, n)
	delete(s.numbers, w)
	s.outbox.Withdrawn = append(s.outbox.Withdrawn, n)
	s.signal()
}

// Withdraw removes a waiting request; it reports false if none was waiting here.
func (s *Scheduler) Withdraw(now time.Time, w *fireflypath.Work) bool {
	n, known := s.numbers[w]
	if !known {
		return s.Local.Withdraw(now, w)
	}
	_, pending := s.pending[n]
	i := slices.IndexFunc(s.placements, func(p placement) bool { return p.work == w })
	if !pending && i < 0 {
		return false
	}
	if i >= 0 {
		s.placements = slices.Delete(s.placements, i, i+1)
	}
	s.withdrawPending(n, w)
	return true
}

// Observe applies an event at a target and informs the dispatcher.
func (s *Scheduler) Observe(now time.Time, e fireflypath.Event) {
	n, known := s.numbers[e.Work]
	if e.Work == nil || !known {
		s.Local.Observe(now, e)
		s.reportLoad(&e)
		if s.attached && (s.NoticeVersion() != s.sentNotices || s.BackoffVersion() != s.sentBackoffs) {
			s.signal()
		}
		return
	}
	if e.Kind == fireflypath.EventUnsent && s.attached {
		// The request was not sent, so it waits for the dispatcher again, not locally.
		local := e
		local.Kind = fireflypath.EventRefused
		if e.NotByTarget {
			local.Kind = fireflypath.EventFailed
		}
		s.Local.Observe(now, local)
		s.addProgress(fireflypath.Progress{Number: n, Kind: fireflypath.EventUnsent, NotByTarget: e.NotByTarget})
		// It waits under another number: the decision on this one may come once more. The work may also
		// need a version now.
		s.withdrawPending(n, e.Work)
		s.submit(now, e.Work)
		return
	}
	s.Local.Observe(now, e)
	s.addProgress(fireflypath.Progress{Number: n, Kind: e.Kind, Tokens: e.Tokens, NotByTarget: e.NotByTarget})
	if e.Kind != fireflypath.EventFirstOutput {
		delete(s.numbers, e.Work)
	}
}

// SetTargets replaces the targets.
func (s *Scheduler) SetTargets(now time.Time, targets []fireflypath.Target) {
	s.Local.SetTargets(now, targets)
	s.list.Replace(targets)
}

// Demand summarizes waiting and running requests for the other daemons.
func (s *Scheduler) Demand(now time.Time) fireflypath.Demand {
	d := s.Local.Demand(now)
	for _, w := range s.pending {
		if w.Rank < len(d.Waiting) {
			d.Waiting[w.Rank] += w.Cost.Tokens()
			d.WaitingRequests[w.Rank]++
		}
	}
	return d
}
