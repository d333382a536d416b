package rules_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
)

var start = time.Unix(1_000_000, 0)

func work(team, tier string, tokens int) *fireflypath.Work {
	return &fireflypath.Work{Team: team, Tier: tier, Pool: "chat", Cost: fireflypath.Cost{Prompt: tokens}}
}

func TestFirstMatchDecides(t *testing.T) {
	cfg := &fireflypath.Config{Rules: []fireflypath.Rule{
		{Name: "ours", Act: fireflypath.RuleAdmit, Team: "traders"},
		{Name: "big", Act: fireflypath.RuleRefuse, Tier: "bronze", Above: 1000},
		{Name: "other", Act: fireflypath.RuleRefuse, Pool: "packets"},
	}}
	for name, tc := range map[string]struct {
		w       *fireflypath.Work
		rule    string
		refused bool
	}{
		"admitted before": {work("traders", "bronze", 5000), "ours", false},
		"refused":         {work("millers", "bronze", 1001), "big", true},
		"not above":       {work("millers", "bronze", 1000), "", false},
		"another tier":    {work("millers", "gold", 5000), "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r rules.Rules
			dec := r.Decide(start, cfg, 1, tc.w)
			is.Equal(dec.Rule, tc.rule)
			is.Equal(dec.Refused, tc.refused)
			is.Equal(dec.RetryAfter, time.Duration(0)) // retrying the same request cannot help
		})
	}
}

// A hot team sends ten times its limit for a minute, a tenth of it in requests a hundred
// times as long. It gets its limit, including long requests, and a caller who comes back
// after the given Retry-After is admitted.
func TestHotTeamGetsItsLimit(t *testing.T) {
	is := is.New(t)
	cfg := &fireflypath.Config{Rules: []fireflypath.Rule{{Name: "calm", Act: fireflypath.RuleLimit, Team: "millers", Limit: 1000}}}
	var r rules.Rules
	admitted, long, retryAt := 0, 0, time.Time{}
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		tokens := 10
		if i%10 == 0 {
			tokens = 1000
		}
		dec := r.Decide(now, cfg, 2, work("millers", "gold", tokens))
		if !retryAt.IsZero() && !now.Before(retryAt) {
			is.True(!dec.Refused) // the caller came back when it was told to
		}
		retryAt = time.Time{}
		if dec.Refused {
			retryAt = now.Add(dec.RetryAfter)
			continue
		}
		admitted += tokens
		if tokens == 1000 {
			long++
		}
	}
	is.True(long > 0)
	t.Logf("%d tokens in 60 s at 500 a second for this daemon, %d long", admitted, long)
	is.True(admitted >= 30_000 && admitted <= 30_000+1500) // plus the burst and one long request
}

// The configuration changes while requests still carry the previous one. If a limit
// restarted with each change, each change would admit another burst.
func TestLimitSurvivesConfigurationChanges(t *testing.T) {
	is := is.New(t)
	rule := fireflypath.Rule{Name: "calm", Act: fireflypath.RuleLimit, Limit: 100}
	var r rules.Rules
	admitted := 0
	for i := range 50 {
		cfg := &fireflypath.Config{Generation: uint64(i), Rules: []fireflypath.Rule{rule}}
		if !r.Decide(start, cfg, 1, work("t", "gold", 50)).Refused {
			admitted++
		}
	}
	is.Equal(admitted, 2)
}

func TestLimitIsExactUnderContention(t *testing.T) {
	is := is.New(t)
	cfg := &fireflypath.Config{Rules: []fireflypath.Rule{{Name: "calm", Act: fireflypath.RuleLimit, Limit: 1000}}}
	var r rules.Rules
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if !r.Decide(start, cfg, 1, work("t", "gold", 10)).Refused {
					admitted.Add(10)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(admitted.Load(), int64(1000))
}

// BenchmarkDecide measures a request that no rule matches.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{0, 16, 256} {
		b.Run(fmt.Sprintf("rules=%d", n), func(b *testing.B) {
			cfg := &fireflypath.Config{}
			for i := range n {
				cfg.Rules = append(cfg.Rules, fireflypath.Rule{
					Name: fmt.Sprint("r", i), Act: fireflypath.RuleRefuse, Team: fmt.Sprint("team", i),
				})
			}
			var r rules.Rules
			w := work("traders", "gold", 10)
			for b.Loop() {
				r.Decide(start, cfg, 9, w)
			}
		})
	}
}

// All of a team's requests arrive at one daemon. Demand includes what the even share
// refuses, since otherwise the share could never grow; once it has grown, the team gets
// what it was granted. A share of 0 means that no demand was exchanged.
func TestLimitShareFollowsDemand(t *testing.T) {
	is := is.New(t)
	cfg := &fireflypath.Config{Rules: []fireflypath.Rule{
		{Name: "ours", Act: fireflypath.RuleLimit, Team: "traders", Limit: 900},
	}}
	var r rules.Rules
	now := start
	admitted := func(seconds int) (in int) {
		for range 10 * seconds {
			now = now.Add(100 * time.Millisecond)
			if !r.Decide(now, cfg, 9, work("traders", "gold", 80)).Refused {
				in += 80
			}
			r.Demands(now, cfg)
		}
		return in
	}
	is.True(admitted(20) < 21*100+160)
	d := r.Demands(now, cfg)
	is.Equal(len(d), 1)
	is.Equal(d[0].Slots, 900)
	is.True(d[0].RunningRequests[0] > 780 && d[0].RunningRequests[0] < 820)
	r.SetShare(cfg, "ours", 0.9)
	admitted(2) // the clock is up to a second ahead
	is.True(admitted(20) > 20*780)
	r.SetShare(cfg, "ours", 0)
	is.True(admitted(20) < 21*100+160)
}
