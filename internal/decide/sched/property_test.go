package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
)

// model drives a Sched as its owner does and keeps its own books.
type model struct {
	s       *Scheduler
	now     time.Time
	seq     int
	waiting map[*fireflypath.Work]bool
	// asked is work that waits for a relief round.
	asked  map[*fireflypath.Work]bool
	flight map[*fireflypath.Work]string
	order  []*fireflypath.Work
}

const modelBound = 20

func newModel(targets int) *model {
	cfg := Config{Pool: fireflypath.Pool{Name: "llm", Requests: modelBound}, LowestRank: 2, Seed: 3}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: fmt.Sprint("m", i), Pool: "llm"})
	}
	return &model{
		s: New(cfg), now: t0,
		waiting: make(map[*fireflypath.Work]bool),
		asked:   make(map[*fireflypath.Work]bool),
		flight:  make(map[*fireflypath.Work]string),
	}
}

func (m *model) offer(t *rapid.T) {
	m.seq++
	w := &fireflypath.Work{
		ID: fmt.Sprint(m.seq), Team: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), Weight: 1,
		Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Pool: "llm", Arrived: m.now,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second),
		Cost: fireflypath.Cost{
			Prompt: rapid.IntRange(1, 16000).Draw(t, "prompt"),
			Output: rapid.IntRange(0, 300).Draw(t, "output"),
		},
	}
	m.waiting[w] = true
	m.order = append(m.order, w)
	m.handle(t, m.s.Offer(m.now, w, nil))
}

// handle does what the owner does with sheds, alone in its cluster.
func (m *model) handle(t *rapid.T, sheds []fireflypath.Shed) {
	for _, s := range sheds {
		if !m.waiting[s.Work] {
			t.Fatalf("request %s given up, but it does not wait", s.Work.ID)
		}
		if s.Relief {
			m.asked[s.Work] = true
			continue
		}
		if s.RetryAfter > 0 && s.Work.Rank < m.s.cfg.LowestRank && m.s.lower(s.Work.Rank) >= 0 && s.Reason != fireflypath.ReasonFull {
			t.Fatalf("rank %d refused while lower work waits", s.Work.Rank)
		}
		m.refuse(t, s.Work)
	}
}

func (m *model) refuse(t *rapid.T, w *fireflypath.Work) {
	if !w.Life.Move(fireflypath.StateWaiting, fireflypath.StateShed) {
		t.Fatalf("request %s refused in state %v", w.ID, w.Life.State())
	}
	delete(m.waiting, w)
	delete(m.asked, w)
}

// settle ends the relief rounds: peers have answered none.
func (m *model) settle(t *rapid.T) {
	for _, w := range m.order {
		if !m.asked[w] || !m.waiting[w] {
			continue
		}
		m.handle(t, m.s.Relieve(m.now, w.Rank, everything, nil))
		if m.s.lower(w.Rank) >= 0 {
			t.Fatalf("rank %d refused while lower work waits", w.Rank)
		}
		m.refuse(t, w)
		m.s.Withdraw(m.now, w)
	}
}

func (m *model) next(t *rapid.T) {
	var p fireflypath.Placement
	if !m.s.Next(m.now, &p) {
		return
	}
	if !m.waiting[p.Work] {
		t.Fatalf("request %s dispatched, but it does not wait", p.Work.ID)
	}
	if !p.Work.Life.Move(fireflypath.StateWaiting, fireflypath.StateDispatched) {
		t.Fatalf("request %s dispatched in state %v", p.Work.ID, p.Work.Life.State())
	}
	delete(m.waiting, p.Work)
	delete(m.asked, p.Work)
	m.flight[p.Work] = p.Target
}

// oldest is the oldest request in flight, or nil.
func (m *model) oldest() *fireflypath.Work {
	for _, w := range m.order {
		if _, ok := m.flight[w]; ok {
			return w
		}
	}
	return nil
}

func (m *model) end(kind fireflypath.EventKind) {
	w := m.oldest()
	if w == nil {
		return
	}
	target := m.flight[w]
	delete(m.flight, w)
	if kind == fireflypath.EventUnsent {
		w.Life = fireflypath.Life{}
		m.waiting[w] = true
	}
	m.s.Observe(m.now, fireflypath.Event{Kind: kind, Target: target, Work: w, Tokens: w.Cost.Output, Cached: -1})
}

func (m *model) check(t *rapid.T) {
	d := m.s.Demand(m.now)
	waiting, running := 0, 0
	for r := range d.Waiting {
		waiting += d.Waiting[r]
		running += d.Running[r]
	}
	requests := 0
	for w := range m.waiting {
		if s := m.s.items[m.s.slots[w]]; s.phase == phaseWaiting {
			waiting -= w.Cost.Tokens()
		}
		requests++
	}
	for w := range m.flight {
		running -= w.Cost.Tokens()
	}
	if waiting != 0 || running != 0 {
		t.Fatalf("books differ by %d waiting and %d running tokens", waiting, running)
	}
	if n := len(m.s.slots); n != requests+len(m.flight) {
		t.Fatalf("holds %d requests, want %d", n, requests+len(m.flight))
	}
	if free := requests - len(m.asked); free > modelBound {
		t.Fatalf("%d requests wait of at most %d", free, modelBound)
	}
}

// Whatever happens, no request is dispatched while it does not wait, none is
// lost, none refused while lower work waits here, and memory stays bounded.
func TestSchedKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 4).Draw(t, "targets"))
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"next":   m.next,
			"next2":  m.next,
			"done":   func(*rapid.T) { m.end(fireflypath.EventDone) },
			"failed": func(*rapid.T) { m.end(fireflypath.EventFailed) },
			"unsent": func(*rapid.T) { m.end(fireflypath.EventUnsent) },
			"expire": func(t *rapid.T) { m.handle(t, m.s.Expire(m.now, nil)) },
			"settle": m.settle,
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"relieve": func(t *rapid.T) {
				m.handle(t, m.s.Relieve(m.now, rapid.IntRange(0, 1).Draw(t, "rank"), 1000, nil))
			},
			"withdraw": func(t *rapid.T) {
				for _, w := range m.order {
					if m.waiting[w] {
						if !m.s.Withdraw(m.now, w) {
							t.Fatalf("request %s waits, but cannot be withdrawn", w.ID)
						}
						delete(m.waiting, w)
						delete(m.asked, w)
						return
					}
				}
			},
			"": m.check,
		})
	})
}

// Work waits and targets have answered all they had. As long as time and
// answers go on, every request must be dispatched or given up in the end.
func TestSchedLeavesNothingWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 3).Draw(t, "targets"))
		m.s.SetShare(m.now, fireflypath.Share{Default: 1.0 / 370})
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			m.offer(t)
		}
		for range 200 {
			m.next(t)
			m.end(fireflypath.EventDone)
			m.handle(t, m.s.Expire(m.now, nil))
			m.settle(t)
			m.now = m.now.Add(time.Second)
		}
		if len(m.waiting) != 0 {
			t.Fatalf("%d requests still wait", len(m.waiting))
		}
	})
}
