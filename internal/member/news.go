package member

import (
	"slices"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// told is news for the peers. Those that a daemon of the same cell told it are
// not for the cell: all of it are connected with each other. Passed on to all,
// each join would reach every daemon a dozen times, and a fleet of 370 that
// starts at once would be kept busy with nothing else.
type told struct {
	peer.MemberUpdate
	notCell bool
}

// add queues news for all peers. The caller holds mu.
func (m *Membership) add(n peer.MemberUpdate) { m.queue(told{MemberUpdate: n}) }

func (m *Membership) queue(n told) {
	m.news = append(m.news, n)
	if drop := len(m.news) - keptNews; drop > 0 {
		m.news = slices.Delete(m.news, 0, drop)
		m.first += uint64(drop)
	}
}

// spread merges news from a peer, publishes and passes on what changed.
func (m *Membership) spread(from string, news []peer.MemberUpdate, pass bool) {
	m.mu.Lock()
	changed := false
	mate := m.mate(from)
	for _, n := range news {
		// Suspicions and what answers them go all ways: the daemon concerned
		// may be out of the teller's reach.
		e := m.entries[n.Member.Name]
		plain := n.State == peer.Alive && (e == nil || e.state == peer.Alive)
		if !m.merge(n) {
			continue
		}
		changed = true
		if pass && n.Member.Name != m.self.Name {
			m.queue(told{MemberUpdate: n, notCell: plain && mate})
		}
	}
	if m.dirty {
		m.publish()
	}
	m.mu.Unlock()
	if changed {
		m.peers.Flush()
	}
}

// mate reports a daemon of the same cell. The caller holds mu.
func (m *Membership) mate(name string) bool {
	return slices.Contains(m.mates, name)
}

// tell fills in the membership's part of a beat.
func (m *Membership) tell(to string, b *peer.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.Generation = m.self.Generation
	b.ViewHash = m.viewFor(to)
	b.MemberUpdates = m.again[to]
	delete(m.again, to)
	from := max(m.cursors[to], m.first)
	until := min(from+newsPerBeat, m.first+uint64(len(m.news)))
	mate := m.mate(to)
	for _, n := range m.news[from-m.first : until-m.first] {
		if (!mate || !n.notCell) && n.Member.Name != to {
			b.MemberUpdates = append(b.MemberUpdates, n.MemberUpdate)
		}
	}
	m.cursors[to] = until
}

// viewEvery is after how many beats a view that did not change is told again.
// At 370 daemons a view in each beat was 6% of all bytes. Beats are not lost on
// a connection, but one of two connections to a peer may end with the last one
// under way; what differs would not be noticed without the repetition.
const viewEvery = 8

// toldView is a view told to a peer and the beats since.
type toldView struct {
	sum   uint32
	beats int
}

// viewFor is the view for the next beat to a peer, or 0 if that was told
// already. The caller holds mu.
func (m *Membership) viewFor(to string) uint32 {
	sum := m.view.Load().sum
	t := m.told[to]
	if t.sum == sum && t.beats < viewEvery-1 {
		t.beats++
		m.told[to] = t
		return 0
	}
	m.told[to] = toldView{sum: sum}
	return sum
}

// hear takes the membership's part of a beat.
func (m *Membership) hear(from string, b *peer.Heartbeat) {
	if len(b.MemberUpdates) > 0 {
		m.spread(from, b.MemberUpdates, true)
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[from]; ok {
		e.proof = now
		if e.member.Generation != b.Generation {
			e.member.Generation = b.Generation
			m.publish()
		}
	}
	if b.ViewHash != 0 {
		m.heard[from] = b.ViewHash
	}
	if m.heard[from] == m.view.Load().sum {
		delete(m.differs, from)
		return
	}
	if b.ViewHash == 0 && !slices.Contains(m.neighbours, from) {
		return // its view is told too seldom to be compared with each change here
	}
	if _, ok := m.differs[from]; !ok {
		m.differs[from] = now
	}
}

// met takes in the other side of a new connection.
func (m *Membership) met(o fireflypath.Member) {
	m.mu.Lock()
	if e, ok := m.entries[o.Name]; ok && !e.live() && e.member.Incarnation >= o.Incarnation {
		// It does not know that it was declared dead, as after a pause.
		m.again[o.Name] = append(m.again[o.Name], peer.MemberUpdate{State: e.state, Member: e.member})
	}
	m.cursors[o.Name] = m.first + uint64(len(m.news))
	// Views are compared at once: what was told before is not told again.
	m.differs[o.Name] = m.clock.Now().Add(-syncAfter)
	delete(m.synced, o.Name)
	delete(m.told, o.Name) // what was told before may have been lost
	m.mu.Unlock()
	m.spread("", []peer.MemberUpdate{{State: peer.Alive, Member: o}}, true)
}
