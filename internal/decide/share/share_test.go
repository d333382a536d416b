package share

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Seeded(m) }

func TestSplit(t *testing.T) {
	line := func(slots int, running, waiting []int) Demand {
		return Demand{Slots: slots, Running: running, Waiting: waiting}
	}
	tests := []struct {
		name    string
		lines   []Demand
		missing int
		want    []float64
	}{
		{"alone", []Demand{line(100, nil, nil)}, 0, []float64{1}},
		{"all idle", []Demand{line(100, nil, nil), line(100, nil, nil)}, 0, []float64{0.5, 0.5}},
		{"one busy", []Demand{line(100, nil, []int{500}), line(100, nil, nil)}, 0, []float64{0.95, 0.05}},
		{"higher tier first", []Demand{line(100, nil, []int{0, 500}), line(100, nil, []int{60, 500})}, 0, []float64{0.224, 0.776}},
		{"running work of another is not given away", []Demand{line(100, []int{80}, nil), line(100, nil, []int{0, 500})}, 0, []float64{0.80, 0.20}},
		{"running excess is withheld", []Demand{line(100, []int{0, 90}, []int{0, 9}), line(100, nil, []int{500})}, 0, []float64{0.05, 0.10}},
		{"minority keeps to its part", []Demand{line(100, nil, []int{500})}, 3, []float64{0.25}},
		{"majority takes all", []Demand{line(100, nil, nil), line(100, nil, nil)}, 1, []float64{0.5, 0.5}},
		{"windows not known", []Demand{line(0, nil, []int{3}), line(0, nil, nil)}, 0, []float64{0.95, 0.05}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Split(tt.lines, tt.missing)
			for i := range got {
				if math.Abs(got[i]-tt.want[i]) > 0.005 {
					t.Fatalf("got %.3f, want %.3f", got, tt.want)
				}
			}
		})
	}
}

// Whatever the lines say: the parts never sum to more than the window, every
// daemon keeps its floor, and higher-tier work that waits is not left out while
// lower-tier work elsewhere gets more than its floor.
func TestSplitInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "daemons")
		lines := make([]Demand, n)
		counts := rapid.SliceOfN(rapid.IntRange(-1, 60), 3, 3)
		for i := range lines {
			lines[i] = Demand{Slots: 100, Running: counts.Draw(rt, "running"), Waiting: counts.Draw(rt, "waiting")}
		}
		parts := Split(lines, 0)
		sum := 0.0
		for i, p := range parts {
			sum += p
			if p < FloorFraction/float64(n)-1e-9 {
				rt.Fatalf("daemon %d got %f, below its floor", i, p)
			}
		}
		if sum > 1+1e-9 {
			rt.Fatalf("parts sum to %f", sum)
		}
		short := false // top-tier demand that is not met
		for i, p := range parts {
			short = short || 100*p+1e-6 < float64(max(0, lines[i].Running[0])+max(0, lines[i].Waiting[0]))
		}
		for i, p := range parts {
			top := float64(max(0, lines[i].Running[0]) + max(0, lines[i].Waiting[0]))
			if short && 100*p > max(top, float64(lines[i].totalRunning()), 100*FloorFraction/float64(n))+1e-6 && sum > 1-1e-6 {
				rt.Fatalf("daemon %d got %f for lower work while top work elsewhere is short", i, p)
			}
		}
	})
}

// Daemons lend and borrow with slow and lost answers, deaths, and clocks that
// run a little unlike. At no moment may the parts in use by all daemons sum to
// more than the window. The parts themselves stay, so that only loans count.
func TestLoansNeverExceedTheWindow(t *testing.T) {
	const n = 4
	type answer struct {
		to     int
		asked  time.Time
		amount float64
		due    time.Time
	}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		var ls [n]Ledger
		var drift [n]float64
		for i := range ls {
			ls[i].Reset(1.0 / n)
			drift[i] = rapid.Float64Range(0.96, 1.04).Draw(rt, "drift")
		}
		local := func(i int) time.Time {
			return time.Unix(0, int64(float64(now.UnixNano())*drift[i]))
		}
		var answers []answer
		daemon := rapid.IntRange(0, n-1)
		rt.Repeat(map[string]func(*rapid.T){
			"time passes": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			},
			"ask": func(rt *rapid.T) {
				from, to := daemon.Draw(rt, "lender"), daemon.Draw(rt, "borrower")
				if from == to {
					return
				}
				asked := local(to)
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "way there")) * time.Millisecond)
				used := rapid.Float64Range(0, 0.3).Draw(rt, "used")
				got := ls[from].Lend(local(from), rapid.Float64Range(0, 1).Draw(rt, "wanted"), used, n)
				if !rapid.Bool().Draw(rt, "answer is lost") {
					due := now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "way back")) * time.Millisecond)
					answers = append(answers, answer{to, asked, got, due})
				}
			},
			"answers arrive": func(*rapid.T) {
				rest := answers[:0]
				for _, a := range answers {
					if now.Before(a.due) {
						rest = append(rest, a)
						continue
					}
					ls[a.to].Borrow(a.asked, local(a.to), a.amount)
				}
				answers = rest
			},
			"": func(rt *rapid.T) {
				sum := 0.0
				for i := range ls {
					sum += ls[i].InUse(local(i))
				}
				if sum > 1+1e-9 {
					rt.Fatalf("parts in use sum to %f", sum)
				}
			},
		})
	})
}

// A part that grows is used only after it has stood for a while; one that
// shrinks is used at once.
func TestIncreasedShareIsDelayed(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := time.Unix(0, 0)
	l.Reset(0.2)
	l.Update(now, 0.8)
	is.Equal(l.InUse(now), 0.2)
	is.Equal(l.NextChange(), now.Add(increaseDelay))
	is.Equal(l.InUse(now.Add(increaseDelay)), 0.8)
	l.Update(now.Add(increaseDelay), 0.1)
	is.Equal(l.InUse(now.Add(increaseDelay)), 0.1)
}

// BenchmarkSplit is the cost of one exchange for one pool.
func BenchmarkSplit(b *testing.B) {
	for _, n := range []int{9, 12, 370} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lines := make([]Demand, n)
			for i := range lines {
				lines[i] = Demand{Slots: 96, Running: []int{i, 1, 2}, Waiting: []int{1, i, 3}}
			}
			for b.Loop() {
				Split(lines, 0)
			}
		})
	}
}
