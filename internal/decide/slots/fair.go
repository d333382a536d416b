package slots

import (
	"fmt"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// teamAccounts holds what teams use of the pool, and the accounts of the waiting requests. Its nil
// value stands for teams that do not matter.
type teamAccounts struct {
	ledger *teamshare.Ledger
	// handles holds the accounts of waiting requests.
	handles map[*fireflypath.Work]teamshare.Handle
}

// charge is what a request in flight costs its team, in seconds of a whole target.
type charge struct {
	handle teamshare.Handle
	cost   float64
}

// newTeamAccounts returns nil if the tuning does not divide capacity among teams.
func newTeamAccounts(tuning Tuning) *teamAccounts {
	if !tuning.FairTeams {
		return nil
	}
	return &teamAccounts{ledger: teamshare.New(), handles: map[*fireflypath.Work]teamshare.Handle{}}
}

// join adds a waiting request.
func (a *teamAccounts) join(w *fireflypath.Work) {
	if a == nil {
		return
	}
	if _, ok := a.handles[w]; !ok {
		a.handles[w] = a.ledger.Join(w.Team, w.Rank, w.Weight)
	}
}

// leave removes a request that no longer waits and was not dispatched.
func (a *teamAccounts) leave(w *fireflypath.Work) {
	if a == nil {
		return
	}
	if h, ok := a.handles[w]; ok {
		delete(a.handles, w)
		a.ledger.Leave(h)
	}
}

// turn returns the place of the request's team in the order of service, lowest first.
func (a *teamAccounts) turn(w *fireflypath.Work) float64 {
	if a == nil {
		return 0
	}
	if h, ok := a.handles[w]; ok {
		return a.ledger.Turn(h)
	}
	return 0
}

// compare reports whether v goes before w because of their teams, and whether their teams decide.
// Requests of equal rank and lateness are compared.
func (a *teamAccounts) compare(v, w *fireflypath.Work) (before, differ bool) {
	if a == nil || v.Team == w.Team {
		return false, false
	}
	tv, tw := a.turn(v), a.turn(w)
	return tv < tw, tv != tw
}

// chargeTeam charges the team of a waiting request that is sent to the target.
func (s *Scheduler) chargeTeam(now time.Time, t *target, w *fireflypath.Work) charge {
	if s.teams == nil {
		return charge{}
	}
	h, ok := s.teams.handles[w]
	if !ok {
		return charge{handle: teamshare.None}
	}
	delete(s.teams.handles, w)
	return charge{handle: h, cost: s.teams.ledger.Dispatch(now, h, s.expectedUse(t, w))}
}

// adoptTeam charges the team of a request that another scheduler sent to the target.
func (s *Scheduler) adoptTeam(now time.Time, t *target, w *fireflypath.Work) charge {
	if s.teams == nil {
		return charge{}
	}
	use := s.expectedUse(t, w)
	return charge{handle: s.teams.ledger.Adopt(now, w.Team, w.Rank, w.Weight, use), cost: use}
}

// settleTeam replaces what a request's team was charged by what the request used.
func (s *Scheduler) settleTeam(now time.Time, e fireflypath.Event, f dispatched) {
	if s.teams == nil || f.charge.handle == teamshare.None {
		return
	}
	used := 0.0
	if e.Kind == fireflypath.EventDone || e.Kind == fireflypath.EventFailed {
		held := now.Sub(f.at).Seconds()
		prefill := s.prefillUse(f.target, e.Work)
		if f.firstEventAt.IsZero() {
			prefill = min(prefill, held)
		}
		used = f.target.use(held, prefill)
	}
	s.teams.ledger.End(now, f.charge.handle, f.charge.cost, used)
}

// BusiestTeams appends the n teams that have recently used most of the capacity of their rank.
func (s *Scheduler) BusiestTeams(now time.Time, n int, out []teamshare.Share) []teamshare.Share {
	if s.teams == nil {
		return out
	}
	return s.teams.ledger.Busiest(now, n, out)
}

// limitedDetail tells in the refusal of a request that its team has used its share, or returns "".
func (s *Scheduler) limitedDetail(now time.Time, w *fireflypath.Work) string {
	if s.teams == nil {
		return ""
	}
	h, ok := s.teams.handles[w]
	if !ok {
		return ""
	}
	v := s.teams.ledger.Share(now, h)
	if !v.Limited() {
		return ""
	}
	return fmt.Sprintf("; its team used %.2f of the rank's capacity, its share is %.2f", v.Used, v.Due)
}

// defaultUse is the time in seconds for which a request is expected to occupy a slot while no request
// has ended.
const defaultUse = 1

// expectedUse returns the part of the target that the request is expected to use, in seconds of the
// whole target.
func (s *Scheduler) expectedUse(t *target, w *fireflypath.Work) float64 {
	held := s.slotTime
	if held == 0 {
		held = defaultUse
	}
	if s.pool.Kind != fireflypath.KindService && t.speedKnown() && w.ExpectedOutput > 0 {
		held = s.expectedDuration(t, w)
	}
	return t.use(held, s.prefillUse(t, w))
}

// prefillUse returns the time in seconds that the prefill of the request takes at the target.
func (s *Scheduler) prefillUse(t *target, w *fireflypath.Work) float64 {
	if s.pool.Kind == fireflypath.KindService {
		return 0
	}
	return float64(w.Cost.Prompt) / s.prefillRate(t)
}

// use returns what a request uses of the target: its slot, and during its prefill the other slots as
// well, whose streams stand still meanwhile.
func (t *target) use(held, prefill float64) float64 {
	n := float64(t.slots())
	return held/n + prefill*(n-1)/n
}

// countAhead counts the waiting requests that are served before w if no more arrive: those of the
// version, if it is not empty.
func (s *Scheduler) countAhead(now time.Time, w *fireflypath.Work, version string) int {
	if s.teams == nil {
		n := 0
		for _, o := range s.waiting {
			if (version == "" || o.Version == version) && !s.servedBefore(now, w, o) {
				n++
			}
		}
		return n
	}
	own, ahead, priority := 0, 0, s.priority(now, w)
	s.teams.ledger.ResetCounts()
	for _, o := range s.waiting {
		if version != "" && o.Version != version {
			continue
		}
		switch p := s.priority(now, o); {
		case p < priority:
			ahead++
		case p > priority:
		case o.Team != w.Team:
			s.teams.count(o)
		case !s.servedBefore(now, w, o):
			own++
		}
	}
	return ahead + own + s.teams.ahead(w, own)
}

// countAheadOrSame counts the waiting requests of higher tiers, and of the tier of w those that are
// served before its team has been served all its own.
func (s *Scheduler) countAheadOrSame(w *fireflypath.Work) int {
	higher := 0
	for _, o := range s.waiting {
		if o.Rank < w.Rank {
			higher++
		}
	}
	return higher + s.countQueued(w)
}

// countQueued counts the waiting requests of the tier of w that are served before its team has been
// served all its own.
func (s *Scheduler) countQueued(w *fireflypath.Work) int {
	own := 0
	if s.teams != nil {
		s.teams.ledger.ResetCounts()
	}
	for _, o := range s.waiting {
		switch {
		case o.Rank != w.Rank || o == w && s.teams != nil:
		case s.teams == nil || o.Team == w.Team:
			if !isKept(w) || isKept(o) {
				own++
			}
		default:
			s.teams.count(o)
		}
	}
	if s.teams == nil {
		return own
	}
	return own + s.teams.ahead(w, own)
}

// count counts a waiting request of another team.
func (a *teamAccounts) count(o *fireflypath.Work) {
	if h, ok := a.handles[o]; ok {
		a.ledger.Count(h)
	}
}

// ahead returns how many of the requests counted go before the next request of the team of w after it
// has been served own requests.
func (a *teamAccounts) ahead(w *fireflypath.Work, own int) int {
	h, ok := a.handles[w]
	if !ok {
		return 0
	}
	return a.ledger.Ahead(h, own)
}
