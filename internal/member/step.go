package member

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// syncAfter is how long views may differ before they are compared; news that
// are on their way settle most differences sooner.
const syncAfter = 2 * time.Second

// searchEvery is the time between attempts to find daemons that are not known
// to be alive: the other side of a cut, or a fleet that this one lost.
const searchEvery = 5 * time.Second

// Run keeps the membership up to date until the context ends.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.wg.Go(func() { m.register(ctx) })
	defer m.wg.Wait()
	t := m.clock.NewTicker(stepEvery)
	defer t.Stop()
	m.search(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
			m.step(ctx)
		}
	}
}

// step does what is due.
func (m *Membership) step(ctx context.Context) {
	now := m.clock.Now()
	m.mu.Lock()
	if now.Sub(m.lastStep) > pauseGap {
		// This process stood still, so nobody was heard. Without a new start of
		// all proofs it would take the whole fleet for dead.
		for _, e := range m.entries {
			e.proof = now
			if e.state == peer.Suspect {
				e.since = now
			}
		}
	}
	m.lastStep = now
	var dead []peer.MemberUpdate
	for _, n := range m.neighbours {
		m.check(ctx, m.entries[n], now)
	}
	for name, e := range m.entries {
		switch {
		case e.state == peer.Suspect && now.Sub(e.since) >= m.patience(name):
			dead = append(dead, peer.MemberUpdate{State: peer.Dead, Member: e.member})
		case !e.live() && now.Sub(e.since) > forgetAfter:
			delete(m.entries, name)
			delete(m.cursors, name)
			delete(m.told, name)
			delete(m.heard, name)
		}
	}
	if v := m.view.Load(); v.missing > 0 {
		m.publishMissing()
	}
	m.compare(ctx, now)
	search := now.Sub(m.lastSearch) >= searchEvery || len(m.neighbours) == 0 && now.Sub(m.lastSearch) >= time.Second
	m.mu.Unlock()
	if len(dead) > 0 {
		m.spread("", dead, true)
	}
	if search {
		m.search(ctx)
	}
}

// patience is how long a suspect may stay one. The caller holds mu.
func (m *Membership) patience(name string) time.Duration {
	if slices.Contains(m.neighbours, name) {
		return suspectBeats * m.beat
	}
	return suspectFar * suspectBeats * m.beat
}

// publishMissing lets old deaths cease to count. The caller holds mu.
func (m *Membership) publishMissing() {
	now, n := m.clock.Now(), 0
	for _, e := range m.entries {
		if e.state == peer.Dead && now.Sub(e.since) < missingFor {
			n++
		}
	}
	if n != m.view.Load().missing {
		m.publish()
	}
}

// check sees to the connection with a neighbour. The caller holds mu.
func (m *Membership) check(ctx context.Context, e *entry, now time.Time) {
	if e == nil || !e.live() {
		return
	}
	if at, ok := m.peers.LastReceived(e.member.Name); ok {
		if at.After(e.proof) {
			e.proof = at
		}
		e.fails = 0
	} else if !e.dialing && !now.Before(e.next) {
		m.dial(ctx, e)
	}
	if !e.probing && e.state == peer.Alive && now.Sub(e.proof) >= proofBeats*m.beat {
		m.probe(ctx, e)
	}
}

// dial opens the connection to a neighbour. The lower name dials first, so
// that the two seldom cross. The caller holds mu.
func (m *Membership) dial(ctx context.Context, e *entry) {
	if e.fails == 0 && e.next.IsZero() && m.self.Name > e.member.Name {
		e.next = m.clock.Now().Add(2 * stepEvery)
		return
	}
	e.dialing = true
	o := e.member
	m.wg.Go(func() {
		_, err := m.peers.Connect(ctx, o.Peer)
		m.mu.Lock()
		defer m.mu.Unlock()
		e.dialing = false
		now := m.clock.Now()
		if err == nil {
			e.fails, e.next = 0, now.Add(dialFirst)
			return
		}
		e.next = now.Add(min(dialMax, dialFirst<<min(e.fails, 5)))
		e.fails++
		if !errors.Is(err, context.DeadlineExceeded) && e.fails > 1 && e.state == peer.Alive && !e.probing {
			// Refused, not unanswered: most likely the process is gone.
			m.probe(ctx, e)
		}
	})
}

// probe asks other daemons about one that is unheard here. A link that loses
// messages one way must not cost a healthy daemon its membership. The caller
// holds mu.
func (m *Membership) probe(ctx context.Context, e *entry) {
	e.probing = true
	o := e.member
	ask := m.helpersFor(o.Name)
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		alive := m.askHelpers(ctx, ask, o)
		m.mu.Lock()
		e.probing = false
		if alive {
			e.proof = m.clock.Now()
			m.count.rescued.Inc(1)
		}
		late := m.clock.Since(e.proof) < proofBeats*m.beat && e.fails < 2
		m.mu.Unlock()
		if !alive && !late && ctx.Err() != context.Canceled {
			m.spread("", []peer.MemberUpdate{{State: peer.Suspect, Member: o}}, true)
		}
	})
}

// helpersFor chooses the daemons to ask about one; they change from time to
// time, so that bad helpers are not asked for ever. The caller holds mu.
func (m *Membership) helpersFor(name string) []fireflypath.Member {
	m.turn++
	var out []fireflypath.Member
	for _, n := range m.neighbours {
		if e := m.entries[n]; e != nil && n != name && e.live() {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int {
		ha, hb := m.lot(a.Name), m.lot(b.Name)
		if ha < hb {
			return -1
		}
		return 1
	})
	return out[:min(helpers, len(out))]
}

func (m *Membership) lot(name string) uint64 {
	return xxhash.Sum64String(name + string(rune('a'+m.turn%26)))
}

func (m *Membership) askHelpers(ctx context.Context, ask []fireflypath.Member, about fireflypath.Member) bool {
	answers := make(chan bool, len(ask))
	for _, h := range ask {
		m.wg.Go(func() {
			var r probeReply
			err := m.peers.Call(ctx, h, methodProbe, probeAsk{Member: about}, &r)
			answers <- err == nil && r.Alive
		})
	}
	for range ask {
		if <-answers {
			return true
		}
	}
	return false
}

// syncEvery bounds the comparisons of one daemon. While many daemons join, all
// views differ all the time, and each comparison brings up to 50 KB at 370
// daemons; unbounded they kept such a fleet from ever finding itself.
const syncEvery = time.Second

// compare asks a neighbour whose view stays another one. The caller holds mu.
func (m *Membership) compare(ctx context.Context, now time.Time) {
	if now.Sub(m.lastSync) < syncEvery {
		return
	}
	for name, since := range m.differs {
		if now.Sub(since) < syncAfter || now.Sub(m.synced[name]) < syncAfter {
			continue
		}
		e, ok := m.entries[name]
		if !ok {
			delete(m.differs, name)
			continue
		}
		if _, up := m.peers.LastReceived(name); !up {
			delete(m.differs, name)
			delete(m.synced, name)
			continue
		}
		m.synced[name], m.lastSync = now, now
		if !slices.Contains(m.neighbours, name) {
			// Met by its call: it sends few beats, which would never show that the
			// views have become equal.
			delete(m.differs, name)
		}
		o := e.member
		m.wg.Go(func() { m.sync(ctx, o) })
		return
	}
}

// search dials a seed and a dead daemon in turn: when a cut heals, neither side
// counts the other as alive, and nothing else would bring them together.
func (m *Membership) search(ctx context.Context) {
	m.mu.Lock()
	m.lastSearch = m.clock.Now()
	m.turn++
	known := map[string]bool{m.self.Peer: true}
	var dead []string
	for _, e := range m.entries {
		if e.live() {
			known[e.member.Peer] = true
		} else if e.state == peer.Dead {
			dead = append(dead, e.member.Peer)
		}
	}
	var try []string
	if len(dead) > 0 {
		slices.Sort(dead)
		try = append(try, dead[m.turn%len(dead)])
	}
	for i := range m.seeds {
		if s := m.seeds[(m.turn+i)%len(m.seeds)]; !known[s] {
			try = append(try, s)
			break
		}
	}
	m.mu.Unlock()
	for _, addr := range try {
		m.wg.Go(func() {
			_, _ = m.peers.Connect(ctx, addr) // met takes in who answers
		})
	}
}
