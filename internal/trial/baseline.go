package trial

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// baselineQueueLimit is the maximum queue length of the least policy in one daemon.
	baselineQueueLimit = 100
	// baselineTargetLimit is how many requests of one daemon the least policy allows at
	// a target: twice the daemon's even share of a batch, because operators set such
	// limits high enough to avoid idle targets.
	baselineTargetLimit = (2*maxBatch + daemons - 1) / daemons
)

// baseline is a plain gateway: a FIFO queue without tiers or deadlines.
type baseline struct {
	targets  []string
	inFlight map[string]int
	queue    []*fireflypath.Work
	// targetLimit bounds a target's requests in flight, queueLimit the queue; 0 means
	// no limit.
	targetLimit, queueLimit int
	next                    int
	runningTokens           int
}

func newRoundRobin(seed uint64, _ int, targets []fireflypath.Target) fireflypath.Scheduler {
	b := newBaseline(targets)
	b.next = int(seed % uint64(len(targets)))
	return b
}

func newLeast(seed uint64, _ int, targets []fireflypath.Target) fireflypath.Scheduler {
	b := newBaseline(targets)
	b.targetLimit, b.queueLimit = baselineTargetLimit, baselineQueueLimit
	b.next = int(seed % uint64(len(targets)))
	return b
}

func newBaseline(targets []fireflypath.Target) *baseline {
	b := &baseline{inFlight: make(map[string]int)}
	for _, t := range targets {
		b.targets = append(b.targets, t.Name)
	}
	return b
}

func (b *baseline) Offer(_ time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	if b.queueLimit > 0 && len(b.queue) >= b.queueLimit {
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
	b.inFlight[t]++
	b.runningTokens += w.Cost.Tokens()
	p.Work, p.Target, p.Waited = w, t, now.Sub(w.Arrived)
	return true
}

// choose returns the next target in round-robin order, or with a limit the target below
// it with the fewest requests in flight, ties broken in round-robin order.
func (b *baseline) choose() (string, bool) {
	n := len(b.targets)
	best := ""
	for i := range n {
		t := b.targets[(b.next+i)%n]
		if b.targetLimit == 0 {
			b.next++
			return t, true
		}
		if b.inFlight[t] < b.targetLimit && (best == "" || b.inFlight[t] < b.inFlight[best]) {
			best = t
		}
	}
	b.next++
	return best, best != ""
}

func (b *baseline) Withdraw(time.Time, *fireflypath.Work) bool { return false }

func (b *baseline) Expire(_ time.Time, out []fireflypath.Shed) []fireflypath.Shed { return out }

func (b *baseline) Wake(time.Time) time.Time { return time.Time{} }

func (b *baseline) Observe(_ time.Time, e fireflypath.Event) {
	if e.Kind == fireflypath.EventDone {
		b.inFlight[e.Target]--
		b.runningTokens -= e.Work.Cost.Tokens()
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
