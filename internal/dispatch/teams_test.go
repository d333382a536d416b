package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// The log must show once when a team is limited to its share and once when it no longer is, not for each
// request or second.
func TestLimitedTeamIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	scope := tally.NewTestScope("", nil)
	v := newTeamView("p", scope, zap.New(core))
	now := time.Unix(1000, 0)
	observe := func(shares ...teamshare.Share) {
		now = now.Add(showInterval)
		v.update(now, func(_ time.Time, _ int, out []teamshare.Share) []teamshare.Share { return append(out, shares...) })
	}
	large := teamshare.Share{Team: "large", Rank: 1, Used: 0.4, Due: 0.1, Waiting: 50}
	for range 5 {
		observe(large, teamshare.Share{Team: "small", Rank: 1, Used: 0.05, Due: 0.1, Waiting: 1})
	}
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].ContextMap()["team"], "large")
	large.Used = 0.08
	observe(large) // still above limitedEnd
	is.Equal(lines.Len(), 1)
	large.Waiting = 0
	observe(large)
	observe()
	is.Equal(lines.Len(), 2)
	for _, g := range scope.Snapshot().Gauges() {
		is.Equal(g.Value(), 0.0) // neither is among the busiest any longer
	}
}

// Teams that come and go must not add gauges without bound.
func TestTeamGaugesAreBounded(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	v := newTeamView("p", scope, zap.NewNop())
	now := time.Unix(1000, 0)
	for i := range 500 {
		now = now.Add(showInterval)
		v.update(now, func(_ time.Time, _ int, out []teamshare.Share) []teamshare.Share {
			return append(out, teamshare.Share{Team: fmt.Sprint(i), Used: 1, Due: 1, Waiting: 1})
		})
	}
	is.Equal(len(scope.Snapshot().Gauges()), maxTeamGauges)
	is.True(len(v.limited) <= shownTeams)
}
