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

func TestMain(m *testing.M) { testkit.RunWithFixedSeed(m) }

func TestSplit(t *testing.T) {
	demand := func(slots int, running, waiting []int) Demand {
		return Demand{Slots: slots, Running: running, Waiting: waiting}
	}
	tests := []struct {
		name        string
		demands     []Demand
		unreachable int
		want        []float64
	}{
		{"alone", []Demand{demand(100, nil, nil)}, 0, []float64{1}},
		{"all idle", []Demand{demand(100, nil, nil), demand(100, nil, nil)}, 0, []float64{0.5, 0.5}},
		{"one busy", []Demand{demand(100, nil, []int{500}), demand(100, nil, nil)}, 0, []float64{0.95, 0.05}},
		{"higher tier first", []Demand{demand(100, nil, []int{0, 500}), demand(100, nil, []int{60, 500})}, 0, []float64{0.224, 0.776}},
		{"running requests of another daemon are not given away", []Demand{demand(100, []int{80}, nil), demand(100, nil, []int{0, 500})}, 0, []float64{0.80, 0.20}},
		{"running excess is withheld", []Demand{demand(100, []int{0, 90}, []int{0, 9}), demand(100, nil, []int{500})}, 0, []float64{0.05, 0.10}},
		{"minority keeps to its share", []Demand{demand(100, nil, []int{500})}, 3, []float64{0.25}},
		{"majority takes all", []Demand{demand(100, nil, nil), demand(100, nil, nil)}, 1, []float64{0.5, 0.5}},
		{"windows unknown", []Demand{demand(0, nil, []int{3}), demand(0, nil, nil)}, 0, []float64{0.95, 0.05}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Split(tt.demands, tt.unreachable)
			for i := range got {
				if math.Abs(got[i]-tt.want[i]) > 0.005 {
					t.Fatalf("got %.3f, want %.3f", got, tt.want)
				}
			}
		})
	}
}

// For any demands, the shares sum to at most the window, each daemon keeps its floor, and
// waiting higher-tier demand is served before lower-tier demand elsewhere gets more than
// its floor.
func TestSplitInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "daemons")
		demands := make([]Demand, n)
		counts := rapid.SliceOfN(rapid.IntRange(-1, 60), 3, 3)
		for i := range demands {
			demands[i] = Demand{Slots: 100, Running: counts.Draw(rt, "running"), Waiting: counts.Draw(rt, "waiting")}
		}
		shares := Split(demands, 0)
		sum := 0.0
		for i, share := range shares {
			sum += share
			if share < FloorFraction/float64(n)-1e-9 {
				rt.Fatalf("daemon %d got %f, below its floor", i, share)
			}
		}
		if sum > 1+1e-9 {
			rt.Fatalf("shares sum to %f", sum)
		}
		unmet := false // whether some top-tier demand is not met
		for i, share := range shares {
			unmet = unmet || 100*share+1e-6 < float64(max(0, demands[i].Running[0])+max(0, demands[i].Waiting[0]))
		}
		for i, share := range shares {
			top := float64(max(0, demands[i].Running[0]) + max(0, demands[i].Waiting[0]))
			if unmet && 100*share > max(top, float64(demands[i].totalRunning()), 100*FloorFraction/float64(n))+1e-6 && sum > 1-1e-6 {
				rt.Fatalf("daemon %d got %f for lower-tier demand while top-tier demand elsewhere is unmet", i, share)
			}
		}
	})
}

// Daemons lend and borrow with slow and lost answers and with clocks that differ slightly
// in rate. The shares in use by all daemons must never sum to more than the window. The
// computed shares are constant, so that only loans matter.
func TestLoansNeverExceedTheWindow(t *testing.T) {
	const n = 4
	type loan struct {
		to     int
		asked  time.Time
		amount float64
		due    time.Time
	}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		var ledgers [n]Ledger
		var drift [n]float64
		for i := range ledgers {
			ledgers[i].Reset(1.0 / n)
			drift[i] = rapid.Float64Range(0.96, 1.04).Draw(rt, "drift")
		}
		local := func(i int) time.Time {
			return time.Unix(0, int64(float64(now.UnixNano())*drift[i]))
		}
		var loans []loan
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
				got := ledgers[from].Lend(local(from), rapid.Float64Range(0, 1).Draw(rt, "wanted"), used, n)
				if !rapid.Bool().Draw(rt, "answer is lost") {
					due := now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "way back")) * time.Millisecond)
					loans = append(loans, loan{to, asked, got, due})
				}
			},
			"answers arrive": func(*rapid.T) {
				pending := loans[:0]
				for _, loan := range loans {
					if now.Before(loan.due) {
						pending = append(pending, loan)
						continue
					}
					ledgers[loan.to].Borrow(loan.asked, local(loan.to), loan.amount)
				}
				loans = pending
			},
			"": func(rt *rapid.T) {
				sum := 0.0
				for i := range ledgers {
					sum += ledgers[i].InUse(local(i))
				}
				if sum > 1+1e-9 {
					rt.Fatalf("shares in use sum to %f", sum)
				}
			},
		})
	})
}

// An increased share is used only after it has lasted for increaseDelay; a decreased share
// is used at once.
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

// BenchmarkSplit measures one exchange for one pool.
func BenchmarkSplit(b *testing.B) {
	for _, n := range []int{9, 12, 370} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			demands := make([]Demand, n)
			for i := range demands {
				demands[i] = Demand{Slots: 96, Running: []int{i, 1, 2}, Waiting: []int{1, i, 3}}
			}
			for b.Loop() {
				Split(demands, 0)
			}
		})
	}
}
