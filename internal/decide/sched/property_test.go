package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
)

// model drives a Scheduler as its owner does and tracks the expected state.
type model struct {
	scheduler *Scheduler
	now       time.Time
	seq       int
	waiting   map[*fireflypath.Work]bool
	// awaitingRelief holds work that waits for the end of a relief round.
	awaitingRelief map[*fireflypath.Work]bool
	inFlight       map[*fireflypath.Work]string
	offered        []*fireflypath.Work
}

const modelMaxRequests = 20

func newModel(targets int) *model {
	cfg := Config{Pool: fireflypath.Pool{Name: "llm", Requests: modelMaxRequests}, LowestRank: 2, Seed: 3}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: fmt.Sprint("m", i), Pool: "llm"})
	}
	return &model{
		scheduler: New(cfg), now: startTime,
		waiting:        make(map[*fireflypath.Work]bool),
		awaitingRelief: make(map[*fireflypath.Work]bool),
		inFlight:       make(map[*fireflypath.Work]string),
	}
}

func (m *model) offer(t *rapid.T) {
	m.seq++
	w := &fireflypath.Work{
		ID: fmt.Sprint(m.seq), Team: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), Weight: 1,
		Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Pool: "llm", Arrived: m.now,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second),
		Cost: fireflypath.Cost{
			Prompt:    rapid.IntRange(1, 16000).Draw(t, "prompt"),
			MaxOutput: rapid.IntRange(0, 300).Draw(t, "output"),
		},
	}
	m.waiting[w] = true
	m.offered = append(m.offered, w)
	m.handleSheds(t, m.scheduler.Offer(m.now, w, nil))
}

// handleSheds handles shed work like an owner without peers.
func (m *model) handleSheds(t *rapid.T, sheds []fireflypath.Shed) {
	for _, s := range sheds {
		if !m.waiting[s.Work] {
			t.Fatalf("request %s shed, but it was not waiting", s.Work.ID)
		}
		if s.Relief {
			m.awaitingRelief[s.Work] = true
			continue
		}
		if s.RetryAfter > 0 && s.Work.Rank < m.scheduler.cfg.LowestRank && m.scheduler.lowestWaiting(s.Work.Rank) >= 0 && s.Reason != fireflypath.ReasonFull {
			t.Fatalf("rank %d refused while lower-tier work waits", s.Work.Rank)
		}
		m.refuse(t, s.Work)
	}
}

func (m *model) refuse(t *rapid.T, w *fireflypath.Work) {
	if !w.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateShed) {
		t.Fatalf("request %s refused in state %v", w.ID, w.Lifecycle.State())
	}
	delete(m.waiting, w)
	delete(m.awaitingRelief, w)
}

// endReliefRounds ends all relief rounds as if no peer had freed anything.
func (m *model) endReliefRounds(t *rapid.T) {
	for _, w := range m.offered {
		if !m.awaitingRelief[w] || !m.waiting[w] {
			continue
		}
		m.handleSheds(t, m.scheduler.Relieve(m.now, w.Rank, relieveAll, nil))
		if m.scheduler.lowestWaiting(w.Rank) >= 0 {
			t.Fatalf("rank %d refused while lower-tier work waits", w.Rank)
		}
		m.refuse(t, w)
		m.scheduler.Withdraw(m.now, w)
	}
}

func (m *model) dispatch(t *rapid.T) {
	var p fireflypath.Placement
	if !m.scheduler.Next(m.now, &p) {
		return
	}
	if !m.waiting[p.Work] {
		t.Fatalf("request %s dispatched, but it was not waiting", p.Work.ID)
	}
	if !p.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched) {
		t.Fatalf("request %s dispatched in state %v", p.Work.ID, p.Work.Lifecycle.State())
	}
	delete(m.waiting, p.Work)
	delete(m.awaitingRelief, p.Work)
	m.inFlight[p.Work] = p.Target
}

// oldestInFlight returns the oldest request in flight, or nil.
func (m *model) oldestInFlight() *fireflypath.Work {
	for _, w := range m.offered {
		if _, ok := m.inFlight[w]; ok {
			return w
		}
	}
	return nil
}

func (m *model) endOldest(kind fireflypath.EventKind) {
	w := m.oldestInFlight()
	if w == nil {
		return
	}
	target := m.inFlight[w]
	delete(m.inFlight, w)
	if kind == fireflypath.EventUnsent {
		w.Lifecycle = fireflypath.Lifecycle{}
		m.waiting[w] = true
	}
	m.scheduler.Observe(m.now, fireflypath.Event{Kind: kind, Target: target, Work: w, Tokens: w.Cost.MaxOutput, Cached: -1})
}

func (m *model) checkInvariants(t *rapid.T) {
	d := m.scheduler.Demand(m.now)
	waiting, running := 0, 0
	for r := range d.Waiting {
		waiting += d.Waiting[r]
		running += d.Running[r]
	}
	requests := 0
	for w := range m.waiting {
		if s := m.scheduler.items[m.scheduler.idOf[w]]; s.phase == phaseWaiting {
			waiting -= w.Cost.Tokens()
		}
		requests++
	}
	for w := range m.inFlight {
		running -= w.Cost.Tokens()
	}
	if waiting != 0 || running != 0 {
		t.Fatalf("scheduler and model differ by %d waiting and %d running tokens", waiting, running)
	}
	if n := len(m.scheduler.idOf); n != requests+len(m.inFlight) {
		t.Fatalf("scheduler holds %d requests, want %d", n, requests+len(m.inFlight))
	}
	if free := requests - len(m.awaitingRelief); free > modelMaxRequests {
		t.Fatalf("%d requests are waiting, the limit is %d", free, modelMaxRequests)
	}
}

// In any sequence of calls and events, only waiting requests are dispatched, no
// request is lost, none is refused while lower-tier work waits here, and the
// number of waiting requests stays limited.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 4).Draw(t, "targets"))
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"next":   m.dispatch,
			"next2":  m.dispatch,
			"done":   func(*rapid.T) { m.endOldest(fireflypath.EventDone) },
			"failed": func(*rapid.T) { m.endOldest(fireflypath.EventFailed) },
			"unsent": func(*rapid.T) { m.endOldest(fireflypath.EventUnsent) },
			"expire": func(t *rapid.T) { m.handleSheds(t, m.scheduler.Expire(m.now, nil)) },
			"settle": m.endReliefRounds,
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"relieve": func(t *rapid.T) {
				m.handleSheds(t, m.scheduler.Relieve(m.now, rapid.IntRange(0, 1).Draw(t, "rank"), 1000, nil))
			},
			"withdraw": func(t *rapid.T) {
				for _, w := range m.offered {
					if m.waiting[w] {
						if !m.scheduler.Withdraw(m.now, w) {
							t.Fatalf("request %s is waiting, but cannot be withdrawn", w.ID)
						}
						delete(m.waiting, w)
						delete(m.awaitingRelief, w)
						return
					}
				}
			},
			"": m.checkInvariants,
		})
	})
}

// With a small share of the targets, every waiting request must be dispatched
// or shed eventually, as long as targets answer and time passes.
func TestWaitingWorkIsEventuallyDispatchedOrShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 3).Draw(t, "targets"))
		m.scheduler.SetShare(m.now, fireflypath.Share{Default: 1.0 / 370})
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			m.offer(t)
		}
		for range 200 {
			m.dispatch(t)
			m.endOldest(fireflypath.EventDone)
			m.handleSheds(t, m.scheduler.Expire(m.now, nil))
			m.endReliefRounds(t)
			m.now = m.now.Add(time.Second)
		}
		if len(m.waiting) != 0 {
			t.Fatalf("%d requests are still waiting", len(m.waiting))
		}
	})
}
