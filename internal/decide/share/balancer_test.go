package share

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The simulated fleet: nine daemons in front of twelve engines with eight slots each,
// requests that take 0.4 to 1.6 s, and a load balancer that sends slightly more than the
// engines' capacity to one daemon.
const (
	daemons  = 9
	slots    = 96
	step     = 10 * time.Millisecond
	duration = 60 * time.Second
	// Each daemon broadcasts its demand once a second, at its own phase.
	exchangeInterval = time.Second
	requestRate      = 1.1 * slots // requests a second
	seed             = 7
)

type job struct{ until time.Time }

// simDaemon is a simulated daemon.
type simDaemon struct {
	ledger    Ledger
	waiting   int
	running   []job
	demands   [daemons]Demand
	lastAsked time.Time
}

func (d *simDaemon) demand(i int) Demand {
	return Demand{Name: fmt.Sprint(i), Slots: slots, Running: []int{len(d.running)}, Waiting: []int{d.waiting}}
}

// outcome is the result of a policy.
type outcome struct {
	// meanOver and maxOver count requests above the window; meanIdle is the mean number of
	// idle slots while requests wait; completed counts requests.
	meanOver, maxOver, meanIdle float64
	completed                   int
}

// policy decides the share that a daemon uses.
type policy struct {
	name      string
	share     func(d *simDaemon, now time.Time) float64
	exchanges bool
	borrows   bool
}

func policies() []policy {
	inUse := func(d *simDaemon, now time.Time) float64 { return d.ledger.InUse(now) }
	return []policy{
		{name: "static split", share: func(*simDaemon, time.Time) float64 { return 1.0 / daemons }},
		{name: "independent windows", share: func(*simDaemon, time.Time) float64 { return 1 }},
		{name: "shares", share: inUse, exchanges: true},
		{name: "shares and borrowing", share: inUse, exchanges: true, borrows: true},
	}
}

// simulate runs one load pattern: loaded returns the daemon that gets the load at a time.
func simulate(p policy, loaded func(time.Duration) int) outcome {
	rnd := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(0, 0)
	var ds [daemons]*simDaemon
	for i := range ds {
		ds[i] = &simDaemon{}
		ds[i].ledger.Reset(1.0 / daemons)
	}
	var out outcome
	arrivals, steps, backlogSteps := 0.0, 0, 0
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		arrivals += requestRate * step.Seconds()
		for ; arrivals >= 1; arrivals-- {
			ds[loaded(at)].waiting++
		}
		for i, d := range ds {
			d.finish(now, &out)
			if p.exchanges && (at+11*step*time.Duration(i))%exchangeInterval == 0 {
				broadcast(ds[:], i, now)
			}
			if p.borrows {
				d.borrow(ds[:], i, now)
			}
			d.dispatch(now, p.share(d, now), rnd)
		}
		total, waiting := 0, 0
		for _, d := range ds {
			total += len(d.running)
			waiting += d.waiting
		}
		steps++
		over := max(0, float64(total-slots))
		out.meanOver += over
		out.maxOver = max(out.maxOver, over)
		if waiting > 0 {
			backlogSteps++
			out.meanIdle += float64(max(0, slots-total))
		}
	}
	out.meanOver /= float64(steps)
	out.meanIdle /= float64(max(1, backlogSteps))
	return out
}

func (d *simDaemon) finish(now time.Time, out *outcome) {
	running := d.running[:0]
	for _, j := range d.running {
		if now.Before(j.until) {
			running = append(running, j)
		} else {
			out.completed++
		}
	}
	d.running = running
}

func (d *simDaemon) dispatch(now time.Time, share float64, rnd *rand.Rand) {
	for d.waiting > 0 && float64(len(d.running)) < float64(int(share*slots+0.5)) {
		d.waiting--
		runTime := 400*time.Millisecond + time.Duration(rnd.Int64N(int64(1200*time.Millisecond)))
		d.running = append(d.running, job{now.Add(runTime)})
	}
}

// broadcast sends a daemon's demand to all, and each computes its share again.
func broadcast(ds []*simDaemon, i int, now time.Time) {
	demand := ds[i].demand(i)
	for j, d := range ds {
		d.demands[i] = demand
		d.ledger.Update(now, Split(d.demands[:], 0)[j])
	}
}

// borrow asks the three most idle daemons, at most once a second.
func (d *simDaemon) borrow(ds []*simDaemon, self int, now time.Time) {
	use := d.ledger.InUse(now)
	if d.waiting == 0 || float64(len(d.running)) < use*slots-1 || now.Sub(d.lastAsked) < time.Second {
		return
	}
	d.lastAsked = now
	var idle []*simDaemon
	for j, other := range ds {
		if j != self {
			idle = append(idle, other)
		}
	}
	free := func(other *simDaemon) float64 {
		return other.ledger.InUse(now)*slots - float64(len(other.running)+other.waiting)
	}
	slices.SortStableFunc(idle, func(a, b *simDaemon) int { return cmp.Compare(free(b), free(a)) })
	wanted := min(1-use, float64(d.waiting)/slots) / 3
	for _, other := range idle[:3] {
		got := other.ledger.Lend(now, wanted, float64(len(other.running)+other.waiting)/slots, daemons)
		d.ledger.Borrow(now, now, got)
	}
}

// An uneven load balancer sends all requests to one daemon, or to another one every five
// seconds. With a static split, callers wait while engines are idle; with independent
// windows, the daemons overfill the engines. Shares must avoid both, except for the time
// of an exchange.
func TestUnevenBalancer(t *testing.T) {
	patterns := []struct {
		name   string
		loaded func(time.Duration) int
		// Limits for shares with borrowing, in slots of 96.
		over, most, idle float64
	}{
		{"all on one", func(time.Duration) int { return 3 }, 0, 0, 6},
		{"moving every 5 s", func(at time.Duration) int { return int(at/(5*time.Second)) * 4 % daemons }, 0, 0, 13.5},
	}
	for _, pattern := range patterns {
		t.Run(pattern.name, func(t *testing.T) {
			is := is.New(t)
			outcomes := map[string]outcome{}
			for _, p := range policies() {
				out := simulate(p, pattern.loaded)
				outcomes[p.name] = out
				t.Logf("%-21s above the window: mean %5.2f most %3.0f; idle while work waits: %5.1f of %d; done %d",
					p.name, out.meanOver, out.maxOver, out.meanIdle, slots, out.completed)
			}
			out := outcomes["shares and borrowing"]
			is.True(out.meanOver <= pattern.over)
			is.True(out.maxOver <= pattern.most)
			is.True(out.meanIdle <= pattern.idle)
			is.True(out.completed > outcomes["static split"].completed)
		})
	}
}
