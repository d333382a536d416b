package command_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/command"
	"github.com/fireflypath/fireflypath/internal/plan"
)

var now = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

const (
	hashA         = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB         = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	tiersAndPools = `set tier gold rank 0 deadline 2s; set tier bronze rank 2 deadline 1m
		set pool chat models m ; set pool packets kind service;`
)

// fullConfig creates a small configuration that uses every kind of element.
const fullConfig = `set tier gold rank 0 deadline 2s; set tier bronze rank 2 deadline 1m;
# pools and their targets
set pool chat models m,n; set pool packets kind service;
set target e1 pool chat addr 127.0.0.1:9001 domain a;
set target e2 pool chat addr 127.0.0.1:9002 domain b window 9000 fenced yes;
set team traders tiers gold,bronze weight 3 pools chat;
key team traders hash ` + hashA + `;
set rule big act refuse above 100000 tier bronze;
set operator ana role order; key operator ana hash ` + hashB

func apply(t *testing.T, old *fireflypath.Config, text string) *fireflypath.Config {
	t.Helper()
	s, err := command.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	next, err := s.Apply(old, now)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestApply(t *testing.T) {
	is := is.New(t)
	cfg := apply(t, &fireflypath.Config{}, fullConfig)
	is.Equal(cfg.Generation, uint64(1))
	is.Equal(cfg.Tiers[0], fireflypath.Tier{Name: "gold", Deadline: fireflypath.Duration(2 * time.Second)})
	is.Equal(cfg.Teams[0].Tiers, []string{"gold", "bronze"})
	is.Equal(cfg.Teams[0].Keys, []fireflypath.Key{{Hash: hashA}})
	is.Equal(cfg.Targets[1].Window, 9000)
	is.Equal(cfg.Pools[1].Kind, fireflypath.KindService)

	drained := apply(t, cfg, "drain target e1; set team traders weight 5")
	is.True(drained.Targets[0].Drained)
	is.Equal(drained.Teams[0].Weight, 5)
	is.Equal(drained.Teams[0].Pools, []string{"chat"})
	is.True(!cfg.Targets[0].Drained) // Apply does not modify its argument
	restored := apply(t, drained, "restore target e1; set team traders pools all; delete rule big")
	is.True(!restored.Targets[0].Drained)
	is.Equal(len(restored.Teams[0].Pools), 0)
	is.Equal(len(restored.Rules), 0)
}

// The callers of a team cannot all switch to a new key at the same moment. During the
// overlap the old key must stay valid, or callers that still use it would be refused.
func TestOldKeyStaysValidDuringOverlap(t *testing.T) {
	is := is.New(t)
	cfg := apply(t, &fireflypath.Config{}, fullConfig)
	hashC := strings.Repeat("c", 64)
	next := apply(t, cfg, "key team traders overlap 24h hash "+hashC)
	is.Equal(next.Teams[0].Keys, []fireflypath.Key{{Hash: hashA, Until: now.Add(24 * time.Hour)}, {Hash: hashC}})
	is.True(cfg.Teams[0].Keys[0].Until.IsZero())
	last := apply(t, next, "revoke key aaaaaaaa")
	is.Equal(last.Teams[0].Keys, []fireflypath.Key{{Hash: hashC}})
}

func TestParseErrors(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"unknown verb": {"sett tier gold", `line 1, column 1: found "sett", expected plan, at, set, delete, drain, restore, key, revoke, load, unload, adapter, version, role or ;
  sett tier gold
  ^`},
		"unknown field": {"set tier gold\n  rnk 3", `line 2, column 3: found "rnk", expected rank, deadline or ;
    rnk 3
    ^`},
		"second command":       {"plan set tier a rank 1; plan x", `column 25: found "plan", expected set, delete, drain, restore, key, revoke, load, unload, adapter, version, role or ;`},
		"far from a separator": {"set team a tiers " + strings.Repeat("b,", 600) + ";", `column 1218: ";" cannot stand here`},
		"missing value":        {"set tier gold rank", "found end of the text, expected a rank from 0 to 15"},
		"wrong number":         {"set tier gold rank high", `column 20: expected a whole number`},
		"wrong duration":       {"set tier gold deadline 2", "column 24: expected a duration such as 2s"},
		"field twice":          {"set tier gold rank 0 rank 1", "column 27: this field is given twice"},
		"bad character":        {"set tier gold $", "column 15: this character has no meaning here"},
		"no command":           {" ; ", "no command is given"},
		"order with set":       {"load target e1 model m; set tier a rank 1", "an order to a target stands alone"},
		"key unhashed":         {"key team traders", "the key's hash is missing"},
		"short hash":           {"revoke key abc", "at least 8 hexadecimal digits"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := command.Parse(tc.text)
			is.True(err != nil)
			if !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got:\n%v\nwant:\n%s", err, tc.want)
			}
		})
	}
}

func TestApplyReportsAllProblems(t *testing.T) {
	cfg := apply(t, &fireflypath.Config{}, fullConfig)
	for name, tc := range map[string]struct {
		old  *fireflypath.Config
		text string
		want []string
	}{
		"two tiers of one rank": {cfg, "set tier silver rank 0", []string{"tier silver has rank 0, which tier gold has"}},
		"missing names": {cfg, "set team t tiers nope pools none; set target x pool none addr localhost:1 domain a", []string{
			"team t names tier nope, which does not exist",
			"team t names pool none, which does not exist",
			"target x names pool none, which does not exist",
			`target x has the address "localhost:1", which is not an IP number and a port`,
		}},
		"callers locked out":   {cfg, "delete team traders", []string{"teams would all be gone"}},
		"last team key":        {cfg, "revoke key aaaaaaaa", []string{"teams would have no valid key left"}},
		"operators locked out": {cfg, "set operator ana role ask", []string{"operators would have no valid key with the role change or order"}},
		"operators gone":       {cfg, "delete operator ana", []string{"operators would all be gone"}},
		"first operator":       {&fireflypath.Config{}, "set operator bo; key operator bo hash " + hashA, []string{"no further change could be made"}},
		"engine without model": {cfg, "set pool x", []string{"pool x is of kind engine and has no models"}},
		"model in two pools":   {cfg, "set pool x models m", []string{"pool x serves model m, which pool chat serves"}},
		"pool in use":          {cfg, "delete pool chat", []string{"team traders names pool chat", "target e1 names pool chat", "target e2 names pool chat"}},
		"fields":               {cfg, "set tier gold rank 16; set rule r act allow", []string{"tier gold has a value for rank that is not allowed: the most is 15", "rule r has a value for act that is not allowed: it must be one of admit, refuse, limit"}},
		"limit without limit":  {cfg, "set rule r act limit", []string{"rule r limits and names no limit"}},
		"key of two owners":    {cfg, "key operator ana hash " + hashA + "; set team x tiers gold; key team x hash " + hashA, []string{"team x has a key that team traders has"}},
		"unknown names":        {cfg, "drain target no; delete rule no; key team no hash " + hashA, []string{"target no does not exist", "rule no does not exist", "team no does not exist"}},
		"long name":            {cfg, "set team " + strings.Repeat("x", 65) + " tiers gold", []string{"has a value for name that is not allowed: the most is 64"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := command.Parse(tc.text)
			is.NoErr(err)
			_, err = s.Apply(tc.old, now)
			is.True(err != nil)
			for _, want := range tc.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got:\n%v\nwant:\n%s", err, want)
				}
			}
		})
	}
}

func TestPlan(t *testing.T) {
	is := is.New(t)
	cfg := apply(t, &fireflypath.Config{}, fullConfig)
	next := apply(t, cfg, "drain target e1; drain target e2; set pool chat models n; set tier silver rank 1; delete rule big; set team traders tiers gold")
	p := plan.Compare(cfg, next)
	is.Equal(p.Lines, []string{
		"+ tier silver rank 1 deadline 2m0s",
		"~ team traders tiers gold,bronze -> gold",
		"~ pool chat models m,n -> n",
		"~ target e1 drained false -> true",
		"~ target e2 drained false -> true",
		"- rule big",
	})
	is.Equal(len(p.BreakingChanges), 3) // no target left, a model without pool, a tier removed from a team
}

func TestOrderAndBase(t *testing.T) {
	is := is.New(t)
	s, err := command.Parse("at 7 role target e1 prefill")
	is.NoErr(err)
	is.Equal(s.Base, uint64(7))
	is.Equal(*s.Order, fireflypath.Order{Kind: fireflypath.OrderRole, Target: "e1", Value: "prefill"})
	s, err = command.Parse("plan drain target e1")
	is.NoErr(err)
	is.True(s.Plan)
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{fullConfig, tiersAndPools, "at 3 load target e1 model m", "plan revoke key aaaaaaaa", "set tier \"a b\" rank 0;;"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := command.Parse(text)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("the error has an empty message")
			}
			return
		}
		old := &fireflypath.Config{}
		if next, err := s.Apply(old, now); err == nil {
			plan.Compare(old, next)
		}
	})
}
