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

// The model of the tests below: nine daemons before twelve engines with eight
// places each, requests that take 0.4 to 1.6 s, and a balancer that sends a
// little more than the engines can do to one daemon.
const (
	daemons  = 9
	slots    = 96
	step     = 10 * time.Millisecond
	duration = 60 * time.Second
	// exchangeInterval daemon sends its line once a second, each at its own time.
	exchangeInterval = time.Second
	requestRate      = 1.1 * slots // requests a second
	seed             = 7
)

type job struct{ until time.Time }

// simDaemon is one daemon of the model.
type simDaemon struct {
	ledger    Ledger
	waiting   int
	running   []job
	demands   [daemons]Demand
	lastAsked time.Time
}

func (n *simDaemon) demand(i int) Demand {
	return Demand{Name: fmt.Sprint(i), Slots: slots, Running: []int{len(n.running)}, Waiting: []int{n.waiting}}
}

// outcome is what a policy gave.
type outcome struct {
	// meanOver is the mean and most of requests above the window; idle is the mean
	// number of free places while work waited; done counts requests.
	meanOver, maxOver, meanIdle float64
	completed                   int
}

// policy decides the part a daemon uses.
type policy struct {
	name      string
	share     func(n *simDaemon, now time.Time) float64
	exchanges bool
	borrows   bool
}

func policies() []policy {
	inUse := func(n *simDaemon, now time.Time) float64 { return n.ledger.InUse(now) }
	return []policy{
		{name: "static split", share: func(*simDaemon, time.Time) float64 { return 1.0 / daemons }},
		{name: "independent windows", share: func(*simDaemon, time.Time) float64 { return 1 }},
		{name: "shares", share: inUse, exchanges: true},
		{name: "shares and borrowing", share: inUse, exchanges: true, borrows: true},
	}
}

// simulate plays one pattern: which daemon gets the load at a time.
func simulate(p policy, busy func(time.Duration) int) outcome {
	rnd := rand.New(rand.NewPCG(seed, seed))
	start := time.Unix(0, 0)
	var ns [daemons]*simDaemon
	for i := range ns {
		ns[i] = &simDaemon{}
		ns[i].ledger.Reset(1.0 / daemons)
	}
	var o outcome
	arrived, steps, pressed := 0.0, 0, 0
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		arrived += requestRate * step.Seconds()
		for ; arrived >= 1; arrived-- {
			ns[busy(at)].waiting++
		}
		for i, n := range ns {
			n.finish(now, &o)
			if p.exchanges && (at+11*step*time.Duration(i))%exchangeInterval == 0 {
				broadcast(ns[:], i, now)
			}
			if p.borrows {
				n.borrow(ns[:], i, now)
			}
			n.dispatch(now, p.share(n, now), rnd)
		}
		total, waiting := 0, 0
		for _, n := range ns {
			total += len(n.running)
			waiting += n.waiting
		}
		steps++
		over := max(0, float64(total-slots))
		o.meanOver += over
		o.maxOver = max(o.maxOver, over)
		if waiting > 0 {
			pressed++
			o.meanIdle += float64(max(0, slots-total))
		}
	}
	o.meanOver /= float64(steps)
	o.meanIdle /= float64(max(1, pressed))
	return o
}

func (n *simDaemon) finish(now time.Time, o *outcome) {
	kept := n.running[:0]
	for _, j := range n.running {
		if now.Before(j.until) {
			kept = append(kept, j)
		} else {
			o.completed++
		}
	}
	n.running = kept
}

func (n *simDaemon) dispatch(now time.Time, part float64, rnd *rand.Rand) {
	for n.waiting > 0 && float64(len(n.running)) < float64(int(part*slots+0.5)) {
		n.waiting--
		d := 400*time.Millisecond + time.Duration(rnd.Int64N(int64(1200*time.Millisecond)))
		n.running = append(n.running, job{now.Add(d)})
	}
}

// broadcast brings a daemon's line to all, and each computes its part again.
func broadcast(ns []*simDaemon, i int, now time.Time) {
	l := ns[i].demand(i)
	for j, n := range ns {
		n.demands[i] = l
		n.ledger.Update(now, Split(n.demands[:], 0)[j])
	}
}

// borrow asks the three idlest others at once, at most once a second.
func (n *simDaemon) borrow(ns []*simDaemon, self int, now time.Time) {
	use := n.ledger.InUse(now)
	if n.waiting == 0 || float64(len(n.running)) < use*slots-1 || now.Sub(n.lastAsked) < time.Second {
		return
	}
	n.lastAsked = now
	var idle []*simDaemon
	for j, o := range ns {
		if j != self {
			idle = append(idle, o)
		}
	}
	free := func(o *simDaemon) float64 { return o.ledger.InUse(now)*slots - float64(len(o.running)+o.waiting) }
	slices.SortStableFunc(idle, func(a, b *simDaemon) int { return cmp.Compare(free(b), free(a)) })
	wanted := min(1-use, float64(n.waiting)/slots) / 3
	for _, o := range idle[:3] {
		got := o.ledger.Lend(now, wanted, float64(len(o.running)+o.waiting)/slots, daemons)
		n.ledger.Borrow(now, now, got)
	}
}

// An uneven balancer sends all work to one daemon, or to another one every five
// seconds. With a static split the callers wait before idle engines; with
// windows of their own the daemons overfill the engines. Shares must do neither
// for longer than an exchange.
func TestUnevenBalancer(t *testing.T) {
	patterns := []struct {
		name string
		busy func(time.Duration) int
		// bounds for shares with borrowing, in places of 96.
		over, most, idle float64
	}{
		{"all on one", func(time.Duration) int { return 3 }, 0, 0, 6},
		{"moving every 5 s", func(at time.Duration) int { return int(at/(5*time.Second)) * 4 % daemons }, 0, 0, 13.5},
	}
	for _, pt := range patterns {
		t.Run(pt.name, func(t *testing.T) {
			is := is.New(t)
			got := map[string]outcome{}
			for _, p := range policies() {
				o := simulate(p, pt.busy)
				got[p.name] = o
				t.Logf("%-21s above the window: mean %5.2f most %3.0f; idle while work waits: %5.1f of %d; done %d",
					p.name, o.meanOver, o.maxOver, o.meanIdle, slots, o.completed)
			}
			o := got["shares and borrowing"]
			is.True(o.meanOver <= pt.over)
			is.True(o.maxOver <= pt.most)
			is.True(o.meanIdle <= pt.idle)
			is.True(o.completed > got["static split"].completed)
		})
	}
}
