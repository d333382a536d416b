package eval_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/eval"
	"github.com/fireflypath/fireflypath/internal/query/table"
	"github.com/fireflypath/fireflypath/internal/record"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

var start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

type staticMembers []fireflypath.Member

func (m staticMembers) Live() []fireflypath.Member { return m }

func newEvaluator() (*eval.Evaluator, *testkit.FakeConfigs) {
	clock := clockwork.NewFakeClockAt(start)
	ledger := testkit.NewFakeConfigs(&fireflypath.Config{
		Generation: 4,
		Tiers:      []fireflypath.Tier{{Name: "gold", Deadline: fireflypath.Duration(time.Second)}, {Name: "bronze", Rank: 2}},
		Teams: []fireflypath.Team{
			{Name: "traders", Tiers: []string{"gold", "bronze"}, Weight: 3},
			{Name: "millers", Tiers: []string{"bronze"}, Weight: 1, Keys: []fireflypath.Key{{Hash: strings.Repeat("a", 64), Until: start}}},
			{Name: "bakers", Tiers: []string{"gold"}, Weight: 7, Pools: []string{"chat"}},
		},
		Pools:   []fireflypath.Pool{{Name: "chat", Kind: fireflypath.KindEngine, Models: []string{"m"}}},
		Targets: []fireflypath.Target{{Name: "e1", Pool: "chat"}, {Name: "e2", Pool: "chat", Drained: true}},
	}, clock.Now)
	ring := record.New(0)
	for i, state := range []fireflypath.State{fireflypath.StateAnswered, fireflypath.StateAnswered, fireflypath.StateShed, fireflypath.StateFailed} {
		addRecord(ring, i, state)
	}
	return eval.New(eval.Sources{
		Name: "d1", Configs: ledger, Committer: ledger, Recorder: ring, Clock: clock,
		Members: staticMembers{{Name: "d1", Domain: "a", Generation: 1}, {Name: "d2", Domain: "b", Generation: 3}},
		OpenRequests: func(match func(*fireflypath.Work) bool) []fireflypath.Record {
			return openRequests(clock.Now(), match)
		},
		Views: func() []fireflypath.TargetView {
			return []fireflypath.TargetView{{Target: "e1", Pool: "chat", State: "slow", Window: 4096, Share: 0.5}}
		},
		Demands: func() []fireflypath.Demand {
			return []fireflypath.Demand{{Pool: "chat", Waiting: []int{10, 0, 30}, Running: []int{5}, WaitingRequests: []int{1, 0, 2}}}
		},
	}), ledger
}

// openRequests returns a queue of two tiers: G arrived after W and is queued before it.
func openRequests(now time.Time, match func(*fireflypath.Work) bool) []fireflypath.Record {
	var out []fireflypath.Record
	for _, r := range []fireflypath.Record{
		{ID: "d1.W", Tier: "bronze", Pool: "chat", Arrived: now.Add(-3 * time.Second), State: "waiting"},
		{ID: "d1.G", Tier: "gold", Pool: "chat", Arrived: now.Add(-time.Second), State: "waiting"},
	} {
		w := &fireflypath.Work{ID: r.ID, Pool: r.Pool, Arrived: r.Arrived}
		if r.Tier == "bronze" {
			w.Rank = 2
		}
		if match(w) {
			out = append(out, r)
		}
	}
	return out
}

func addRecord(ring *record.Ring, i int, state fireflypath.State) {
	r := &fireflypath.Record{
		ID: "d1." + string(rune('A'+i)), Team: "traders", Tier: "gold", Pool: "chat",
		Arrived: start.Add(-5 * time.Second), Deadline: start.Add(-3500 * time.Millisecond), State: state.String(),
		Ended: start.Add(-4*time.Second + time.Duration(i)*time.Second),
	}
	if state == fireflypath.StateShed {
		r.Refusal = &fireflypath.Refusal{Code: fireflypath.ReasonFull, Detail: "pool chat holds 40 of 40 tokens", Run: fireflypath.RunNo, RetryAfter: 2 * time.Second}
		r.Relief = "2 peers hold no lower work"
	} else {
		r.Target = "e1"
		r.Dispatched = r.Arrived.Add(100 * time.Millisecond)
		r.Considered = []fireflypath.Candidate{{Target: "e1", InFlight: 10, Age: time.Second}, {Target: "e2", SkipReason: "drained", Age: math.MaxInt64}}
	}
	ring.Keep(r)
}

// show formats a query's result as the client does, with runs of blanks collapsed.
func show(t *testing.T, e *eval.Evaluator, text string) string {
	t.Helper()
	q, err := query.Parse(text)
	if err != nil {
		return err.Error()
	}
	a, err := e.Evaluate(context.Background(), q)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for _, l := range a.Lines {
		b.WriteString(l + "\n")
	}
	for _, s := range a.Sections {
		if s.Title != "" {
			b.WriteString("== " + s.Title + "\n")
		}
		if err := s.Table.Write(&b); err != nil {
			t.Fatal(err)
		}
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	return strings.Join(lines, "\n")
}

func TestEvaluate(t *testing.T) {
	e, _ := newEvaluator()
	for text, want := range map[string]string{
		"teams where tier = gold order by weight desc limit 1":    "NAME TIER POOL WEIGHT KEYS\nbakers gold chat 7 0\n# 1 of 2 rows",
		"teams where weight < 3 or name = bakers and pool = chat": "NAME TIER POOL WEIGHT KEYS\nmillers bronze - 1 1\nbakers gold chat 7 0",
		"teams where pool = - and name != millers":                "NAME TIER POOL WEIGHT KEYS\ntraders gold,bronze - 3 0",
		"count teams where tier = gold":                           "COUNT\n2",
		"count requests by state":                                 "STATE COUNT\nanswered 2\nfailed 1\nshed 1\n# 4 ended requests are kept at daemon d1",
		"p99 requests by state":                                   "STATE COUNT P99\nanswered 2 2s\nfailed 1 4s\nshed 1 3s\n# 4 ended requests are kept at daemon d1",
		"p50 requests of wait where state = answered":             "COUNT P50\n2 100ms\n# 4 ended requests are kept at daemon d1",
		"count requests where arrived > 5s":                       "COUNT\n0\n# 4 ended requests are kept at daemon d1",
		"count requests where total >= 3s and reason ~ ul":        "COUNT\n1\n# 4 ended requests are kept at daemon d1",
		"tiers order by rank desc":                                "NAME RANK DEADLINE\nbronze 2 0s\ngold 0 1s",
		"pools":                                                   "NAME KIND MODEL TARGETS DRAINED WAITING RUNNING QUEUED\nchat engine m 2 1 40 5 3\n# waiting and running in estimated tokens, queued in requests, at daemon d1",
		"targets where drained = no":                              "NAME POOL ADDR DOMAIN DRAINED STATE WINDOW PART HELD REQUESTS PREFILL DECODE AGE\ne1 chat - - false slow 4096 0.50 0 0 0 0 0s\n# state, window and rates as learned by daemon d1",
		"daemons where generation < 4":                            "NAME DOMAIN CALLER OPERATOR GENERATION LEAVING\nd2 b - - 3 false",
		"keys":                                                    "HASH KIND OWNER UNTIL\naaaaaaaaaaaa team millers 2026-12-02T20:00:00.000Z",
		"settle nobody":                                           "not done: the trail holds no command nobody",
		"rules":                                                   "NAME ACT TEAM TIER POOL ABOVE LIMIT",
		"why d1.Z":                                                "request d1.Z: it never came here, came before this daemon's last start, or made room for newer ones; a refusal itself says why: no record of the request is kept",
		"why d2.Z":                                                "the request was taken by daemon d2",
		"teams where wight = 3":                                   "line 1, column 13: found \"wight\", expected name, tier, pool, weight or keys\n  teams where wight = 3\n              ^",
		"teams where weight = heavy":                              "line 1, column 22: expected a number\n  teams where weight = heavy\n                       ^",
		"teams limit 0":                                           "line 1, column 13: expected a whole number above 0\n  teams limit 0\n              ^",
		"team":                                                    "line 1, column 1: found \"team\", expected why, settle, top, count, tiers, teams, pools, targets, rules, operators, keys, daemons, requests, open, changes, p50, p90, p95 or p99\n  team\n  ^",
		"teams where weight":                                      "line 1, column 19: found end of the text, expected =, !=, <, <=, >, >= or ~\n  teams where weight\n                    ^",
	} {
		t.Run(text, func(t *testing.T) {
			is.New(t).Equal(show(t, e, text), want)
		})
	}
}

func TestWhyExplains(t *testing.T) {
	is := is.New(t)
	e, _ := newEvaluator()
	shed := show(t, e, "why d1.C")
	for _, want := range []string{
		"of team traders, tier gold, pool chat", "came 2026-12-02T19:59:55.000Z, deadline 1.5s later",
		"relief round among the daemons: 2 peers hold no lower work", "sent to no target",
		"refused as full: pool chat holds 40 of 40 tokens", "it did not run and will not", "come back after 2s",
	} {
		is.True(strings.Contains(shed, want)) // contains the sentence
	}
	answered := show(t, e, "why d1.A")
	for _, want := range []string{
		"sent to e1 after waiting 100ms: the lowest score of 1 usable targets, 1 could not be used",
		"ended as answered 1s after it came", "e2 false 0 - - 0 0 0s drained",
	} {
		is.True(strings.Contains(answered, want)) // contains the sentence
	}
}

func TestWhyOfOpenRequest(t *testing.T) {
	is := is.New(t)
	e, _ := newEvaluator()
	bronze := show(t, e, "why d1.W")
	is.True(strings.Contains(bronze, "1 requests stood before it"))
	is.True(strings.Contains(bronze, "it has not ended: waiting"))
	is.True(!strings.Contains(show(t, e, "why d1.G"), "stood before it"))
	is.Equal(show(t, e, "count open by tier"), "TIER COUNT\nbronze 1\ngold 1\n# waiting or running now at daemon d1")
}

func TestTopShowsTiers(t *testing.T) {
	is := is.New(t)
	e, _ := newEvaluator()
	is.True(strings.Contains(show(t, e, "top"), "gold 0 10 5 2 1 1 1 2s\nbronze 2 30 0 0 0 0 0 -"))
}

// While the platform's service is down, tables that the daemon keeps in memory are still served.
// The audit trail is not among them, so that reading it must fail with ErrAuditTrail.
func TestEvaluateWithoutService(t *testing.T) {
	is := is.New(t)
	e, ledger := newEvaluator()
	ledger.FailAfter(fireflypath.ErrUnavailable, 0)
	is.Equal(show(t, e, "count teams"), "COUNT\n3")
	q, err := query.Parse("changes")
	is.NoErr(err)
	_, err = e.Evaluate(context.Background(), q)
	is.True(errors.Is(err, eval.ErrAuditTrail))
}

func TestTableJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	e, _ := newEvaluator()
	q, err := query.Parse("requests")
	is.NoErr(err)
	a, err := e.Evaluate(context.Background(), q)
	is.NoErr(err)
	data, err := json.Marshal(a.Sections[0].Table)
	is.NoErr(err)
	var decoded table.Table
	is.NoErr(json.Unmarshal(data, &decoded))
	var want, got strings.Builder
	is.NoErr(a.Sections[0].Table.Write(&want))
	is.NoErr(decoded.Write(&got))
	is.Equal(got.String(), want.String())
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"teams where tier = gold or weight >= 3 and name ~ a order by weight desc limit 10",
		"p99 requests of wait by tier", "why d1.A", "settle x", "top", "count requests by team", "keys where until < 5m",
	} {
		f.Add(seed)
	}
	e, _ := newEvaluator()
	f.Fuzz(func(t *testing.T, text string) {
		q, err := query.Parse(text)
		if err != nil {
			return
		}
		if a, err := e.Evaluate(context.Background(), q); err == nil && a.Daemon != "d1" {
			t.Fatal("result does not name daemon d1")
		}
	})
}

// An operator may ask for the outcome of a command days later. All lines searched are then newer
// than the command, so that its absence does not mean that it was not done.
func TestSettleOfOldCommandIsUnknown(t *testing.T) {
	is := is.New(t)
	e, ledger := newEvaluator()
	at := func(d time.Duration) string {
		return ulid.MustNew(ulid.Timestamp(start.Add(d)), ulid.DefaultEntropy()).String()
	}
	is.Equal(show(t, e, "settle "+at(-time.Hour))[:8], "not done")
	for i := range 384 {
		is.NoErr(ledger.AppendAudit(t.Context(), fireflypath.AuditLine{ID: fmt.Sprint("n", i), At: start}))
	}
	is.Equal(show(t, e, "settle "+at(-time.Hour))[:7], "unknown")
	is.Equal(show(t, e, "settle "+at(time.Hour))[:8], "not done")
}
