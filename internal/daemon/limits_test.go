package daemon

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

type fixedConfig struct{ *fireflypath.Config }

func (f fixedConfig) Current() *fireflypath.Config   { return f.Config }
func (f fixedConfig) Changed(uint64) <-chan struct{} { return nil }

// windowshare.Manager splits rule limits and pools in the same way. If the share of a limit does not reach
// the rule, a team keeps a ninth of its limit. If it reaches a pool instead, it changes how much the
// pool may send.
func TestShareAppliesToRule(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	cfg := &fireflypath.Config{
		Generation: 1, Pools: []fireflypath.Pool{{Name: "limit odd", Kind: fireflypath.KindEngine}},
		Targets: []fireflypath.Target{{Name: "e", Pool: "limit odd"}},
		Rules:   []fireflypath.Rule{{Name: "ours", Act: fireflypath.RuleLimit, Limit: 100}},
	}
	var r rules.Rules
	l := &sharedLimits{pools.New(clock, nil, (&Daemon{}).scheduler), &r, fixedConfig{cfg}, clock}
	l.Apply(cfg)
	ds := l.Demands()
	is.Equal(len(ds), 2)
	is.Equal(ds[1].Pool, rules.DemandKey("ours"))
	// 100 tokens take 2 s at a share of one half, and 9 s at the even share among nine daemons.
	l.ApplyShare(ds[1].Pool, fireflypath.Share{Default: 0.5})
	w := &fireflypath.Work{Cost: fireflypath.Cost{Prompt: 100}}
	is.True(!r.Decide(clock.Now(), cfg, 9, w).Refused)
	is.Equal(r.Decide(clock.Now(), cfg, 9, w).RetryAfter, time.Second+1)
	is.True(l.Serves(cfg.Targets[0]))
	l.ApplyShare("limit odd", fireflypath.Share{})
	is.True(!l.Serves(cfg.Targets[0]))
}
