package teamshare

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// serve dispatches one request of the waiting account with the lowest turn and ends it with the use given
// by its team. It returns the account's position, or -1 if none waits.
func serve(l *Ledger, now time.Time, waiting [][]Handle, cost func(team int) float64) int {
	return serveLowest(l, now, waiting, cost, l.Turn)
}

// serveLowest is like serve, by another order.
func serveLowest(l *Ledger, now time.Time, waiting [][]Handle, cost func(team int) float64, order func(Handle) float64) int {
	first := -1
	for i, w := range waiting {
		if len(w) > 0 && (first < 0 || order(w[0]) < order(waiting[first][0])) {
			first = i
		}
	}
	if first < 0 {
		return -1
	}
	h := waiting[first][0]
	waiting[first] = waiting[first][1:]
	charged := l.Dispatch(now, h, 1)
	l.End(now, h, charged, cost(first))
	return first
}

// A team that sends much more than the others must not get more than its share while they have
// requests waiting.
func TestUseFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		n := rapid.IntRange(2, 15).Draw(t, "teams")
		weights, waiting, used := make([]int, n), make([][]Handle, n), make([]float64, n)
		sum := 0.0
		for i := range weights {
			weights[i] = rapid.IntRange(1, 50).Draw(t, "weight")
			sum += float64(weights[i])
		}
		now := start
		const served = 3000
		turn := turnTime.Seconds() * 100 * 1.25 // at 100 requests of mean cost 1.25 per second
		for range served {
			now = now.Add(10 * time.Millisecond)
			for i := range waiting {
				for len(waiting[i]) < 1+i%3 {
					waiting[i] = append(waiting[i], l.Join(fmt.Sprint(i), 1, weights[i]))
				}
			}
			cost := rapid.Float64Range(0.5, 2).Draw(t, "cost")
			used[serve(l, now, waiting, func(int) float64 { return cost })] += cost
		}
		total := 0.0
		for _, u := range used {
			total += u
		}
		for i := range used {
			if want := total * float64(weights[i]) / sum; math.Abs(used[i]-want) > 6+want*0.02+turn*float64(weights[i])/sum {
				t.Fatalf("team %d used %.1f, want %.1f", i, used[i], want)
			}
		}
	})
}

// A team that was idle for long must not be served alone until it has caught up with the others, only
// for what its share earns in creditTime.
func TestIdleTeamGetsBoundedCredit(t *testing.T) {
	is := is.New(t)
	l := New()
	waiting := make([][]Handle, 2)
	now := start
	fill := func(i int) {
		for len(waiting[i]) < 5 {
			waiting[i] = append(waiting[i], l.Join(fmt.Sprint(i), 0, DefaultWeight))
		}
	}
	one := func(int) float64 { return 1 }
	for range 6000 { // a minute with 100 requests per second
		now = now.Add(10 * time.Millisecond)
		fill(0)
		serve(l, now, waiting, one)
	}
	served := [2]int{}
	for range 1500 {
		now = now.Add(10 * time.Millisecond)
		fill(0)
		fill(1)
		served[serve(l, now, waiting, one)]++
	}
	is.True(served[1] > 750)
	is.True(served[1] <= 750+int(100*creditTime.Seconds()))
}

// Requests that are refused, withdrawn, or sent but not run must cost their team nothing, or callers
// that give up would have their team served last.
func TestOnlyServedRequestsAreCharged(t *testing.T) {
	is := is.New(t)
	l := New()
	other := l.Join("other", 0, DefaultWeight)
	for range 100 {
		l.Leave(l.Join("a", 0, DefaultWeight))
		h := l.Join("a", 0, DefaultWeight)
		l.End(start, h, l.Dispatch(start, h, 1), 0)
	}
	h := l.Join("a", 0, DefaultWeight)
	is.True(math.Abs(l.accounts[h].tag-l.accounts[other].tag) < 1e-9)
}

// One request that uses a hundred times as much as others must not keep its team from being served for
// longer than maxLeadTime, nor any other team.
func TestExpensiveRequestDelaysItsTeamForAWhile(t *testing.T) {
	is := is.New(t)
	l := New()
	waiting := make([][]Handle, 10)
	now, expensive := start, false
	last := make([]time.Time, 10)
	longest := make([]time.Duration, 10)
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		for i := range waiting {
			for len(waiting[i]) < 3 {
				waiting[i] = append(waiting[i], l.Join(fmt.Sprint(i), 0, DefaultWeight))
			}
		}
		i := serve(l, now, waiting, func(team int) float64 {
			if team == 0 && !expensive && now.Sub(start) > 20*time.Second {
				expensive = true
				return 100
			}
			return 1
		})
		if !last[i].IsZero() {
			longest[i] = max(longest[i], now.Sub(last[i]))
		}
		last[i] = now
	}
	is.True(expensive)
	is.True(longest[0] > time.Second) // it is charged
	is.True(longest[0] <= maxLeadTime+creditTime+500*time.Millisecond)
	for i := 1; i < 10; i++ {
		is.True(longest[i] <= 2*turnTime) // two turns in which it is served first, then last
	}
}

// Ranks must not affect each other: a team that is served much in the highest rank would otherwise be
// served last in the lower ones.
func TestRanksHaveSeparateAccounts(t *testing.T) {
	is := is.New(t)
	l := New()
	for range 100 {
		h := l.Join("a", 0, DefaultWeight)
		l.End(start, h, l.Dispatch(start, h, 1), 1)
	}
	is.Equal(l.Turn(l.Join("a", 1, DefaultWeight)), l.Turn(l.Join("b", 1, DefaultWeight)))
}

// Ahead must agree with the order in which requests are then served, apart from the order within a turn.
func TestAheadAgreesWithService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		n := rapid.IntRange(2, 8).Draw(t, "teams")
		waiting, now := make([][]Handle, n), start
		join := func(i, k int) {
			for range k {
				waiting[i] = append(waiting[i], l.Join(fmt.Sprint(i), 1, 10*(1+i%3)))
			}
		}
		one := func(int) float64 { return 1 }
		for range 30 {
			now = now.Add(10 * time.Millisecond)
			join(rapid.IntRange(0, n-1).Draw(t, "team"), 2)
			serve(l, now, waiting, one)
		}
		who := rapid.IntRange(0, n-1).Draw(t, "who")
		own := len(waiting[who])
		join(who, 1)
		l.ResetCounts()
		for i := range waiting {
			if i == who {
				continue
			}
			for _, h := range waiting[i] {
				l.Count(h)
			}
		}
		want := l.Ahead(waiting[who][0], own)
		others, servedOwn := 0, 0
		for servedOwn <= own {
			if serveLowest(l, now, waiting, one, func(h Handle) float64 { return l.accounts[h].tag }) == who {
				servedOwn++
				continue
			}
			others++
		}
		if d := others - want; d < -n || d > n { // equal tags may be served in either order
			t.Fatalf("%d requests of other teams were served before, want %d", others, want)
		}
	})
}

// Teams that come and go must not use memory without bound, and beyond the bound all requests must
// still be accounted for.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	l := New()
	l.limit = 100
	var held []Handle
	for i := range 300 {
		h := l.Join(fmt.Sprint("idle", i), i%3, DefaultWeight)
		l.End(start, h, l.Dispatch(start, h, 1), 1)
	}
	is.True(l.Len() <= 100+Ranks)
	for i := range 300 {
		held = append(held, l.Join(fmt.Sprint("waiting", i), i%3, DefaultWeight))
	}
	is.True(l.Len() <= 100+Ranks)
	for _, h := range held {
		l.Leave(h)
	}
	for i := range 300 { // later, and with more use than that of the idle teams
		for rank := range 3 {
			now := start.Add(time.Duration(i) * time.Second)
			h := l.Join("last", rank, DefaultWeight)
			l.End(now, h, l.Dispatch(now, h, 1), 1)
		}
	}
	is.True(l.Len() <= 3)
	is.True(len(l.accounts) <= 100+Ranks)
}

// The busiest teams shown to operators must be those that used most, and no more than asked for.
func TestBusiestTeams(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range 20 {
		h := l.Join(fmt.Sprint(i), 0, DefaultWeight)
		l.Dispatch(start, h, float64(i))
	}
	got := l.Busiest(start, 3, nil)
	is.Equal(len(got), 3)
	is.Equal(got[0].Team, "19")
	is.True(math.Abs(got[0].Used-19.0/190) < 1e-9)
	is.True(math.Abs(got[0].Due-0.05) < 1e-9)
}

// benchmarkLedger returns a ledger with 29,000 known teams, 15 of them with two waiting requests.
func benchmarkLedger() (l *Ledger, waiting [][]Handle) {
	l = New()
	for i := range 29_000 {
		h := l.Join(fmt.Sprint("team-", i), 1, DefaultWeight)
		l.End(start, h, l.Dispatch(start, h, 1), 1)
	}
	for i := range 15 {
		waiting = append(waiting, []Handle{l.Join(fmt.Sprint("team-", i), 1, DefaultWeight), l.Join(fmt.Sprint("team-", i), 1, DefaultWeight)})
	}
	return l, waiting
}

// One decision: a request joins, those ahead of it are counted, the lowest tag is found, dispatched and
// settled.
func BenchmarkDecision(b *testing.B) {
	l, waiting := benchmarkLedger()
	b.ReportMetric(float64(l.Len()), "accounts")
	b.ReportAllocs()
	for b.Loop() {
		h := l.Join("team-7", 1, DefaultWeight)
		l.ResetCounts()
		for _, w := range waiting {
			l.Count(w[0])
			l.Count(w[1])
		}
		if l.Ahead(h, 2) < 0 {
			b.Fatal("negative count")
		}
		l.End(start, h, l.Dispatch(start, h, 1), 1)
	}
}

// BenchmarkMemory reports the bytes of an account at the bound.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := New()
		for i := range MaxAccounts {
			l.Join(fmt.Sprint("team-", i), 1, DefaultWeight)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(l)
	}
}
