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
			v := r.Decide(start, cfg, 1, tc.w)
			is.Equal(v.Rule, tc.rule)
			is.Equal(v.Refused, tc.refused)
			is.Equal(v.RetryAfter, time.Duration(0)) // a retry as it is cannot help
		})
	}
}

// A hot team sends ten times its limit for a minute, a tenth of it in requests
// a hundred times as long. It gets its limit, long work included, and a caller
// who comes back after the time it was given is let in.
func TestHotTeamGetsItsLimit(t *testing.T) {
	is := is.New(t)
	cfg := &fireflypath.Config{Rules: []fireflypath.Rule{{Name: "calm", Act: fireflypath.RuleLimit, Team: "millers", Limit: 1000}}}
	var r rules.Rules
	passed, long, back := 0, 0, time.Time{}
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		tokens := 10
		if i%10 == 0 {
			tokens = 1000
		}
		v := r.Decide(now, cfg, 2, work("millers", "gold", tokens))
		if !back.IsZero() && !now.Before(back) {
			is.True(!v.Refused) // the retry-after was true
		}
		back = time.Time{}
		if v.Refused {
			back = now.Add(v.RetryAfter)
			continue
		}
		passed += tokens
		if tokens == 1000 {
			long++
		}
	}
	is.True(long > 0)
	t.Logf("%d tokens in 60 s at 500 a second for this daemon, %d long", passed, long)
	is.True(passed >= 30_000 && passed <= 30_000+1500) // the burst and one long request above
}

// The configuration changes while requests still carry the one before. A limit
// that started anew with each change would let a burst through each time.
func TestLimitSurvivesConfigurationChanges(t *testing.T) {
	is := is.New(t)
	rule := fireflypath.Rule{Name: "calm", Act: fireflypath.RuleLimit, Limit: 100}
	var r rules.Rules
	passed := 0
	for i := range 50 {
		cfg := &fireflypath.Config{Generation: uint64(i), Rules: []fireflypath.Rule{rule}}
		if !r.Decide(start, cfg, 1, work("t", "gold", 50)).Refused {
			passed++
		}
	}
	is.Equal(passed, 2)
}

func TestLimitIsExactUnderContention(t *testing.T) {
	is := is.New(t)
	cfg := &fireflypath.Config{Rules: []fireflypath.Rule{{Name: "calm", Act: fireflypath.RuleLimit, Limit: 1000}}}
	var r rules.Rules
	var passed atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if !r.Decide(start, cfg, 1, work("t", "gold", 10)).Refused {
					passed.Add(10)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(passed.Load(), int64(1000))
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

// A team's requests come here only. What comes is measured, also what the even
// part refuses, or else the part could never grow; once it has grown, the team
// gets what it was granted. A part of 0 means that nobody told any.
func TestLimitShareFollowsDemand(t *testing.T) {
	is := is.New(t)
	cfg := &fireflypath.Config{Rules: []fireflypath.Rule{
		{Name: "ours", Act: fireflypath.RuleLimit, Team: "traders", Limit: 900},
	}}
	var r rules.Rules
	now := start
	let := func(seconds int) (in int) {
		for range 10 * seconds {
			now = now.Add(100 * time.Millisecond)
			if !r.Decide(now, cfg, 9, work("traders", "gold", 80)).Refused {
				in += 80
			}
			r.Demands(now, cfg)
		}
		return in
	}
	is.True(let(20) < 21*100+160)
	d := r.Demands(now, cfg)
	is.Equal(len(d), 1)
	is.Equal(d[0].Slots, 900)
	is.True(d[0].Busy[0] > 780 && d[0].Busy[0] < 820)
	r.SetShare(cfg, "ours", 0.9)
	let(2) // the second that the clock is ahead
	is.True(let(20) > 20*780)
	r.SetShare(cfg, "ours", 0)
	is.True(let(20) < 21*100+160)
}
