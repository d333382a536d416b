// Package limits keeps the teams' quotas and the pools' retry budgets of this daemon.
package limits

import (
	"sync"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/budget"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
	"github.com/fireflypath/fireflypath/internal/quotas"
)

// Config sets the retry budgets.
type Config struct {
	// Ratio is the most repeats for each request, over all daemons.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Allowance is how many repeats all daemons together may make beyond the ratio.
	Allowance float64
	// Quotas is how far quotas may be exceeded.
	Quotas quota.Tolerance
}

// Margins keep the sums of all daemons within the bounds although each counts
// by its own clock and forgets at a restart.
const (
	ratioMargin     = 0.8
	allowanceMargin = 0.5
)

// Limits is safe for concurrent use.
type Limits struct {
	cfg Config

	mu    sync.Mutex
	teams map[string]*team
	pools map[string]*budget.Budget
	// daemons is the number of daemons that share the allowance; part the
	// fraction of the quotas' rates that this one may count on.
	daemons int
	part    float64
	// began is when this daemon started.
	began time.Time
	// split is true in a fleet that is too large to hear of all use: each team
	// has a part of its own then.
	split bool
}

// askedOver is the time over which demand is measured.
const askedOver = time.Second

type team struct {
	quota  fireflypath.Quota
	bucket *quota.Bucket
	// asked measures what is asked for by tier, granted or not.
	asked [quotas.Tiers]rate.Meter
	// free is until when a keeper lets the highest tiers, freeTiers of them, have
	// what they ask for; told is the use that was reported to it.
	free      time.Time
	freeTiers int
	told      int64
	since     time.Time
	// adopted is true once the level of another daemon's copy was taken over.
	adopted bool
}

// adoptWithin is how long a new bucket takes over another daemon's level: a
// daemon that restarts meets the others in that time.
const adoptWithin = 5 * time.Second

// New returns limits for one daemon among so many.
func New(cfg Config, daemons int, part float64) *Limits {
	return &Limits{
		cfg: cfg, daemons: max(daemons, 1), part: part,
		teams: map[string]*team{}, pools: map[string]*budget.Budget{},
	}
}

// SetFleet sets how many daemons share the allowance and the fraction of the
// quotas' rates that this one may count on.
func (l *Limits) SetFleet(now time.Time, daemons int, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(daemons, 1)
	if l.part == part && !l.split {
		return
	}
	l.part, l.split = part, false
	for _, t := range l.teams {
		t.bucket.SetPart(now, part)
	}
}

// SetDaemons sets how many daemons share the allowance, in a large fleet.
func (l *Limits) SetDaemons(daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(daemons, 1)
	l.split = true
}

// SetFraction sets the fraction of a team's quota that this daemon may give out.
func (l *Limits) SetFraction(now time.Time, name string, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[name]; t != nil {
		t.bucket.SetPart(now, part)
	}
}

// SetUnlimitedTiers lets the team's highest tiers, that many, have what they ask for until a
// time. When that ends for the lowest tier, the bucket here was not used meanwhile
// and begins empty: its part of the burst went with what was given freely.
func (l *Limits) SetUnlimitedTiers(now time.Time, name string, tiers int, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil {
		return
	}
	if tiers < quotas.Tiers && t.freeTiers == quotas.Tiers && now.Before(t.free) {
		t.bucket.Adopt(now, 0)
	}
	t.freeTiers, t.free = tiers, until
}

// TakeUsage returns what each team used since the last call, and asked for in a second.
func (l *Limits) TakeUsage(now time.Time) map[string]quotas.TeamUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]quotas.TeamUsage, len(l.teams))
	for name, t := range l.teams {
		used := int64(t.bucket.Used())
		sp := quotas.TeamUsage{Used: used - t.told}
		for i := range t.asked {
			t.asked[i].Pass(now, true)
			sp.Demand[i] = int64(t.asked[i].Rate())
		}
		out[name] = sp
		t.told = used
	}
	return out
}

// Quota is a team's, or nil.
func (l *Limits) Quota(name string) *fireflypath.Quota {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[name]; t != nil {
		q := t.quota
		return &q
	}
	return nil
}

// Apply makes the buckets of a configuration's teams, so that they fill from
// then on and not from a team's first request.
func (l *Limits) Apply(now time.Time, cfg *fireflypath.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now)
	for i := range cfg.Teams {
		if t := &cfg.Teams[i]; t.Quota != nil {
			l.team(now, t.Name, t.Quota)
		}
	}
}

// Levels is what each team's bucket holds here.
func (l *Limits) Levels(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.teams))
	for name, t := range l.teams {
		out[name] = t.bucket.Level(now)
	}
	return out
}

// Adopt takes over the levels of another daemon for buckets that are new here.
func (l *Limits) Adopt(now time.Time, levels map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, level := range levels {
		t := l.teams[name]
		if t == nil || l.split || t.adopted || now.Sub(t.since) > adoptWithin {
			continue
		}
		t.adopted = true
		t.bucket.Adopt(now, level)
	}
}

// Taken is what became of a request for units of a quota.
type Taken struct {
	OK bool
	// Wait is how long it takes until there are as many, if not OK.
	Wait time.Duration
	// Unjudged is true for units that were given out in a large fleet although no keeper
	// has said lately what this daemon may give out.
	Unjudged bool
}

// Take uses n units of the team's quota for a request of so many tiers below the
// team's highest, or tells how long to wait for them.
func (l *Limits) Take(now time.Time, t *fireflypath.Team, n float64, below int) Taken {
	if t == nil || t.Quota == nil {
		return Taken{OK: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	team := l.team(now, t.Name, t.Quota)
	tier := min(max(below, 0), quotas.Tiers-1)
	team.asked[tier].Add(now, int(n))
	judged := now.Before(team.free)
	if l.split && tier < team.freeTiers && judged {
		team.bucket.Spend(now, n)
		return Taken{OK: true}
	}
	wait, ok := team.bucket.Take(now, n, below)
	return Taken{OK: ok, Wait: wait, Unjudged: ok && l.split && !judged}
}

// Return gives units back that a request did not use.
func (l *Limits) Return(now time.Time, t *fireflypath.Team, n float64) {
	if t == nil || t.Quota == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.team(now, t.Name, t.Quota).bucket.Return(now, n)
}

func (l *Limits) team(now time.Time, name string, q *fireflypath.Quota) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{quota: *q, bucket: quota.New(now, *q, l.cfg.Quotas, l.part), since: now}
		for i := range t.asked {
			t.asked[i].Horizon = askedOver
		}
		l.teams[name] = t
	} else if t.quota != *q {
		t.quota = *q
		t.bucket.Set(now, *q)
	}
	return t
}

// Heard takes off what other daemons used of a team's quota.
func (l *Limits) Heard(now time.Time, name string, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[name]; t != nil && !l.split {
		t.bucket.Heard(now, n)
	}
}

// Used is what this daemon used of each team's quota since its start.
func (l *Limits) Used() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.teams))
	for name, t := range l.teams {
		out[name] = t.bucket.Used()
	}
	return out
}

// Request counts a caller's request for a pool.
func (l *Limits) Request(now time.Time, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now)
	l.pool(pool).Request(now)
}

func (l *Limits) begin(now time.Time) {
	if l.began.IsZero() {
		l.began = now
	}
}

// allowance is this daemon's part of the repeats beyond the ratio. One that has just
// started has none: it knows neither how many share it nor what its life before took.
// If all daemons lose power together, each would else take the part that it has in a
// small fleet, while the targets refuse the most.
func (l *Limits) allowance(now time.Time) float64 {
	if now.Sub(l.began) < l.cfg.Window {
		return 0
	}
	return allowanceMargin * l.cfg.Allowance / float64(l.daemons)
}

// Repeat takes one repeat from a pool's retry budget.
func (l *Limits) Repeat(now time.Time, pool string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool(pool).Repeat(now, l.allowance(now))
}

func (l *Limits) pool(name string) *budget.Budget {
	b := l.pools[name]
	if b == nil {
		b = &budget.Budget{Ratio: ratioMargin * l.cfg.Ratio, Window: l.cfg.Window}
		l.pools[name] = b
	}
	return b
}
