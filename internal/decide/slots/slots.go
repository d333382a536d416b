// Package slots schedules work for targets whose number of slots is known.
//
// It answers engines that admit first come first served and know no tiers: what
// lies in an engine's own queue is out of reach of tiers, deadlines and refusals.
// So no more work is sent to a target than it has slots, all daemons together,
// and the queue stands here. Without it a burst of low work fills the engines'
// queues, and work of the highest tier that comes a moment later waits behind it.
package slots

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/floor"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
)

const (
	// ranks is the number of tiers that work can have.
	ranks = 16
	// defaultSlots is for targets that do not say how many slots they have.
	defaultSlots = 4
	// drainHorizon is the time over which the rate of ended work is measured:
	// some turns of all slots, and short against a burst.
	drainHorizon = 3 * time.Second
	// shortest and longest bound the time that a refused caller is told.
	shortest = 300 * time.Millisecond
	longest  = 10 * time.Second
	// leastSpare is the part of the capacity that is taken to be spare for a
	// backlog in an overload of which the end is not known.
	leastSpare = 0.2
	// jitter spreads the times that refused callers are told by so much.
	jitter = 0.25
	// last is how long before its deadline waiting work is given up: less than
	// the shortest answers take, it could only be cut.
	last = 30 * time.Millisecond
)

// Sched implements fireflypath.Scheduler for one pool at one daemon. It is not
// safe for concurrent use.
type Sched struct {
	pool    fireflypath.Pool
	tune    Tuning
	targets map[string]*target
	// order lists the targets by name, so that choices can be repeated.
	order   []*target
	waiting []*fireflypath.Work
	flights map[*fireflypath.Work]flight
	drain   rate.Meter
	// hold is how long work holds its place, in seconds.
	hold float64
	// arrivals is by rank, in requests.
	arrivals [ranks]rate.Meter
	// fast is the best known prefill speed in tokens a second.
	fast float64
	// best is the target with that speed.
	best *target
	// lowest is the rank of the lowest tier seen.
	lowest int
	seed   uint64
	share  fireflypath.Share
	// floor keeps tiers from being starved.
	floor *floor.Floor
	// rivals are the other daemons that have work waiting.
	rivals []rival
}

// flight is work at a target.
type flight struct {
	target *target
	sent   time.Time
	first  time.Time
	// before is the prompt in tokens that had not begun its answer at the
	// target when this was sent, of all daemons as far as they told.
	before int
}

var _ fireflypath.Scheduler = (*Sched)(nil)

// New returns a scheduler without targets. The seed differs between daemons, so
// that equal views do not give equal choices.
func New(pool fireflypath.Pool, seed uint64, tune Tuning) *Sched {
	s := &Sched{
		pool: pool, seed: seed, tune: tune, share: fireflypath.Share{Default: 1},
		targets: map[string]*target{}, flights: map[*fireflypath.Work]flight{},
		drain: rate.Meter{Horizon: drainHorizon}, floor: floor.New(tune.Floor),
	}
	for i := range s.arrivals {
		s.arrivals[i].Horizon = drainHorizon
	}
	return s
}

// Offer takes work in, or refuses it if its turn would come too late.
func (s *Sched) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	s.lowest = max(s.lowest, w.Rank)
	s.arrivals[min(max(w.Rank, 0), ranks-1)].Add(now, 1)
	s.floor.Ask(now, w.Rank)
	s.drain.Pass(now, len(s.waiting) > 0)
	wait, known := s.wait(now, w)
	if known && wait > time.Duration(s.tune.Hopeless*float64(end(w).Sub(now))) && !s.owed(now, w) {
		return append(out, s.shed(now, w, fmt.Sprintf("turn expected in %v", wait.Round(time.Millisecond))))
	}
	s.waiting = append(s.waiting, w)
	return out
}

// end is when the caller of waiting work leaves.
func end(w *fireflypath.Work) time.Time {
	if !w.Leaves.IsZero() && w.Leaves.Before(w.Deadline) {
		return w.Leaves
	}
	return w.Deadline
}

// expires is when waiting work is given up.
func (s *Sched) expires(w *fireflypath.Work) time.Time {
	if w.Leaves.IsZero() {
		return w.Deadline.Add(-last)
	}
	return w.Arrived.Add(time.Duration(s.tune.Hopeless * float64(end(w).Sub(w.Arrived))))
}

// wait is when the work would get its turn, if enough is known to tell. Places
// that are free now take their work at once: a rate measured while little was
// asked for says nothing of them.
func (s *Sched) wait(now time.Time, w *fireflypath.Work) (time.Duration, bool) {
	ahead := 1 - s.free(now)
	for _, o := range s.waiting {
		if !s.before(now, w, o) {
			ahead++
		}
	}
	if ahead <= 0 {
		return 0, true
	}
	r := s.capacity()
	if r <= 0 {
		return 0, false
	}
	return time.Duration(float64(ahead) / r * float64(time.Second)), true
}

// capacity is how much work ends in a second, 0 if that is not known.
func (s *Sched) capacity() float64 {
	r := s.drain.Rate()
	if s.hold > 0 {
		r = max(r, float64(len(s.flights))/s.hold)
	}
	return r
}

// comeBack is when there will be room for the work if it comes back: when what waits
// before it has been served beside what goes on to arrive. Told the time of its
// own turn only, its caller would come back into a queue as long as before.
func (s *Sched) comeBack(now time.Time, w *fireflypath.Work) time.Duration {
	capacity := s.capacity()
	if capacity <= 0 {
		return shortest
	}
	ahead, arriving := 1.0, 0.0
	for _, o := range s.waiting {
		if o.Rank <= w.Rank {
			ahead++
		}
	}
	for r := range min(w.Rank+1, len(s.arrivals)) {
		s.arrivals[r].Pass(now, true)
		arriving += s.arrivals[r].Rate()
	}
	spare := max(capacity-arriving, leastSpare*capacity)
	sec := ahead / spare * (1 + jitter*(2*s.lot(w)-1))
	return min(max(time.Duration(sec*float64(time.Second)), shortest), longest)
}

// lot is a number between 0 and 1 for a request, so that callers who were
// refused together do not come back together.
func (s *Sched) lot(w *fireflypath.Work) float64 {
	return float64(place.Mix(xxhash.Sum64String(w.ID))>>11) / (1 << 53)
}

// free is the number of places that are free at targets in use.
func (s *Sched) free(now time.Time) int {
	n := 0
	for _, t := range s.order {
		if s.takes(now, t, 0) {
			n += t.slots() - s.taken(now, t)
		}
	}
	return n
}

func (s *Sched) shed(now time.Time, w *fireflypath.Work, detail string) fireflypath.Shed {
	return fireflypath.Shed{Work: w, Reason: fireflypath.ReasonDeadline, Detail: detail, RetryAfter: s.comeBack(now, w)}
}

// before reports whether a is served before b. Work that can still begin in
// time goes by tier and then by its goal. Work that is late already goes one
// tier lower: in front of its own tier's punctual work it would make that late
// as well, and all that comes behind.
func (s *Sched) before(now time.Time, a, b *fireflypath.Work) bool {
	ra, rb := s.urgency(now, a), s.urgency(now, b)
	if ra != rb {
		return ra < rb
	}
	if s.tune.Newest && ra%2 == 0 {
		return a.Goal.After(b.Goal)
	}
	return a.Goal.Before(b.Goal)
}

// urgency orders work by tier; a late one stands between its own tier and the
// next.
func (s *Sched) urgency(now time.Time, w *fireflypath.Work) int {
	u := 2 * w.Rank
	if s.late(now, w) {
		u += 3
	}
	return u
}

// late is true for work that cannot begin in time any more.
func (s *Sched) late(now time.Time, w *fireflypath.Work) bool {
	if !s.tune.Punctual || s.fast == 0 {
		return now.After(w.Goal)
	}
	least := float64(w.Cost.Prompt)/s.fast + s.tune.Margin
	return now.After(w.Goal.Add(-time.Duration(least * float64(time.Second))))
}

// Next chooses the next work and its target and counts it as in flight. A tier that is
// starved goes first.
func (s *Sched) Next(now time.Time, p *fireflypath.Placement) bool {
	if len(s.waiting) == 0 || !s.anyRoom(now) {
		return false
	}
	var best *target
	at := -1
	if rank, ok := s.starved(now); ok {
		best, at = s.pick(now, func(w *fireflypath.Work) bool { return w.Rank == rank })
	}
	if at < 0 {
		best, at = s.pick(now, func(*fireflypath.Work) bool { return true })
	}
	if at < 0 {
		return false
	}
	w := s.waiting[at]
	s.waiting = append(s.waiting[:at], s.waiting[at+1:]...)
	s.depart(now, w, best, p)
	return true
}

// pick is the work that goes before all other that is let through and has a target,
// or -1.
func (s *Sched) pick(now time.Time, let func(*fireflypath.Work) bool) (*target, int) {
	best, at := (*target)(nil), -1
	for i, w := range s.waiting {
		if !let(w) || at >= 0 && !s.before(now, w, s.waiting[at]) {
			continue
		}
		if t := s.choose(now, w); t != nil {
			best, at = t, i
		}
	}
	return best, at
}

func (s *Sched) anyRoom(now time.Time) bool {
	for _, t := range s.order {
		if s.takes(now, t, s.tune.Extra) {
			return true
		}
	}
	return false
}

func (s *Sched) depart(now time.Time, w *fireflypath.Work, t *target, p *fireflypath.Placement) {
	s.flights[w] = flight{target: t, sent: now, before: t.prefill + t.ahead}
	s.floor.Serve(now, w.Rank)
	t.requests++
	t.prefill += w.Cost.Prompt
	t.sent(now)
	p.Work, p.Target = w, t.Name
	p.Waited = now.Sub(w.Arrived)
	p.Ahead = len(s.waiting)
	p.Considered = s.consider(now, w, p.Considered[:0])
}

// consider lists the targets as they looked.
func (s *Sched) consider(now time.Time, w *fireflypath.Work, out []fireflypath.Candidate) []fireflypath.Candidate {
	for _, t := range s.order {
		if t.foreign {
			continue
		}
		c := fireflypath.Candidate{
			Target: t.Name, Held: t.prefill, Reported: s.others(now, t), Age: now.Sub(t.heard),
			Window: t.slots(), Score: s.score(now, t, w), Skip: s.skip(now, t, s.extra(w.Rank)),
		}
		out = append(out, c)
	}
	return out
}

// Withdraw removes waiting work; it reports false if it was not waiting here.
func (s *Sched) Withdraw(now time.Time, w *fireflypath.Work) bool {
	for i, o := range s.waiting {
		if o == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Expire appends the waiting work whose time is over.
func (s *Sched) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if now.Before(s.expires(w)) {
			kept = append(kept, w)
			continue
		}
		out = append(out, s.shed(now, w, fmt.Sprintf("waited %v, its time is over", now.Sub(w.Arrived).Round(time.Millisecond))))
	}
	s.waiting = kept
	return out
}

// Wake is when waiting work must be given up, or a target may be tried again.
func (s *Sched) Wake(now time.Time) time.Time {
	var at time.Time
	for _, w := range s.waiting {
		if due := s.expires(w); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	for _, t := range s.order {
		if due := s.due(now, t); !due.IsZero() && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// Relieve gives up waiting work of lower tiers, lowest first.
func (s *Sched) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	for freed := 0; freed < tokens; {
		at := -1
		for i, w := range s.waiting {
			if w.Rank > rank && (at < 0 || w.Rank > s.waiting[at].Rank) {
				at = i
			}
		}
		if at < 0 {
			return out
		}
		w := s.waiting[at]
		s.waiting = append(s.waiting[:at], s.waiting[at+1:]...)
		freed += max(w.Cost.Tokens(), 1)
		sh := s.shed(now, w, fmt.Sprintf("gave way to work of rank %d", rank))
		sh.Reason = fireflypath.ReasonFull
		out = append(out, sh)
	}
	return out
}

// SetShare sets which targets this daemon sends work to: those with a part above
// 0. How much each may get follows from what daemons tell each other.
func (s *Sched) SetShare(now time.Time, share fireflypath.Share) {
	s.share = share
	for _, t := range s.order {
		s.serve(now, t)
	}
}

// serve sets whether this daemon sends work to the target.
//
// When a target comes or goes, some others pass to another group of daemons. All
// daemons of that group see such a target at once, with no work of theirs: without
// care they sent up to 29 requests in a second to an engine of five slots that
// was still busy with the work of those who had it before.
func (s *Sched) serve(now time.Time, t *target) {
	mine := serves(s.share, t.Name)
	if mine && t.foreign {
		t.freed = now
		if now.Sub(t.since) > brandNew {
			t.inherited = now
		}
	}
	t.foreign = !mine
}

func serves(share fireflypath.Share, name string) bool {
	if part, ok := share.Part[name]; ok {
		return part > 0
	}
	return share.Default > 0
}

// Demand summarises waiting and running work for the other daemons.
func (s *Sched) Demand(time.Time) fireflypath.Demand {
	n := s.lowest + 1
	d := fireflypath.Demand{
		Pool: s.pool.Name, Waiting: make([]int, n), Running: make([]int, n),
		Requests: make([]int, n), Busy: make([]int, n),
	}
	for _, w := range s.waiting {
		d.Waiting[w.Rank] += w.Cost.Tokens()
		d.Requests[w.Rank]++
	}
	for w := range s.flights {
		if w.Rank < n {
			d.Running[w.Rank] += w.Cost.Tokens()
			d.Busy[w.Rank]++
		}
	}
	for _, t := range s.order {
		d.Slots += t.slots()
	}
	return d
}

// Views appends what is known of each target, for operators.
func (s *Sched) Views(now time.Time, out []fireflypath.TargetView) []fireflypath.TargetView {
	for _, t := range s.order {
		state := s.skip(now, t, 0)
		if state == "" {
			state = "ready"
		}
		out = append(out, fireflypath.TargetView{
			Target: t.Name, Pool: s.pool.Name, State: state, Window: t.slots(), Part: 1,
			Held: t.prefill, Requests: t.requests,
			PrefillRate: t.speed.Prefill(), DecodeRate: t.speed.Decode(), Age: now.Sub(t.heard),
		})
	}
	return out
}
