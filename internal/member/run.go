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

// syncDelay is how long the view of a peer may differ before the two are compared. Updates
// that are under way resolve most differences sooner.
const syncDelay = 2 * time.Second

// searchInterval is the time between attempts to find daemons that are not known to be
// alive: those on the other side of a network partition, or the whole fleet if this daemon
// lost contact with it.
const searchInterval = 5 * time.Second

// gatherPeriod is how long a daemon of a fleet that starts for the first time only connects to a
// seed. With what the seed knows then, it finds its neighbours at once. Otherwise each daemon would
// connect to new neighbours whenever the number of daemons that it knows has doubled.
const gatherPeriod = time.Second

// Run keeps the membership up to date until ctx is cancelled.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.wg.Go(func() { m.register(ctx) })
	defer m.wg.Wait()
	t := m.clock.NewTicker(stepInterval)
	defer t.Stop()
	m.searchPeers(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
		case <-m.wakeup:
		}
		m.step(ctx)
	}
}

// step runs the periodic checks.
func (m *Membership) step(ctx context.Context) {
	now := m.clock.Now()
	m.mu.Lock()
	if now.Sub(m.lastStep) > pauseThreshold {
		// This process was paused and received no messages meanwhile. Unless all
		// timers restart, it would declare the whole fleet dead.
		for _, e := range m.entries {
			e.lastAlive = now
			if e.state == peer.Suspect {
				e.stateSince = now
			}
		}
	}
	m.lastStep = now
	gathering := m.bootstrap && now.Sub(m.startedAt) < gatherPeriod
	var expired []peer.MemberUpdate
	for _, n := range m.neighbours {
		if !gathering {
			m.checkNeighbour(ctx, m.entries[n], now)
		}
	}
	for name, e := range m.entries {
		switch {
		case e.state == peer.Suspect && now.Sub(e.stateSince) >= m.suspicionTimeout(name):
			expired = append(expired, peer.MemberUpdate{State: peer.Dead, Member: e.member})
		case !e.live() && now.Sub(e.stateSince) > deadRetention:
			delete(m.entries, name)
			delete(m.cursors, name)
			delete(m.sentViews, name)
			delete(m.receivedViews, name)
		}
	}
	m.confirmAdopted(now)
	if v := m.view.Load(); v.missing > 0 {
		m.updateMissing()
	}
	if !gathering {
		m.compareViews(ctx, now)
	}
	search := now.Sub(m.lastSearch) >= searchInterval || len(m.neighbours) == 0 && now.Sub(m.lastSearch) >= time.Second
	m.mu.Unlock()
	if len(expired) > 0 {
		m.applyUpdates("", expired, true)
	}
	if search {
		m.searchPeers(ctx)
	}
}

// suspicionTimeout returns how long a daemon stays suspected before this one declares it
// dead. The caller holds mu.
func (m *Membership) suspicionTimeout(name string) time.Duration {
	if slices.Contains(m.neighbours, name) {
		return suspicionHeartbeats * m.heartbeatInterval
	}
	return remoteSuspicionFactor * suspicionHeartbeats * m.heartbeatInterval
}

// updateMissing publishes a new view if the number of missing daemons has changed because
// missingPeriod has passed for some. The caller holds mu.
func (m *Membership) updateMissing() {
	now, n := m.clock.Now(), 0
	for _, e := range m.entries {
		if e.state == peer.Dead && now.Sub(e.stateSince) < missingPeriod {
			n++
		}
	}
	if n != m.view.Load().missing {
		m.publish()
	}
}

// checkNeighbour dials a neighbour without a connection, and probes one from which nothing
// was received for too long. The caller holds mu.
func (m *Membership) checkNeighbour(ctx context.Context, e *entry, now time.Time) {
	if e == nil || !e.live() {
		return
	}
	if at, ok := m.peers.LastReceived(e.member.Name); ok {
		if at.After(e.lastAlive) {
			e.lastAlive = at
		}
		e.dialFailures = 0
	} else if !e.dialing && !now.Before(e.nextDial) {
		m.dialNeighbour(ctx, e)
	}
	if !e.probing && e.state == peer.Alive && now.Sub(e.lastAlive) >= heartbeatsBeforeProbe*m.heartbeatInterval {
		m.probe(ctx, e)
	}
}

// dialNeighbour opens the connection to a neighbour. The daemon with the higher name waits
// before its first attempt, so that the two rarely dial each other at the same time. The
// caller holds mu.
func (m *Membership) dialNeighbour(ctx context.Context, e *entry) {
	if e.dialFailures == 0 && e.nextDial.IsZero() && m.self.Name > e.member.Name && !m.joining() {
		e.nextDial = m.clock.Now().Add(2 * stepInterval)
		return
	}
	e.dialing = true
	other := e.member
	m.wg.Go(func() {
		_, err := m.peers.Connect(ctx, other.PeerAddr)
		m.mu.Lock()
		defer m.mu.Unlock()
		if e.member.Incarnation != other.Incarnation {
			// The daemon has started again since, which has ended this attempt for the entry.
			if err == nil {
				m.wakeIfJoining()
			}
			return
		}
		e.dialing = false
		now := m.clock.Now()
		if err == nil {
			e.dialFailures, e.nextDial = 0, now.Add(minDialBackoff)
			m.wakeIfJoining()
			return
		}
		e.nextDial = now.Add(min(maxDialBackoff, minDialBackoff<<min(e.dialFailures, 5)))
		e.dialFailures++
		if !errors.Is(err, context.DeadlineExceeded) && e.dialFailures > 1 && e.state == peer.Alive && !e.probing {
			// The attempt was refused and did not time out, so the process has most
			// likely exited.
			m.probe(ctx, e)
		}
	})
}

// probe asks other daemons whether they reach one from which this daemon receives nothing,
// and suspects it if they do not. A network path that loses messages in one direction must
// not remove a healthy daemon. The caller holds mu.
func (m *Membership) probe(ctx context.Context, e *entry) {
	e.probing = true
	other := e.member
	helpers := m.selectHelpers(other.Name)
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		alive := m.queryHelpers(ctx, helpers, other)
		m.mu.Lock()
		e.probing = false
		if alive {
			e.lastAlive = m.clock.Now()
			m.metrics.rescued.Inc(1)
		}
		recovered := m.clock.Since(e.lastAlive) < heartbeatsBeforeProbe*m.heartbeatInterval && e.dialFailures < 2
		m.mu.Unlock()
		if !alive && !recovered && ctx.Err() != context.Canceled {
			m.applyUpdates("", []peer.MemberUpdate{{State: peer.Suspect, Member: other}}, true)
		}
	})
}

// selectHelpers returns the daemons to ask about another one. The choice changes with each
// probe, so that helpers that cannot reach it are not asked every time. The caller holds mu.
func (m *Membership) selectHelpers(name string) []fireflypath.Member {
	m.rotation++
	var out []fireflypath.Member
	for _, n := range m.neighbours {
		if e := m.entries[n]; e != nil && n != name && e.live() {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int {
		ha, hb := m.helperHash(a.Name), m.helperHash(b.Name)
		if ha < hb {
			return -1
		}
		return 1
	})
	return out[:min(probeHelpers, len(out))]
}

// helperHash returns the sort key of a helper in the current rotation.
func (m *Membership) helperHash(name string) uint64 {
	return xxhash.Sum64String(name + string(rune('a'+m.rotation%26)))
}

// queryHelpers reports whether at least one of the helpers reaches a daemon.
func (m *Membership) queryHelpers(ctx context.Context, helpers []fireflypath.Member, other fireflypath.Member) bool {
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		m.wg.Go(func() {
			var resp probeResponse
			err := m.peers.Call(ctx, helper, methodProbe, probeRequest{Member: other}, &resp)
			answers <- err == nil && resp.Alive
		})
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// minSyncInterval is the minimum time between two comparisons by one daemon that has been
// running for a while.
const minSyncInterval = time.Second

// joinPeriod is how long after its start a daemon compares views at each step, with a peer whose
// view has differed for joiningSyncDelay. While a whole fleet starts, most updates were sent
// before a connection was opened.
const (
	joinPeriod          = 10 * time.Second
	joiningSyncInterval = 200 * time.Millisecond
	joiningSyncDelay    = 500 * time.Millisecond
)

// compareViews starts a comparison with a peer whose view has differed for syncDelay. The
// caller holds mu.
func (m *Membership) compareViews(ctx context.Context, now time.Time) {
	interval, delay := minSyncInterval, syncDelay
	if m.joining() {
		interval, delay = joiningSyncInterval, joiningSyncDelay
	}
	if now.Sub(m.lastSync) < interval {
		return
	}
	for name, differsSince := range m.differsSince {
		if now.Sub(differsSince) < delay || now.Sub(m.syncedAt[name]) < delay {
			continue
		}
		e, ok := m.entries[name]
		if !ok {
			delete(m.differsSince, name)
			continue
		}
		if _, connected := m.peers.LastReceived(name); !connected {
			delete(m.differsSince, name)
			delete(m.syncedAt, name)
			continue
		}
		m.syncedAt[name], m.lastSync = now, now
		if !slices.Contains(m.neighbours, name) {
			// A peer that only made a call sends few heartbeats, which might never
			// show that the views have become equal.
			delete(m.differsSince, name)
		}
		other := e.member
		m.wg.Go(func() { m.syncWith(ctx, other) })
		return
	}
}

// searchPeers dials a seed that is not known to be alive and a dead daemon, different ones
// each time. After a network partition, neither side counts the other as alive, and nothing
// else would connect them again.
func (m *Membership) searchPeers(ctx context.Context) {
	m.mu.Lock()
	m.lastSearch = m.clock.Now()
	m.rotation++
	known := map[string]bool{m.self.PeerAddr: true}
	var dead []string
	for _, e := range m.entries {
		if e.live() {
			known[e.member.PeerAddr] = true
		} else if e.state == peer.Dead {
			dead = append(dead, e.member.PeerAddr)
		}
	}
	var addrs []string
	if len(dead) > 0 {
		slices.Sort(dead)
		addrs = append(addrs, dead[m.rotation%len(dead)])
	}
	for i := range m.seeds {
		if seed := m.seeds[(m.rotation+i)%len(m.seeds)]; !known[seed] {
			addrs = append(addrs, seed)
			break
		}
	}
	m.mu.Unlock()
	for _, addr := range addrs {
		m.wg.Go(func() {
			_, err := m.peers.Connect(ctx, addr) // handleConnect adds the daemon
			if err == nil {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.wakeIfJoining()
			}
		})
	}
}

// joining reports whether this daemon has just started. The caller holds mu.
func (m *Membership) joining() bool {
	return m.clock.Since(m.startedAt) < joinPeriod
}

// wakeIfJoining makes Run take the next step at once while this daemon joins the fleet, so that
// each hop on the way to its neighbours takes no longer than its messages. The caller holds mu.
func (m *Membership) wakeIfJoining() {
	if !m.joining() {
		return
	}
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}
