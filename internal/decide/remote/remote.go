// Package remote has a pool's dispatcher decide, and decides itself while none answers.
//
// It answers the loss of the daemon that decides for a group: killed, cut off,
// frozen or slow. What waited there is taken back and scheduled by this daemon
// alone until another dispatcher takes it, so that callers wait for a fraction of
// their goal longer and none is lost.
package remote

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Local decides while no dispatcher does. It follows this daemon's work at the
// targets all the time, so that what it knows is never old.
type Local interface {
	fireflypath.Scheduler
	Report(m *fireflypath.Mate)
	UpdatePeers(now time.Time, mates []fireflypath.Mate)
	// AddInFlight counts work that is at a target already.
	AddInFlight(now time.Time, w *fireflypath.Work, target string, sent time.Time, began bool)
	// TakeWaiting takes all waiting work out.
	TakeWaiting() []*fireflypath.Work
	// EachInFlight calls fn for all work at targets, which are named by identity.
	EachInFlight(fn func(w *fireflypath.Work, target string, sent time.Time, began bool))
}

// replyGrace is how long after its end waiting work is refused here that the
// dispatcher has not refused: its word may be on the way.
const replyGrace = 50 * time.Millisecond

// Scheduler implements fireflypath.Scheduler. It is not safe for concurrent use.
type Scheduler struct {
	Local
	// attached is true while a dispatcher decides.
	attached bool
	// peersNeedReports is true if some other daemon has to know what this one has in flight.
	peersNeedReports bool
	lastNumber       uint64
	// numbers are those of work that the dispatcher knows; works are those of them
	// that wait for its decision.
	numbers map[*fireflypath.Work]uint64
	pending map[uint64]*fireflypath.Work
	// placements is what it decided and Next has not given out.
	placements []placement
	targets    map[string]fireflypath.Target
	outbox     fireflypath.News
	newsReady  chan struct{}
}

type placement struct {
	work *fireflypath.Work
	turn fireflypath.Turn
}

var _ fireflypath.Scheduler = (*Scheduler)(nil)

// New returns a scheduler that decides by itself until it is attached.
func New(local Local) *Scheduler {
	return &Scheduler{
		Local: local, newsReady: make(chan struct{}, 1), numbers: map[*fireflypath.Work]uint64{}, pending: map[uint64]*fireflypath.Work{},
		targets: map[string]fireflypath.Target{},
	}
}

// Attach turns to a new dispatcher and tells it everything.
func (s *Scheduler) Attach(now time.Time) {
	if s.attached {
		s.reset()
	}
	s.attached = true
	waiting := append(s.takePending(), s.TakeWaiting()...)
	s.EachInFlight(func(w *fireflypath.Work, target string, sent time.Time, began bool) {
		s.outbox.Flights = append(s.outbox.Flights, fireflypath.Flight{
			Offer: s.offer(now, w), Target: target, Sent: fireflypath.MicrosOf(now.Sub(sent)), Began: began,
		})
	})
	for _, w := range waiting {
		s.submit(now, w)
	}
	s.signal()
}

// Detach decides here from now on. It appends what there is no hope for to out.
func (s *Scheduler) Detach(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	s.attached = false
	waiting := s.takePending()
	s.reset()
	for _, w := range waiting {
		out = s.Local.Offer(now, w, out)
	}
	return out
}

// reset ends what is known between this daemon and a dispatcher.
func (s *Scheduler) reset() {
	clear(s.numbers)
	s.outbox = fireflypath.News{}
}

// takePending takes all work back that the dispatcher has not placed, in the order in which
// it was offered.
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

// NewsReady brings something when there is something to tell the dispatcher.
func (s *Scheduler) NewsReady() <-chan struct{} { return s.newsReady }

func (s *Scheduler) signal() {
	select {
	case s.newsReady <- struct{}{}:
	default:
	}
}

// Attached is true while a dispatcher decides.
func (s *Scheduler) Attached() bool { return s.attached }

// HasPending is true if work waits for the dispatcher.
func (s *Scheduler) HasPending() bool { return len(s.pending) > 0 }

// News takes what the dispatcher has not been told.
func (s *Scheduler) News() fireflypath.News {
	out := s.outbox
	s.outbox = fireflypath.News{}
	return out
}

// Report tells the other daemons what this one has in flight, if work is placed by more
// than one of them: each has to know what the others placed, or targets get as many
// times what they can run. While one decides for all it knows everything, and told all
// the same, each request would cost three messages to each daemon of the group.
func (s *Scheduler) Report(m *fireflypath.Mate) {
	m.Apart = m.Apart || !s.attached
	if !s.attached || s.peersNeedReports {
		s.Local.Report(m)
	}
}

// UpdatePeers takes in what the other daemons have in flight.
func (s *Scheduler) UpdatePeers(now time.Time, mates []fireflypath.Mate) {
	s.peersNeedReports = slices.ContainsFunc(mates, func(m fireflypath.Mate) bool { return m.Apart })
	s.Local.UpdatePeers(now, mates)
}

// ApplyDecisions takes in what the dispatcher decided. Refusals are appended to out;
// placements come with Next.
func (s *Scheduler) ApplyDecisions(now time.Time, turns []fireflypath.Turn, out []fireflypath.Shed) []fireflypath.Shed {
	for _, t := range turns {
		w := s.pending[t.Number]
		if w == nil {
			continue // taken back meanwhile; the dispatcher was told
		}
		delete(s.pending, t.Number)
		if t.Target != "" {
			s.placements = append(s.placements, placement{work: w, turn: t})
			continue
		}
		delete(s.numbers, w)
		out = append(out, fireflypath.Shed{Work: w, Reason: t.Reason, Detail: t.Detail, RetryAfter: t.Retry.Std()})
	}
	return out
}

// Offer takes work in.
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

// offer describes the work to the dispatcher.
func (s *Scheduler) offer(now time.Time, w *fireflypath.Work) fireflypath.Offer {
	s.lastNumber++
	s.numbers[w] = s.lastNumber
	o := fireflypath.Offer{
		Number: s.lastNumber, Rank: w.Rank, Prompt: w.Cost.Prompt, Output: w.Cost.Output, Expected: w.Output,
		Waited: fireflypath.MicrosOf(now.Sub(w.Arrived)), Goal: fireflypath.MicrosOf(w.Goal.Sub(now)),
		Deadline: fireflypath.MicrosOf(w.Deadline.Sub(now)), Gap: fireflypath.MicrosOf(w.Gap), Avoid: w.Avoid,
	}
	if !w.Leaves.IsZero() {
		o.Leaves = max(fireflypath.MicrosOf(w.Leaves.Sub(now)), 1)
	}
	return o
}

// Next gives out what the dispatcher placed, or what is decided here.
func (s *Scheduler) Next(now time.Time, p *fireflypath.Placement) bool {
	for len(s.placements) > 0 {
		next := s.placements[0]
		s.placements = s.placements[1:]
		t, ok := s.targets[next.turn.Target]
		if !ok || t.Drained {
			// This daemon knows better, or not yet: a target that leaves gets nothing
			// from a daemon that has heard of it.
			s.resubmit(next.work)
			continue
		}
		s.AddInFlight(now, next.work, next.turn.Target, now, false)
		*p = fireflypath.Placement{
			Work: next.work, Target: t.Name, Waited: now.Sub(next.work.Arrived), Line: next.turn.Ahead,
			First: next.turn.First.Std(), Considered: p.Considered[:0],
		}
		return true
	}
	return !s.attached && s.Local.Next(now, p)
}

// resubmit has the dispatcher decide once more.
func (s *Scheduler) resubmit(w *fireflypath.Work) {
	n := s.numbers[w]
	s.pending[n] = w
	s.addProgress(fireflypath.Progress{Number: n, Kind: fireflypath.EventUnsent})
}

func (s *Scheduler) addProgress(p fireflypath.Progress) {
	s.outbox.Progress = append(s.outbox.Progress, p)
	s.signal()
}

// withdrawPending tells that waiting work is no longer there.
func (s *Scheduler) withdrawPending(n uint64, w *fireflypath.Work) {
	delete(s.pending, n)
	delete(s.numbers, w)
	s.outbox.Withdrawn = append(s.outbox.Withdrawn, n)
	s.signal()
}

// Withdraw removes waiting work; it reports false if it was not waiting here.
func (s *Scheduler) Withdraw(now time.Time, w *fireflypath.Work) bool {
	n, known := s.numbers[w]
	if !known {
		return s.Local.Withdraw(now, w)
	}
	_, waits := s.pending[n]
	at := slices.IndexFunc(s.placements, func(p placement) bool { return p.work == w })
	if !waits && at < 0 {
		return false
	}
	if at >= 0 {
		s.placements = slices.Delete(s.placements, at, at+1)
	}
	s.withdrawPending(n, w)
	return true
}

// Observe learns from an event at a target and tells the dispatcher.
func (s *Scheduler) Observe(now time.Time, e fireflypath.Event) {
	n, known := s.numbers[e.Work]
	if e.Work == nil || !known {
		s.Local.Observe(now, e)
		return
	}
	if e.Kind == fireflypath.EventUnsent && s.attached {
		// Not sent, it waits for the dispatcher again, and not here.
		local := e
		local.Kind = fireflypath.EventRefused
		s.Local.Observe(now, local)
		s.resubmit(e.Work)
		return
	}
	s.Local.Observe(now, e)
	s.addProgress(fireflypath.Progress{Number: n, Kind: e.Kind, Tokens: e.Tokens, Left: e.Left})
	if e.Kind != fireflypath.EventFirst {
		delete(s.numbers, e.Work)
	}
}

// SetTargets replaces the targets.
func (s *Scheduler) SetTargets(now time.Time, targets []fireflypath.Target) {
	s.Local.SetTargets(now, targets)
	clear(s.targets)
	for _, t := range targets {
		s.targets[t.Identity()] = t
	}
}

// Demand summarises waiting and running work for the other daemons.
func (s *Scheduler) Demand(now time.Time) fireflypath.Demand {
	d := s.Local.Demand(now)
	for _, w := range s.pending {
		if w.Rank < len(d.Waiting) {
			d.Waiting[w.Rank] += w.Cost.Tokens()
			d.Requests[w.Rank]++
		}
	}
	return d
}
