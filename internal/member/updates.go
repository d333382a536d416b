package member

import (
	"slices"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// queuedUpdate is an update to be sent to peers. If it came from a daemon of the same cell,
// it is not sent to the other daemons of the cell, which are all connected with each other.
// Otherwise each daemon would receive every join about twelve times, and a fleet of 370
// daemons that start at the same time would be busy with nothing else.
type queuedUpdate struct {
	peer.MemberUpdate
	skipCell bool
	// from is the peer that sent the update, or empty. It is not sent back.
	from string
}

// broadcast queues an update for all peers. The caller holds mu.
func (m *Membership) broadcast(u peer.MemberUpdate) { m.queue(queuedUpdate{MemberUpdate: u}) }

// queue appends an update to the queue and drops the oldest ones above maxQueuedUpdates. The
// caller holds mu.
func (m *Membership) queue(u queuedUpdate) {
	m.updates = append(m.updates, u)
	if excess := len(m.updates) - maxQueuedUpdates; excess > 0 {
		m.updates = slices.Delete(m.updates, 0, excess)
		m.firstUpdate += uint64(excess)
	}
}

// applyUpdates merges updates, publishes the view if it has changed, and forwards the updates
// that had an effect if forward is true. from is the peer that sent them, or empty.
func (m *Membership) applyUpdates(from string, updates []peer.MemberUpdate, forward bool) {
	m.mu.Lock()
	changed := false
	sameCell := m.inSameCell(from)
	for _, u := range updates {
		// Suspicions and their refutations are sent to all peers: the sender may not
		// reach the daemon concerned.
		e := m.entries[u.Member.Name]
		isAnnouncement := u.State == peer.Alive && (e == nil || e.state == peer.Alive)
		if !m.merge(u) {
			continue
		}
		changed = true
		if forward && u.Member.Name != m.self.Name {
			m.queue(queuedUpdate{MemberUpdate: u, skipCell: isAnnouncement && sameCell, from: from})
		}
	}
	if m.viewStale {
		m.publishSoon()
	}
	m.mu.Unlock()
	if changed {
		m.peers.Flush()
	}
}

// inSameCell reports whether a daemon belongs to the cell of this one. The caller holds mu.
func (m *Membership) inSameCell(name string) bool {
	return slices.Contains(m.cellMembers, name)
}

// fillHeartbeat fills in the membership's part of a heartbeat.
//
// Only neighbours receive the queue of updates. When a whole fleet starts, hundreds of daemons
// are connected to the seed through which they join. If it sent each join to all of them, its
// traffic would grow with the square of the fleet.
func (m *Membership) fillHeartbeat(to string, hb *peer.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hb.Generation = m.self.Generation
	hb.ViewHash = m.viewHashFor(to)
	hb.MemberUpdates = m.directUpdates[to]
	delete(m.directUpdates, to)
	if !slices.Contains(m.neighbours, to) {
		m.cursors[to] = m.firstUpdate + uint64(len(m.updates))
		return
	}
	from := max(m.cursors[to], m.firstUpdate)
	until := min(from+maxUpdatesPerHeartbeat, m.firstUpdate+uint64(len(m.updates)))
	sameCell := m.inSameCell(to)
	for _, u := range m.updates[from-m.firstUpdate : until-m.firstUpdate] {
		if (!sameCell || !u.skipCell) && u.Member.Name != to && u.from != to {
			hb.MemberUpdates = append(hb.MemberUpdates, u.MemberUpdate)
		}
	}
	m.cursors[to] = until
}

// heartbeatsPerView is the number of heartbeats after which an unchanged view hash is sent
// again. In a fleet of 370 daemons, a hash in every heartbeat took 6% of all bytes. A
// connection does not lose heartbeats, but if one of two connections to a peer ends, the
// last heartbeat may be lost with it. Without the repetition, a difference between the views
// would then stay unnoticed.
const heartbeatsPerView = 8

// sentView is the view hash last sent to a peer and the number of heartbeats since.
type sentView struct {
	hash       uint32
	heartbeats int
}

// viewHashFor returns the view hash for the next heartbeat to a peer, or 0 if it need not be
// sent again. The caller holds mu.
func (m *Membership) viewHashFor(to string) uint32 {
	hash := m.view.Load().hash
	last := m.sentViews[to]
	if last.hash == hash && last.heartbeats < heartbeatsPerView-1 {
		last.heartbeats++
		m.sentViews[to] = last
		return 0
	}
	m.sentViews[to] = sentView{hash: hash}
	return hash
}

// receiveHeartbeat processes the membership's part of a heartbeat.
func (m *Membership) receiveHeartbeat(from string, hb *peer.Heartbeat) {
	if len(hb.MemberUpdates) > 0 {
		m.applyUpdates(from, hb.MemberUpdates, true)
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[from]; ok {
		e.lastAlive = now
		if e.member.Generation != hb.Generation {
			e.member.Generation = hb.Generation
			m.publish()
		}
	}
	if hb.ViewHash != 0 {
		m.receivedViews[from] = hb.ViewHash
	}
	if m.receivedViews[from] == m.view.Load().hash {
		delete(m.differsSince, from)
		return
	}
	if !slices.Contains(m.neighbours, from) && (hb.ViewHash == 0 || now.Sub(m.syncedAt[from]) < joinPeriod) {
		return // it sends its view too rarely to compare it after each change here
	}
	if _, ok := m.differsSince[from]; !ok {
		m.differsSince[from] = now
	}
}

// handleConnect adds the peer of a new connection and resets what was sent to it.
func (m *Membership) handleConnect(other fireflypath.Member) {
	m.mu.Lock()
	if e, ok := m.entries[other.Name]; ok && !e.live() && e.member.Incarnation >= other.Incarnation {
		// The peer does not know that it was declared dead, for example during a pause.
		m.directUpdates[other.Name] = append(m.directUpdates[other.Name], peer.MemberUpdate{State: e.state, Member: e.member})
	}
	m.cursors[other.Name] = m.firstUpdate + uint64(len(m.updates))
	// The views are compared without delay, because the queued updates are not sent on
	// the new connection.
	m.differsSince[other.Name] = m.clock.Now().Add(-syncDelay)
	delete(m.syncedAt, other.Name)
	delete(m.sentViews, other.Name) // the last hash may have been lost with an earlier connection
	m.mu.Unlock()
	m.applyUpdates("", []peer.MemberUpdate{{State: peer.Alive, Member: other}}, true)
}
