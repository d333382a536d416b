package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
)

// desk decides about one pool's work for the daemons that chose this one.
type desk struct {
	d    *Dispatch
	name string

	mu       sync.Mutex
	queue    *dispatcher.Dispatcher
	sessions map[string]*session
	timer    clockwork.Timer
	wakeAt   time.Time
}

// session is one daemon that this one decides for.
type session struct {
	id    uint64
	heard time.Time
	// told is true once it has told what it has in flight.
	told bool
	// pushing is true while a goroutine tells it of decisions.
	pushing bool
}

func newDesk(d *Dispatch, cfg fireflypath.Pool) *desk {
	return &desk{d: d, name: cfg.Name, queue: dispatcher.New(cfg.Name, d.make(cfg)), sessions: map[string]*session{}}
}

// take takes in the news of a daemon and returns what was decided for it.
func (k *desk) take(from string, m *newsMessage) (turnsMessage, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.d.clock.Now()
	if m.First {
		k.begin(now, from, m.Session)
	}
	s := k.sessions[from]
	if s == nil || s.id != m.Session {
		return turnsMessage{}, errNoSession
	}
	s.heard = now
	if m.End {
		k.end(now, from)
		k.push(now)
		return turnsMessage{}, nil
	}
	k.queue.Apply(now, from, &m.News)
	if !m.First && !s.told {
		s.told = true
		k.gathered(now)
	}
	out := turnsMessage{Session: m.Session, Turns: k.queue.TakeDecisions(from)}
	k.counted(out.Turns)
	k.push(now)
	return out, nil
}

// begin begins a session. The first one finds a dispatcher that knows nothing of the
// rest of its group, which is on its way here or will tell.
func (k *desk) begin(now time.Time, from string, id uint64) {
	if len(k.sessions) == 0 {
		k.queue.PauseUntil(now, now.Add(gatherTime))
	}
	k.sessions[from] = &session{id: id}
	k.queue.OpenSession(now, from, id)
}

// gathered has work placed once all of the group have told what they have in flight.
func (k *desk) gathered(now time.Time) {
	if !k.partial() {
		k.queue.PauseUntil(now, time.Time{})
	}
}

// partial is true if this one decides without knowing what all of its group have in
// flight. The caller holds mu.
func (k *desk) partial() bool {
	if len(k.sessions) == 0 {
		return false
	}
	for _, m := range k.d.candidates() {
		if s := k.sessions[m.Name]; s == nil || !s.told {
			return true
		}
	}
	return false
}

func (k *desk) counted(turns []fireflypath.Turn) {
	for _, t := range turns {
		if t.Target == "" {
			k.d.count.refused.Inc(1)
		} else {
			k.d.count.placed.Inc(1)
		}
	}
}

// end forgets a daemon. The caller holds mu.
func (k *desk) end(now time.Time, name string) {
	delete(k.sessions, name)
	k.queue.CloseSession(now, name)
}

// push has all other daemons told what was decided for them, and sets the next wake.
// The caller holds mu.
func (k *desk) push(now time.Time) {
	k.d.count.sessions.Update(float64(len(k.sessions)))
	for name, s := range k.sessions {
		if s.pushing || !k.queue.HasDecisions(name) {
			continue
		}
		s.pushing = true
		k.d.spawn(func() { k.tell(name, s) })
	}
	k.arm(now)
}

// tell tells one daemon until there is nothing left to tell.
func (k *desk) tell(name string, s *session) {
	for {
		k.mu.Lock()
		if k.sessions[name] != s || !k.queue.HasDecisions(name) {
			s.pushing = false
			k.mu.Unlock()
			return
		}
		m := turnsMessage{Pool: k.name, Session: s.id, Turns: k.queue.TakeDecisions(name)}
		k.counted(m.Turns)
		k.mu.Unlock()
		if k.send(name, &m) {
			continue
		}
		// It has turned to another dispatcher, or is gone.
		k.mu.Lock()
		if k.sessions[name] == s {
			now := k.d.clock.Now()
			k.end(now, name)
			k.push(now)
		}
		k.mu.Unlock()
		return
	}
}

// send reports whether the daemon took the decisions.
func (k *desk) send(name string, m *turnsMessage) bool {
	if name == k.d.self {
		return k.d.deliver(m)
	}
	o, ok := fireflypath.FindMember(k.d.fleet.Live(), name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(k.d.ctx, callTime)
	defer cancel()
	var a ack
	return k.d.peers.Call(ctx, o, methodTurns, m, &a) == nil && a.Known
}

// arm sets the timer if the queue wants to be woken earlier. The caller holds mu.
func (k *desk) arm(now time.Time) {
	at := now.Add(staleAfter)
	if due := k.queue.Wake(now); !due.IsZero() && due.Before(at) {
		at = due
	}
	if len(k.sessions) == 0 {
		return
	}
	if soonest := now.Add(minWake); at.Before(soonest) {
		at = soonest
	}
	if k.wakeAt.After(now) && !at.Before(k.wakeAt) {
		return
	}
	k.wakeAt = at
	if k.timer != nil {
		k.timer.Stop()
	}
	k.timer = k.d.clock.AfterFunc(at.Sub(now), k.tick)
}

// minWake keeps a queue that asks to be woken at once from spinning.
const minWake = time.Millisecond

func (k *desk) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.d.ctx.Err() != nil {
		return
	}
	now := k.d.clock.Now()
	k.wakeAt = time.Time{}
	for name, s := range k.sessions {
		if now.Sub(s.heard) > staleAfter {
			k.end(now, name)
		}
	}
	k.queue.Tick(now)
	k.push(now)
}

func (k *desk) setTargets(targets []fireflypath.Target) {
	k.update(func(now time.Time) { k.queue.SetTargets(now, targets) })
}

func (k *desk) setShare(s fireflypath.Share) {
	k.update(func(now time.Time) { k.queue.SetShare(now, s) })
}

func (k *desk) hear(mates []fireflypath.Mate) {
	k.update(func(now time.Time) { k.queue.UpdatePeers(now, mates) })
}

func (k *desk) update(change func(now time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.d.clock.Now()
	change(now)
	k.push(now)
}
