// Package slots schedules requests for targets with a known number of slots.
//
// Engines admit requests first come, first served and know no tiers; tiers,
// deadlines and refusals have no effect on requests in an engine's own queue. The
// daemons together therefore send a target no more requests than it has slots and
// queue the rest themselves. Otherwise a burst of low-tier requests would fill the
// engines' queues, and a request of the highest tier arriving a moment later would
// wait behind it.
package slots

import (
	"fmt"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/backpressure"
	"github.com/fireflypath/fireflypath/internal/decide/floor"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
	"github.com/fireflypath/fireflypath/internal/decide/targets"
)

const (
	// numTiers is the maximum number of tiers.
	numTiers = 16
	// defaultSlots is used for targets that do not report their number of slots.
	defaultSlots = 4
	// rateHorizon is the time constant of the arrival and completion rates. It
	// covers several requests per slot and is short compared with a burst.
	rateHorizon = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// minSpareFraction is the fraction of the completion rate assumed to be
	// available for the backlog during an overload whose end is unknown.
	minSpareFraction = 0.2
	// retryJitter is the relative amount, up or down, by which Retry-After is
	// randomized.
	retryJitter = 0.25
	// expiryMargin is how long before its deadline a waiting request expires. Even
	// the shortest answers take longer, so the request could only be cut off.
	expiryMargin = 30 * time.Millisecond
	// noTargetDetail is the detail of the refusal of a request that no target may run.
	noTargetDetail = "no target is left that may run it and has not been tried"
)

// Scheduler implements fireflypath.Scheduler for one pool at one daemon. It is not
// safe for concurrent use.
type Scheduler struct {
	pool    fireflypath.Pool
	tuning  Tuning
	targets map[string]*target
	// ordered holds the targets sorted by name, which makes decisions reproducible.
	ordered []*target
	// shared holds those of them that this daemon dispatches to, in a large fleet a small part.
	shared []*target
	// list holds all targets as last set. replaced holds the ones removed by the change that is
	// being applied.
	list     targets.List
	replaced map[string]*target
	waiting  []*fireflypath.Work
	// neededVersions lists the versions that waiting work needs, as of the last call of Next.
	neededVersions []string
	inFlight       map[*fireflypath.Work]dispatched
	completions    rate.Meter
	// slotTime is the moving average of how long a request occupies a slot, in
	// seconds.
	slotTime float64
	// arrivals counts offered requests by rank.
	arrivals [numTiers]rate.Meter
	// maxPrefillRate is the highest known prefill rate in tokens per second.
	maxPrefillRate float64
	// fastest is the target with that rate.
	fastest *target
	// lowestRank is the rank of the lowest tier seen so far, which is the largest
	// number.
	lowestRank int
	seed       uint64
	share      fireflypath.Share
	// backpressure holds what targets declare about the requests that they take. represented is the
	// number of daemons for which this scheduler decides as their dispatcher, or 0.
	backpressure *backpressure.Tracker
	represented  int
	// isDispatcher is true if this scheduler decides as a dispatcher. Otherwise leasedUntil is until
	// when dispatchers may use this daemon's part of what targets bear.
	isDispatcher bool
	leasedUntil  time.Time
	// appliedNotices is the version of backpressure that the targets' state reflects.
	appliedNotices uint64
	// allLimited is true while all targets name rate limits. Only as much work is admitted then
	// as can be served by its goal, so that no order of it leaves some of it behind.
	allLimited bool
	// floor guarantees each tier a minimum of service.
	floor *floor.Floor
	// reporters is the number of other daemons that report their requests.
	reporters int
	// competitors are the other daemons with requests waiting for the pool.
	competitors []competitor
	// teams holds what teams use, or nil if teams do not matter.
	teams *teamAccounts
	// returns holds the times promised to refused callers; nil if none are.
	returns *promises
	// lending is nil unless the tuning allows lending.
	lending *lending
}

// dispatched describes a request in flight at a target.
type dispatched struct {
	target       *target
	at           time.Time
	firstEventAt time.Time
	// prefillAhead is the number of prompt tokens, of all daemons as far as
	// reported, whose answers had not begun at the target when this request was
	// dispatched.
	prefillAhead int
	// charge is what the request's team was charged.
	charge charge
}

var _ fireflypath.Scheduler = (*Scheduler)(nil)

// New returns a scheduler without targets. The seed must differ between daemons, so
// that daemons with equal views choose differently.
func New(pool fireflypath.Pool, seed uint64, tuning Tuning) *Scheduler {
	s := &Scheduler{
		pool: pool, seed: seed, tuning: tuning, share: fireflypath.Share{Default: 1},
		targets: map[string]*target{}, replaced: map[string]*target{}, inFlight: map[*fireflypath.Work]dispatched{},
		completions: rate.Meter{TimeConstant: rateHorizon}, floor: floor.New(tuning.MinServedRatio),
		backpressure: backpressure.New(), teams: newTeamAccounts(tuning),
	}
	if tuning.Returns {
		s.returns = newPromises()
	}
	for i := range s.arrivals {
		s.arrivals[i].TimeConstant = rateHorizon
	}
	if tuning.Lend {
		s.lending = &lending{}
	}
	return s
}

// Offer queues the request, or refuses it if its expected wait is too long.
func (s *Scheduler) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	s.lowestRank = max(s.lowestRank, w.Rank)
	if !s.recognizeReturn(now, w) {
		s.arrivals[min(max(w.Rank, 0), numTiers-1)].Add(now, 1)
	}
	s.floor.CountOffered(now, w.Rank)
	s.completions.Advance(now, len(s.waiting) > 0)
	s.teams.join(w)
	if s.noTargetLeft(w) {
		return append(out, s.shed(now, w, noTargetDetail))
	}
	if wait, refuse := s.hopeless(now, w); refuse && !s.admitStarved(now, w) {
		return append(out, s.shed(now, w, fmt.Sprintf("turn expected in %v", wait.Round(time.Millisecond))))
	}
	s.waiting = append(s.waiting, w)
	s.admitReturn(now, w)
	return out
}

// servedBefore reports whether a is served before b. Requests that can still begin
// in time are ordered by tier, then by goal. Late requests are ordered behind the
// punctual ones of the next lower tier: ahead of punctual requests they would make
// those late as well, and in turn everything queued behind.
func (s *Scheduler) servedBefore(now time.Time, a, b *fireflypath.Work) bool {
	ra, rb := s.priority(now, a), s.priority(now, b)
	if ra != rb {
		return ra < rb
	}
	if before, differ := s.teams.compare(a, b); differ {
		return before
	}
	if kept := isKept(a); kept != isKept(b) {
		return kept
	} else if kept {
		return a.Goal.Before(b.Goal)
	}
	if s.tuning.LatestGoalFirst && !s.allLimited && ra%2 == 0 {
		return a.Goal.After(b.Goal)
	}
	return a.Goal.Before(b.Goal)
}

// priority returns the sort key of a request, lower first: twice its rank if it is
// punctual. A late request sorts between the punctual ones of the next lower tier
// and of the tier below that.
func (s *Scheduler) priority(now time.Time, w *fireflypath.Work) int {
	u := 2 * w.Rank
	if s.isLate(now, w) {
		u += 3
	}
	return u
}

// isLate reports whether the request can no longer begin in time.
func (s *Scheduler) isLate(now time.Time, w *fireflypath.Work) bool {
	minSeconds := s.tuning.LatenessMargin
	switch {
	case isKept(w):
		return false // it is late because it waited for the time that it was given
	case !s.tuning.PredictLateness:
		return now.After(w.Goal)
	case s.maxPrefillRate > 0:
		minSeconds += float64(w.Cost.Prompt) / s.maxPrefillRate
	case s.pool.Kind != fireflypath.KindEngine && s.slotTime > 0:
		minSeconds += s.slotTime
	default:
		return now.After(w.Goal)
	}
	return now.After(w.Goal.Add(-time.Duration(minSeconds * float64(time.Second))))
}

// Next chooses the next request and its target and counts it as in flight. A
// starved tier goes first.
func (s *Scheduler) Next(now time.Time, p *fireflypath.Placement) bool {
	if len(s.waiting) == 0 || s.equalShareUsed() {
		return false
	}
	s.expireLoans(now)
	s.findNeededVersions()
	if !s.anyTargetAccepts(now) {
		return false
	}
	_, s.allLimited = s.totalLimit(now)
	var best *target
	at := -1
	if rank, ok := s.starvedTier(now); ok {
		best, at = s.selectWork(now, func(w *fireflypath.Work) bool { return w.Rank == rank })
	}
	if at < 0 {
		best, at = s.selectWork(now, func(*fireflypath.Work) bool { return true })
	}
	if at < 0 {
		return false
	}
	w := s.waiting[at]
	s.waiting = append(s.waiting[:at], s.waiting[at+1:]...)
	s.dispatch(now, w, best, p)
	return true
}

// selectWork returns the first request in service order that is eligible and has a
// target available, as the target and the index in s.waiting, or -1 if there is
// none.
func (s *Scheduler) selectWork(now time.Time, eligible func(*fireflypath.Work) bool) (*target, int) {
	best, at := (*target)(nil), -1
	for i, w := range s.waiting {
		if !eligible(w) || at >= 0 && !s.servedBefore(now, w, s.waiting[at]) {
			continue
		}
		if t := s.chooseTarget(now, w); t != nil {
			best, at = t, i
		}
	}
	return best, at
}

// equalShareUsed reports whether this daemon uses its equal part of the slots that it shares with
// daemons that report nothing. After a start of the whole fleet, daemons receive a wave of
// returning callers before they can exchange anything. Without the limit they filled the
// targets with several times what these can run, lowest tiers included.
func (s *Scheduler) equalShareUsed() bool {
	if !s.tuning.LimitToEqualShare || s.reporters+1 >= s.share.Senders {
		return false
	}
	all := 0
	for _, t := range s.shared {
		all += t.slots()
	}
	return len(s.inFlight)*s.share.Senders >= all
}

func (s *Scheduler) anyTargetAccepts(now time.Time) bool {
	if len(s.neededVersions) > 0 {
		return true // such work may go to targets that are not shared
	}
	for _, t := range s.shared {
		if s.accepts(now, t, s.pipelined(t)+s.tuning.MaxTargetQueue) {
			return true
		}
	}
	return false
}

func (s *Scheduler) dispatch(now time.Time, w *fireflypath.Work, t *target, p *fireflypath.Placement) {
	s.inFlight[w] = dispatched{target: t, at: now, prefillAhead: t.pendingPrefill + t.peerPrefill, charge: s.chargeTeam(now, t, w)}
	s.floor.CountServed(now, w.Rank)
	t.requests++
	t.pendingPrefill += w.Cost.Prompt
	t.markProbe(now)
	t.declared.CountSent(now)
	p.Work, p.Target = w, t.Name
	p.Waited = now.Sub(w.Arrived)
	p.Ahead = len(s.waiting)
	p.Considered = s.candidates(now, w, p.Considered[:0])
}

// Withdraw removes a waiting request; it reports false if the request was not
// waiting here.
func (s *Scheduler) Withdraw(now time.Time, w *fireflypath.Work) bool {
	for i, o := range s.waiting {
		if o == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.teams.leave(w)
			return true
		}
	}
	return false
}

// Wake returns when the next waiting request expires or a target may be tried
// again, whichever comes first.
func (s *Scheduler) Wake(now time.Time) time.Time {
	var at time.Time
	for _, w := range s.waiting {
		if s.versionLost(w) {
			return now
		}
		if due := s.expiresAt(w); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	for _, t := range s.shared {
		if due := s.nextAttempt(now, t); !due.IsZero() && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	if due := s.nextBackoffEnd(now); !due.IsZero() && (at.IsZero() || due.Before(at)) {
		at = due
	}
	return at
}

// SetShare sets which targets this daemon dispatches to: those with a share above
// 0. How many requests each daemon may send depends on what daemons report to each
// other.
func (s *Scheduler) SetShare(now time.Time, share fireflypath.Share) {
	s.share = share
	for _, t := range s.ordered {
		s.updateAssignment(now, t)
	}
	s.updateShared()
	s.updateLimitShare(now)
}

// updateAssignment sets whether this daemon dispatches to the target.
//
// When a target joins or leaves, other targets are reassigned to another group of
// daemons. All daemons of that group see the reassigned target at once, with no
// requests of theirs in flight. Without a limit they sent up to 29 requests within
// a second to an engine with five slots that was still busy with requests of its
// previous daemons.
func (s *Scheduler) updateAssignment(now time.Time, t *target) {
	isAssigned := assigned(s.share, t.Name)
	if isAssigned && t.unassigned {
		t.peerFreedAt = now
		if now.Sub(t.knownSince) > registrationPeriod {
			t.takenOverAt = now
		}
	}
	t.unassigned = !isAssigned
}

func assigned(share fireflypath.Share, name string) bool {
	if part, ok := share.Fractions[name]; ok {
		return part > 0
	}
	return share.Default > 0
}
