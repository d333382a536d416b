package trial

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// bounded is the queue of the least policy at one daemon, in requests.
	bounded = 100
	// concurrent is how many requests of one daemon the least policy lets a
	// target hold: twice its even part of a batch, as operators set such limits
	// to be safe from idle targets.
	concurrent = (2*batch + daemons - 1) / daemons
)

// baseline is a plain gateway: first-in first-out, no tiers, no deadlines.
type baseline struct {
	targets []string
	held    map[string]int
	queue   []*fireflypath.Work
	// limit bounds a target's requests, size the queue; 0 means no bound.
	limit, size int
	turn        int
	running     int
}

func newRoundRobin(seed uint64, _ int, targets []fireflypath.Target) fireflypath.Scheduler {
	b := newBaseline(targets)
	b.turn = int(seed % uint64(len(targets)))
	return b
}

func newLeast(seed uint64, _ int, targets []fireflypath.Target) fireflypath.Scheduler {
	b := newBaseline(targets)
	b.limit, b.size = concurrent, bounded
	b.turn = int(seed % uint64(len(targets)))
	return b
}

func newBaseline(targets []fireflypath.Target) *baseline {
	b := &baseline{held: make(map[string]int)}
	for _, t := range targets {
		b.targets = append(b.targets, t.Name)
	}
	return b
}

func (b *baseline) Offer(_ time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	if b.size > 0 && len(b.queue) >= b.size {
		return append(out, fireflypath.Shed{Work: w, Reason: fireflypath.ReasonFull, RetryAfter: time.Second})
	}
	b.queue = append(b.queue, w)
	return out
}

func (b *baseline) Next(now time.Time, p *fireflypath.Placement) bool {
	if len(b.queue) == 0 {
		return false
	}
	t, ok := b.choose()
	if !ok {
		return false
	}
	w := b.queue[0]
	b.queue = b.queue[1:]
	b.held[t]++
	b.running += w.Cost.Tokens()
	p.Work, p.Target, p.Waited = w, t, now.Sub(w.Arrived)
	return true
}

// choose takes the next target, or with a limit the one with the least work,
// from the next one on.
func (b *baseline) choose() (string, bool) {
	n := len(b.targets)
	best := ""
	for i := range n {
		t := b.targets[(b.turn+i)%n]
		if b.limit == 0 {
			b.turn++
			return t, true
		}
		if b.held[t] < b.limit && (best == "" || b.held[t] < b.held[best]) {
			best = t
		}
	}
	b.turn++
	return best, best != ""
}

func (b *baseline) Withdraw(time.Time, *fireflypath.Work) bool { return false }

func (b *baseline) Expire(_ time.Time, out []fireflypath.Shed) []fireflypath.Shed { return out }

func (b *baseline) Wake(time.Time) time.Time { return time.Time{} }

func (b *baseline) Observe(_ time.Time, e fireflypath.Event) {
	if e.Kind == fireflypath.EventDone {
		b.held[e.Target]--
		b.running -= e.Work.Cost.Tokens()
	}
}

func (b *baseline) SetTargets(time.Time, []fireflypath.Target) {}

func (b *baseline) SetShare(time.Time, fireflypath.Share) {}

func (b *baseline) Demand(time.Time) fireflypath.Demand {
	d := fireflypath.Demand{Waiting: make([]int, 3), Running: make([]int, 3), WaitingRequests: make([]int, 3)}
	for _, w := range b.queue {
		d.Waiting[w.Rank] += w.Cost.Tokens()
		d.WaitingRequests[w.Rank]++
	}
	return d
}

func (b *baseline) Relieve(_ time.Time, _, _ int, out []fireflypath.Shed) []fireflypath.Shed {
	return out
}

func (b *baseline) Views(_ time.Time, out []fireflypath.TargetView) []fireflypath.TargetView {
	return out
}
