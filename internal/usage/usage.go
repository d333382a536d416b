// Package usage tells the daemons of a fleet about the in-flight work and the quota usage of
// each other.
package usage

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// sendInterval is the time between two heartbeats that carry changes. The other
	// daemons see a slot that is freed here up to that much later.
	sendInterval = 30 * time.Millisecond
	// idleSendInterval replaces it in a fleet of several cells while nothing changes. There a
	// dispatcher places the work, and these heartbeats matter only after it was lost.
	idleSendInterval = 100 * time.Millisecond
	// fullInterval is how often the full state is sent instead of changes: two
	// connections to a peer may deliver messages out of order.
	fullInterval = 2 * time.Second
	// peerTimeout is how long the in-flight work of a silent peer counts. Its
	// connection is found dead in about that time. By then its work at the targets is
	// finished or cut off.
	peerTimeout = 2500 * time.Millisecond
	// keepAliveInterval is how often a daemon with quotas sends a message while nothing changes.
	keepAliveInterval = 60 * time.Millisecond
	// minContactTimeout and maxContactTimeout bound how long after its last message a peer counts as in
	// contact. Below the first, one late message would be taken for a loss of contact.
	minContactTimeout = 2 * keepAliveInterval
	maxContactTimeout = time.Second
	// refreshInterval is how often peers that fell silent and daemons that joined or
	// left are checked for while no messages arrive.
	refreshInterval = 250 * time.Millisecond
)

// Peers sends and receives heartbeats.
type Peers interface {
	AddSource(peer.Source)
	AddSink(peer.Sink)
	OnConnect(func(fireflypath.Member))
	FlushTo(names []string)
}

// Fleet lists the daemons of the fleet.
type Fleet interface {
	// Live lists the live daemons by name.
	Live() []fireflypath.Member
	// Missing is the number of daemons that died recently.
	Missing() int
	// Layout tells which daemons send work to the same targets.
	Layout() *cell.Layout
}

// Pools holds the in-flight work of this daemon.
type Pools interface {
	// Version returns a number that differs whenever the result of Report may differ.
	Version() uint64
	// Report returns the in-flight and waiting work of this daemon.
	Report() fireflypath.PeerLoad
	// UpdatePeers sets the in-flight and waiting work of the other daemons.
	UpdatePeers([]fireflypath.PeerLoad)
}

// Limits holds the quotas.
type Limits interface {
	Used() map[string]float64
	Levels(now time.Time) map[string]float64
	AdoptLevels(now time.Time, levels map[string]float64)
	DeductRemoteUse(now time.Time, team string, n float64)
	SetFleet(now time.Time, daemons int, fraction float64)
	SetReachable(now time.Time, fraction float64)
	TimeWithoutContact(daemons int) time.Duration
	SetLargeFleet(now time.Time, daemons int)
}

// Usage sends this daemon's state to its peers and receives theirs.
type Usage struct {
	self     string
	peers    Peers
	fleet    Fleet
	pools    Pools
	limits   Limits
	clock    clockwork.Clock
	sent     tally.Counter
	received tally.Counter

	// epoch identifies this run of the process. It is random, because the time of day
	// may be set back between two starts.
	epoch uint64

	mu       sync.Mutex
	sequence uint64
	// The state of this daemon, as read last.
	inFlight       map[string]int
	pendingPrompts map[string]int
	waitingRanks   map[string]int
	speeds         map[string]fireflypath.Speed
	partialView    bool
	used           map[string]int64
	// sentTo is the state that each peer was sent.
	sentTo map[string]*sentState
	// peerStates is the state that each peer sent.
	peerStates map[string]*peerState
	// version is the value of Pools.Version at the last report, reports the number of
	// reports.
	version, reports uint64
	// changed is true if the last step found a local change.
	changed bool
	// pending is true if peer states were received and not applied yet. appliedAt is when
	// they were last applied.
	pending   bool
	appliedAt time.Time
	// sentAt is when messages were last sent to all peers.
	sentAt time.Time
}

// New registers the source and the sink of heartbeats. It must be called before the endpoint
// serves.
func New(self string, peers Peers, fleet Fleet, pools Pools, limits Limits, clock clockwork.Clock, scope tally.Scope) *Usage {
	scope = scope.SubScope("usage")
	u := &Usage{
		self: self, peers: peers, fleet: fleet, pools: pools, limits: limits, clock: clock,
		sent: scope.Counter("told"), received: scope.Counter("heard"),
		epoch:    rand.Uint64(),
		inFlight: map[string]int{}, pendingPrompts: map[string]int{}, waitingRanks: map[string]int{}, used: map[string]int64{},
		sentTo: map[string]*sentState{}, peerStates: map[string]*peerState{},
	}
	peers.AddSource(u.fillHeartbeat)
	peers.AddSink(u.receive)
	peers.OnConnect(u.resetPeer)
	return u
}

// Run exchanges state until the context ends.
func (u *Usage) Run(ctx context.Context) error {
	t := u.clock.NewTimer(sendInterval)
	defer t.Stop()
	for {
		u.Step()
		t.Reset(u.nextInterval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
		}
	}
}

// nextInterval returns the time until the next step.
func (u *Usage) nextInterval() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.changed || u.fleet.Layout().CellCount() == 1 {
		return sendInterval
	}
	return idleSendInterval
}

// Step sends local changes and applies received ones. It runs so often that it does no
// work when nothing changed.
func (u *Usage) Step() {
	layout := u.fleet.Layout()
	changed := u.readLocal(layout)
	u.mu.Lock()
	u.changed = changed
	u.mu.Unlock()
	now := u.clock.Now()
	if changed || u.keepAliveDue(now, layout) {
		u.sentAt = now
		u.peers.FlushTo(layout.Members(u.self))
	}
	u.applyContact(now, layout)
	u.mu.Lock()
	due := u.pending || u.appliedAt.IsZero() || now.Sub(u.appliedAt) >= refreshInterval
	u.mu.Unlock()
	if due {
		u.apply(now, layout)
	}
}

// keepAliveDue reports whether a message has to be sent although nothing changed, so that the peers do not
// take this daemon for one without contact.
func (u *Usage) keepAliveDue(now time.Time, layout *cell.Layout) bool {
	if layout.CellCount() > 1 || now.Sub(u.sentAt) < keepAliveInterval {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.used) > 0
}

// applyContact passes the fraction of the daemons in contact to the quotas. A daemon that lost contact must
// not go on to grant a whole quota, because the others may do the same.
func (u *Usage) applyContact(now time.Time, layout *cell.Layout) {
	live := u.fleet.Live()
	if layout.CellCount() > 1 || len(live) <= 1 {
		return
	}
	all := len(live) + u.fleet.Missing()
	timeout := u.contactTimeout(all)
	inContact := 1
	u.mu.Lock()
	for _, name := range layout.Members(u.self) {
		if p := u.peerStates[name]; p != nil && name != u.self && now.Sub(p.at) <= timeout {
			inContact++
		}
	}
	u.mu.Unlock()
	u.limits.SetReachable(now, min(1, float64(inContact)/float64(all)))
}

// contactTimeout returns how long after its last message a peer counts as in contact. The loss is found
// by the next step.
func (u *Usage) contactTimeout(daemons int) time.Duration {
	allowed := u.limits.TimeWithoutContact(daemons) - sendInterval
	return min(max(allowed, minContactTimeout), maxContactTimeout)
}

// readLocal reads this daemon's in-flight work and quota usage and reports whether they
// changed.
func (u *Usage) readLocal(layout *cell.Layout) bool {
	version := u.pools.Version()
	u.mu.Lock()
	stale := version != u.version || u.reports == 0
	u.mu.Unlock()
	changed := false
	if stale {
		changed = u.readPools(version)
	}
	if layout.CellCount() > 1 {
		return changed // the quota coordinators receive the usage instead
	}
	used := u.limits.Used()
	u.mu.Lock()
	defer u.mu.Unlock()
	for team, n := range used {
		v := int64(n)
		changed = changed || u.used[team] != v
		u.used[team] = v
	}
	return changed
}

// readPools reads the in-flight work of the pools and reports whether it changed.
func (u *Usage) readPools(version uint64) bool {
	r := u.pools.Report()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports++
	u.version = version
	changed := !maps.Equal(r.InFlight, u.inFlight) || !maps.Equal(r.PendingPrompts, u.pendingPrompts) || !maps.Equal(r.WaitingRanks, u.waitingRanks) ||
		r.PartialView != u.partialView
	u.inFlight, u.pendingPrompts, u.waitingRanks, u.speeds, u.partialView = r.InFlight, r.PendingPrompts, r.WaitingRanks, r.Speeds, r.PartialView
	return changed
}

// apply applies the size of the fleet and the in-flight work of the daemons that send
// work to the same targets.
func (u *Usage) apply(now time.Time, layout *cell.Layout) {
	live := u.fleet.Live()
	peers := u.activePeers(now, live, layout.Members(u.self))
	u.pools.UpdatePeers(peers)
	if len(peers) == 0 && len(live) == 1 {
		return // not joined yet: the fractions set at the start stay in force
	}
	all := len(live) + u.fleet.Missing()
	if layout.CellCount() > 1 {
		u.limits.SetLargeFleet(now, all)
		return
	}
	u.limits.SetFleet(now, all, float64(len(peers)+1)/float64(all))
}
