// Package member maintains the list of live daemons in a fleet.
//
// Daemons exchange heartbeats with their neighbours and spread changes of the membership by
// gossip, in the manner of the SWIM protocol: a daemon that falls silent is probed through
// other daemons, then suspected, and declared dead unless it refutes the suspicion.
package member

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// stepInterval is how often the conditions below are checked.
	stepInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two steps above which this process is assumed to
	// have been paused.
	pauseThreshold = 1500 * time.Millisecond
	// heartbeatsBeforeProbe is the number of heartbeat intervals without a message after
	// which a neighbour is probed through others. A silent connection is replaced before
	// that.
	heartbeatsBeforeProbe = 3
	// suspicionHeartbeats is the number of heartbeat intervals in which a suspected daemon
	// can refute the suspicion. The suspicion and the refutation cross a fleet of 370
	// daemons in well under a second. After that time only the neighbours of the daemon,
	// which missed its heartbeats themselves, declare it dead. The others receive their
	// update, or declare it dead after remoteSuspicionFactor times as long. If all daemons
	// did so at once, a single slow second of an overloaded fleet would make most of it
	// count as dead.
	suspicionHeartbeats   = 2
	remoteSuspicionFactor = 5
	// missingPeriod is how long a dead daemon counts as missing. After that, even a
	// minority takes over its share. A failure domain that is cut off for a minute comes
	// back before.
	missingPeriod = 3 * time.Minute
	// deadRetention is how long the entry of a dead daemon is kept. Regions occasionally
	// lose contact with each other for an hour.
	deadRetention = 2 * time.Hour
	// maxEntries limits the entries that peers can add. The largest expected fleet, of 370
	// daemons, needs less than a tenth of it.
	maxEntries = 4096
	// maxQueuedUpdates limits the queue of updates that have not been sent to all peers.
	// If one is dropped, the comparison of views transfers the change.
	maxQueuedUpdates = 512
	// maxUpdatesPerHeartbeat limits the updates in one heartbeat.
	maxUpdatesPerHeartbeat = 64
	// minDialBackoff and maxDialBackoff are the first and the longest delay after a failed
	// dial.
	minDialBackoff = 250 * time.Millisecond
	maxDialBackoff = 4 * time.Second
	// probeHelpers is the number of daemons through which a silent one is probed. With one
	// helper, a probe tolerates a broken network path from this daemon. With three, it also
	// tolerates two helpers that fail.
	probeHelpers = 3
	// rotationRange limits the first value of Membership.rotation.
	rotationRange = 1 << 16
	// probeTimeout limits a request to a helper.
	probeTimeout = time.Second
)

// Membership is this daemon's view of the live daemons. It implements
// fireflypath.Members.
type Membership struct {
	store             fireflypath.Store
	seeds             []string
	heartbeatInterval time.Duration
	clock             clockwork.Clock
	log               *zap.Logger
	metrics           metrics
	peers             *peer.Endpoint

	view   atomic.Pointer[view]
	layout atomic.Pointer[cell.Layout]
	wg     conc.WaitGroup

	mu   sync.Mutex
	ctx  context.Context
	self fireflypath.Member
	// viewStale is true while the published view lacks a change of the entries. A suspicion
	// does not change the view.
	viewStale bool
	// publishedAt is when the view was last published. publishScheduled is true while a timer
	// for the next one is running.
	publishedAt      time.Time
	publishScheduled bool
	// left is true once Leave was called.
	left    bool
	entries map[string]*entry
	changed chan struct{}
	// bootstrap is true if the whole fleet starts for the first time.
	bootstrap bool
	// startedAt is when this daemon started. wakeup makes Run take the next step at once.
	startedAt time.Time
	wakeup    chan struct{}
	// updates is the queue of updates, numbered from firstUpdate. cursors holds the number
	// of the next update for each peer.
	updates     []queuedUpdate
	firstUpdate uint64
	cursors     map[string]uint64
	// directUpdates holds updates for a single peer.
	directUpdates map[string][]peer.MemberUpdate
	// differsSince is the time since which the view of a peer differs, syncedAt the time
	// of the last comparison with it.
	differsSince, syncedAt map[string]time.Time
	// sentViews holds the view hash last sent to each peer, receivedViews the one last
	// received.
	sentViews     map[string]sentView
	receivedViews map[string]uint32
	lastSync      time.Time
	lastStep      time.Time
	lastSearch    time.Time
	neighbours    []string
	// cellMembers are the daemons of the same cell, ordered by hash.
	cellMembers []string
	// unlogged holds the names of the members whose state changed since the last view, by state.
	unlogged map[peer.State][]string
	// rotation varies the choice of probe helpers, seeds and dead daemons.
	rotation int
}

// metrics are the counters and gauges of the membership.
type metrics struct {
	suspected, died, refuted, joined, left, synced, rescued, clashes tally.Counter
	live                                                             tally.Gauge
}

var _ fireflypath.Members = (*Membership)(nil)

// New returns the membership of the daemon self. Its incarnation must increase with each
// start, as the time does. Without a store, peers are found only through the seeds.
func New(self fireflypath.Member, store fireflypath.Store, seeds []string, heartbeatInterval time.Duration,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Membership {
	if heartbeatInterval <= 0 {
		heartbeatInterval = peer.DefaultHeartbeatInterval
	}
	scope = scope.SubScope("member")
	m := &Membership{
		store: store, seeds: seeds, heartbeatInterval: heartbeatInterval, clock: clock, log: log, self: self,
		metrics: metrics{
			suspected: scope.Counter("suspected"), died: scope.Counter("died"),
			refuted: scope.Counter("refuted"), joined: scope.Counter("joined"),
			left: scope.Counter("left"), synced: scope.Counter("synced"),
			rescued: scope.Counter("rescued"), clashes: scope.Counter("clashes"),
			live: scope.Gauge("live"),
		},
		ctx:     context.Background(),
		entries: map[string]*entry{}, changed: make(chan struct{}), cursors: map[string]uint64{},
		directUpdates: map[string][]peer.MemberUpdate{}, differsSince: map[string]time.Time{}, syncedAt: map[string]time.Time{},
		sentViews: map[string]sentView{}, receivedViews: map[string]uint32{},
		unlogged: map[peer.State][]string{},
		lastStep: clock.Now(), startedAt: clock.Now(), wakeup: make(chan struct{}, 1),
		// Daemons that start together do not all join through the same seed.
		rotation: int(xxhash.Sum64String(self.Name) % rotationRange),
	}
	m.publish()
	return m
}

// SetBootstrap says that the whole fleet starts for the first time. It must be called before Run.
func (m *Membership) SetBootstrap() { m.bootstrap = true }

// Attach registers the membership with an endpoint. It must be called before the endpoint
// serves.
func (m *Membership) Attach(e *peer.Endpoint) {
	m.peers = e
	e.OnConnect(m.handleConnect)
	e.AddSource(m.fillHeartbeat)
	e.AddSink(m.receiveHeartbeat)
	e.Handle(methodSync, m.handleSync)
	e.Handle(methodProbe, m.handleProbe)
	e.Handle(methodLeave, m.handleLeave)
}

// Self returns the record of this daemon.
func (m *Membership) Self() fireflypath.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Live returns the live daemons, ordered by name.
func (m *Membership) Live() []fireflypath.Member {
	return m.view.Load().live
}

// Missing returns the number of daemons that died within the last three minutes without
// having left. If most of the fleet is missing, this daemon is probably cut off itself.
func (m *Membership) Missing() int {
	return m.view.Load().missing
}

// Layout returns the assignment of the live daemons to cells.
func (m *Membership) Layout() *cell.Layout {
	return m.layout.Load()
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

const (
	// maxEagerView is the number of members up to which each change is published at once.
	maxEagerView = 64
	// publishInterval is the time between two views of a larger fleet. A view costs time in
	// proportion to the fleet, and while a fleet starts, changes come with every message.
	publishInterval = 100 * time.Millisecond
)

// publishSoon publishes the changed entries: in a large fleet at most once in publishInterval.
// The caller holds mu.
func (m *Membership) publishSoon() {
	wait := publishInterval - m.clock.Since(m.publishedAt)
	if len(m.entries) <= maxEagerView || wait <= 0 {
		m.publish()
		return
	}
	if m.publishScheduled {
		return
	}
	m.publishScheduled = true
	m.clock.AfterFunc(wait, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.publishScheduled = false
		if m.viewStale {
			m.publish()
		}
	})
}

// publish replaces the view by one of the current entries. The caller holds mu, except in
// New.
func (m *Membership) publish() {
	m.viewStale, m.publishedAt = false, m.clock.Now()
	m.logChanges()
	now := m.clock.Now()
	live := append(make([]fireflypath.Member, 0, len(m.entries)+1), m.self)
	missing := 0
	for _, e := range m.entries {
		switch {
		case e.live():
			member := e.member
			member.Unconfirmed = !e.adoptedAt.IsZero()
			live = append(live, member)
		case e.state == peer.Dead && now.Sub(e.stateSince) < missingPeriod:
			missing++
		}
	}
	v := newView(live, missing)
	old := m.view.Swap(v)
	m.metrics.live.Update(float64(len(live)))
	if old == nil || !slices.EqualFunc(old.live, v.live, sameName) {
		names := make([]string, 0, len(live))
		for _, member := range v.live {
			names = append(names, member.Name)
		}
		l := cell.New(names)
		m.layout.Store(l)
		m.neighbours = l.Neighbours(m.self.Name)
		m.cellMembers = l.Members(m.self.Name)
		if m.peers != nil {
			m.peers.SetNeighbours(m.neighbours)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func sameName(a, b fireflypath.Member) bool { return a.Name == b.Name }

// SetGeneration sets the generation in force at this daemon.
func (m *Membership) SetGeneration(g uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Generation != g {
		m.self.Generation = g
		m.publish()
	}
}

// SetAddresses sets the addresses of this daemon that are known only once it listens on
// them.
func (m *Membership) SetAddresses(caller, operator string) {
	m.mu.Lock()
	if m.self.CallerAddr == caller && m.self.OperatorAddr == operator {
		m.mu.Unlock()
		return
	}
	m.self.CallerAddr, m.self.OperatorAddr = caller, operator
	m.announce()
	m.mu.Unlock()
	m.peers.Flush()
}

// announce sends the changed record of this daemon to all others, with a higher incarnation
// so that it replaces the earlier record. The caller holds mu.
func (m *Membership) announce() {
	m.self.Incarnation++
	m.broadcast(peer.MemberUpdate{State: peer.Alive, Member: m.self})
	m.publish()
}

// SetLeaving announces that a planned stop of this daemon has started.
func (m *Membership) SetLeaving() {
	m.mu.Lock()
	m.self.Leaving = true
	m.announce()
	m.mu.Unlock()
	m.peers.Flush()
}

// merge applies an update to the entries and reports whether it had an effect. The caller
// holds mu and publishes the view.
func (m *Membership) merge(u peer.MemberUpdate) bool {
	now := m.clock.Now()
	if u.Member.Name == m.self.Name {
		return m.refute(u)
	}
	if u.Member.Name == "" || precedence(u.State) < 0 {
		return false
	}
	e, ok := m.entries[u.Member.Name]
	if !ok {
		if len(m.entries) >= maxEntries {
			return false
		}
		e = &entry{}
		m.entries[u.Member.Name] = e
	} else if !e.supersedes(u) {
		return m.confirm(e, u)
	}
	switch {
	case u.State == peer.Alive || ok && u.Member.Incarnation != e.member.Incarnation:
		e.adoptedAt = time.Time{}
	case !ok && u.State == peer.Suspect:
		// A suspicion does not show that the member ever ran since it was recorded.
		e.adoptedAt = now
	}
	wasLive := ok && e.live()
	if u.Member.Incarnation != e.member.Incarnation {
		// A new incarnation starts without dial failures, even at the same address.
		e.dialFailures, e.nextDial = 0, time.Time{}
		if ok && m.peers != nil {
			// A dial from before the start may hang until the network sends it again, after a second.
			e.dialing = false
			m.peers.ForgetDial(e.member.PeerAddr)
		}
		generation := max(e.member.Generation, u.Member.Generation)
		e.member = u.Member
		e.member.Generation = generation
		e.lastAlive = now
	}
	e.state, e.stateSince = u.State, now
	m.viewStale = m.viewStale || wasLive != e.live() || e.live() && u.State == peer.Alive
	m.reportChange(e, wasLive)
	return true
}

// confirm ends the adoption of a member if the update shows that it runs. It reports false,
// as the member's state stays the same. The caller holds mu and publishes the view.
func (m *Membership) confirm(e *entry, u peer.MemberUpdate) bool {
	if u.State == peer.Alive && u.Member.Incarnation == e.member.Incarnation && !e.adoptedAt.IsZero() {
		e.adoptedAt = time.Time{}
		m.viewStale = true
	}
	return false
}

// reportChange counts a change of the state of a member, for the log of the next view.
func (m *Membership) reportChange(e *entry, wasLive bool) {
	switch {
	case e.state == peer.Suspect:
		m.metrics.suspected.Inc(1)
		return
	case e.state == peer.Dead && wasLive:
		m.metrics.died.Inc(1)
	case e.state == peer.Left && wasLive:
		m.metrics.left.Inc(1)
	case e.state == peer.Alive && !wasLive:
		m.metrics.joined.Inc(1)
	default:
		return
	}
	m.unlogged[e.state] = append(m.unlogged[e.state], e.member.Name)
}

// maxLoggedNames limits the names in one line of the log.
const maxLoggedNames = 16

// logChanges logs the changes since the last view, one line a state. A line for each member
// would make a fleet that starts write the square of its size. The caller holds mu.
func (m *Membership) logChanges() {
	for state, names := range m.unlogged {
		m.log.Info("member state changed", zap.Stringer("state", state), zap.Int("members", len(names)),
			zap.Strings("names", names[:min(len(names), maxLoggedNames)]))
	}
	clear(m.unlogged)
}

// refute answers an update that this daemon is not alive, or that another incarnation of it
// is, by announcing a higher incarnation. This is how a daemon returns that was paused, or
// that was restarted after its clock was set back.
func (m *Membership) refute(u peer.MemberUpdate) bool {
	own := m.self.Incarnation
	if m.left || u.Member.Incarnation < own || u.Member.Incarnation == own && u.State == peer.Alive {
		return false
	}
	if u.State == peer.Alive && u.Member.PeerAddr != m.self.PeerAddr {
		// Two daemons run with the same name. Only an operator can resolve this.
		m.metrics.clashes.Inc(1)
		m.log.Warn("another daemon uses this name", zap.String("peer", u.Member.PeerAddr))
	}
	m.self.Incarnation = u.Member.Incarnation + 1
	m.viewStale = true
	m.metrics.refuted.Inc(1)
	m.broadcast(peer.MemberUpdate{State: peer.Alive, Member: m.self})
	return true
}
