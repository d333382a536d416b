package dispatch

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

const (
	// shownTeams is how many teams a dispatcher shows: those that used most of their ranks.
	shownTeams = 8
	// maxTeamGauges bounds the teams that get a gauge, since gauges are kept as long as the process runs.
	maxTeamGauges = 64
	// showInterval is how often the teams' shares are looked at.
	showInterval = time.Second
	// limitedEnd is the use, relative to the share, below which a team no longer counts as limited to it.
	limitedEnd = 0.7
)

// teamView shows how much the busiest teams of a pool use.
type teamView struct {
	pool  string
	scope tally.Scope
	log   *zap.Logger
	next  time.Time
	// gauges holds the gauges by account; shown marks the accounts that were set the last time.
	gauges map[teamKey]tally.Gauge
	shown  map[teamKey]bool
	// limited holds the accounts that are limited by their share.
	limited map[teamKey]bool
	begun   tally.Counter
	shares  []teamshare.Share
}

// teamKey identifies a team in a rank.
type teamKey struct {
	team string
	rank int
}

func newTeamView(pool string, scope tally.Scope, log *zap.Logger) *teamView {
	return &teamView{
		pool: pool, scope: scope, log: log, begun: scope.Counter("teams_limited"),
		gauges: map[teamKey]tally.Gauge{}, shown: map[teamKey]bool{}, limited: map[teamKey]bool{},
	}
}

// update sets the gauges and logs which teams begin and cease to be limited by their shares. busiest
// appends a number of shares.
func (v *teamView) update(now time.Time, busiest func(now time.Time, n int, out []teamshare.Share) []teamshare.Share) {
	if now.Before(v.next) {
		return
	}
	v.next = now.Add(showInterval)
	v.shares = busiest(now, shownTeams, v.shares[:0])
	seen := map[teamKey]bool{}
	for _, s := range v.shares {
		k := teamKey{s.Team, s.Rank}
		seen[k] = true
		if g := v.gauge(k); g != nil {
			g.Update(s.Used)
			v.shown[k] = true
		}
		v.setLimited(k, s, s.Waiting > 0 && s.Limited(), s.Waiting == 0 || s.Due == 1 || s.Used < limitedEnd*s.Due)
	}
	for k := range v.shown {
		if !seen[k] {
			v.gauges[k].Update(0)
			delete(v.shown, k)
		}
	}
	for k := range v.limited {
		if !seen[k] {
			v.setLimited(k, teamshare.Share{}, false, true)
		}
	}
}

// gauge returns the gauge of a team in a rank, or nil if there are too many.
func (v *teamView) gauge(k teamKey) tally.Gauge {
	g, ok := v.gauges[k]
	if !ok && len(v.gauges) < maxTeamGauges {
		g = v.scope.Tagged(map[string]string{"pool": v.pool, "team": k.team, "rank": strconv.Itoa(k.rank)}).Gauge("team_share")
		v.gauges[k] = g
	}
	return g
}

// setLimited logs a change of whether the team is limited by its share.
func (v *teamView) setLimited(k teamKey, s teamshare.Share, begins, ends bool) {
	if v.limited[k] && !ends || !v.limited[k] && !begins {
		return
	}
	text := "team is limited to its share"
	if v.limited[k] {
		text = "team is no longer limited to its share"
		delete(v.limited, k)
	} else {
		v.limited[k] = true
		v.begun.Inc(1)
	}
	v.log.Info(text, zap.String("pool", v.pool), zap.String("team", k.team), zap.Int("rank", k.rank),
		zap.Float64("used", s.Used), zap.Float64("share", s.Due), zap.Int("waiting", s.Waiting), zap.Int("in_flight", s.InFlight))
}
