// Package windowshare splits the concurrency windows of targets between daemons.
//
// Daemons exchange their demand for each pool. Each daemon computes the same split from it
// and uses its own fraction of the windows. A daemon that is short of slots borrows from
// idle ones for a short time, by the end of which all daemons know its demand.
package windowshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/decide/share"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// announceInterval is the time between two announcements of the demand. The limit of
	// 3 KB/s for control traffic has room for the demands of about twelve peers a second
	// in each direction.
	announceInterval = time.Second
	// stepInterval is how often larger fractions that become usable and loans that end
	// are checked for. A daemon that is short of slots asks for a loan within that time.
	stepInterval = 100 * time.Millisecond
	// joinGracePeriod is how long after its start a daemon that knows no peers keeps to
	// the floor. It would otherwise use whole windows that other daemons use already.
	joinGracePeriod = 3 * time.Second
	// minFractionChange is the smallest change of a fraction that is applied.
	minFractionChange = 0.002
)

// Manager sends the waiting and running work of this daemon to the daemons of its cell and
// applies this daemon's fraction of the windows.
type Manager struct {
	members   *member.Membership
	peers     *peer.Endpoint
	configs   fireflypath.Configs
	cluster   fireflypath.Cluster
	clock     clockwork.Clock
	metrics   metrics
	startedAt time.Time
	// standalone is true for a daemon that has no way to find others.
	standalone bool
	wg         conc.WaitGroup

	// applyMu is held while a fraction is read from its ledger and applied. It is locked
	// before mu. Without it, a fraction read before a loan could be applied after the
	// smaller one that the loan leaves, and both daemons would use the difference.
	applyMu sync.Mutex

	mu    sync.Mutex
	pools map[string]*pool
	early earlyDemands
	// sentTo holds the demands that each peer was sent last, by peer and pool.
	sentTo   map[string]map[string]peer.Demand
	topology topology
	// lastBorrow is when peers were last asked for loans.
	lastBorrow time.Time
}

type metrics struct {
	rounds, applied, asked, borrowed, lent tally.Counter
}

// pool is the state of one pool.
type pool struct {
	ledger share.Ledger
	// announced is the demand of this daemon that the others know. Fractions are
	// computed from it and not from the current demand, so that all daemons compute
	// them from the same values.
	announced peer.Demand
	// current is the current demand, used for lending and borrowing.
	current  peer.Demand
	received map[string]peer.Demand
	// group lists the daemons that serve the same targets, cell those of them that
	// exchange demands with this one.
	group, cell []string
	targets     []string
	// isLimit is true for the limit of a rule, which is split like a window.
	isLimit bool
	// applied is the fraction that was applied last, for appliedTargets targets.
	// everApplied is true once there is one.
	applied        float64
	appliedTargets int
	everApplied    bool
	// fractions are those of the daemons of cell after the last split, in its order.
	fractions []float64
	askedAt   time.Time
	asking    bool
	// retryDelay is the time until the next loan request. It grows while requests bring
	// no loan.
	retryDelay time.Duration
}

// topology identifies the layout and configuration that the groups were computed from.
type topology struct {
	layout     *cell.Layout
	generation uint64
}

// New registers the manager with the endpoint. It must be called before the endpoint
// serves. standalone is true for a daemon that has no way to find others.
func New(members *member.Membership, peers *peer.Endpoint, configs fireflypath.Configs, cluster fireflypath.Cluster,
	standalone bool, clock clockwork.Clock, scope tally.Scope,
) *Manager {
	scope = scope.SubScope("share")
	m := &Manager{
		members: members, peers: peers, configs: configs, cluster: cluster, clock: clock,
		startedAt: clock.Now(), standalone: standalone, pools: map[string]*pool{}, early: earlyDemands{}, sentTo: map[string]map[string]peer.Demand{},
		metrics: metrics{
			rounds: scope.Counter("rounds"), applied: scope.Counter("applied"),
			asked: scope.Counter("asked"), borrowed: scope.Counter("borrowed"), lent: scope.Counter("lent"),
		},
	}
	peers.AddSource(m.fillHeartbeat)
	peers.AddSink(m.receive)
	peers.OnConnect(m.resetPeer)
	peers.Handle(methodBorrow, m.handleBorrow)
	return m
}

// Run exchanges demands until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.wg.Wait()
	t := m.clock.NewTicker(stepInterval)
	defer t.Stop()
	var lastAnnounced time.Time
	for {
		if m.clock.Since(lastAnnounced) >= announceInterval {
			lastAnnounced = m.clock.Now()
			m.announce()
		}
		m.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
		}
	}
}

// announce updates the announced demands, recomputes the fractions and sends the demands
// to the peers.
func (m *Manager) announce() {
	m.readDemands()
	m.mu.Lock()
	for _, p := range m.pools {
		if changedEnough(p.announced, p.current) {
			p.announced = p.current
		}
	}
	m.computeAll()
	m.mu.Unlock()
	m.metrics.rounds.Inc(1)
	m.peers.Flush() // replaces the next regular heartbeat of the connections
}

// readDemands reads the current demands of the pools.
func (m *Manager) readDemands() {
	demands := m.cluster.Demands()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateTopology()
	for _, d := range demands {
		if p := m.pools[d.Pool]; p != nil {
			p.current = wireDemand(d)
		}
	}
}

// updateTopology recomputes the groups if daemons or pools changed. The caller holds mu.
func (m *Manager) updateTopology() {
	cfg, layout := m.configs.Current(), m.members.Layout()
	if m.topology == (topology{layout, cfg.Generation}) {
		return
	}
	initialized := m.topology.generation > 0
	m.topology = topology{layout, cfg.Generation}
	targets := map[string][]string{}
	for _, t := range cfg.Targets {
		targets[t.Pool] = append(targets[t.Pool], t.Name)
	}
	next := make(map[string]*pool, len(cfg.Pools))
	for _, c := range cfg.Pools {
		next[c.Name] = m.updatePool(c.Name, layout, targets[c.Name], initialized)
	}
	for _, name := range rules.SharedLimits(cfg) {
		if key := rules.DemandKey(name); next[key] == nil {
			next[key] = m.updateLimit(key, layout)
		}
	}
	m.pools = next
	m.computeAll()
}

// updatePool determines which daemons share a pool with this one. It creates the state of
// a new pool. The caller holds mu.
func (m *Manager) updatePool(name string, layout *cell.Layout, targets []string, initialized bool) *pool {
	p := m.pools[name]
	added := p == nil
	if added {
		p = &pool{received: map[string]peer.Demand{}, announced: peer.Demand{Pool: name}, current: peer.Demand{Pool: name}}
		p.ledger.Reset(share.FloorFraction) // until peers are known or joinGracePeriod is over
		m.early.moveTo(name, p.received)
	}
	self := m.members.Self().Name
	p.targets, p.group = layout.AssignedTargets(self, targets)
	p.cell = p.group
	if members := layout.Members(self); len(members) < len(p.group) {
		p.cell = members
	}
	if added && initialized && len(p.group) > 1 {
		p.ledger.Reset(share.Floor(len(p.group), m.members.Missing()))
	}
	for name := range p.received {
		if !slices.Contains(p.cell, name) {
			delete(p.received, name)
		}
	}
	return p
}

// updateLimit does the same for the limit of a rule, which all daemons share. A new limit
// starts with an even split: at the floor it would refuse work that the operator has
// granted. The caller holds mu.
func (m *Manager) updateLimit(key string, layout *cell.Layout) *pool {
	added := m.pools[key] == nil
	p := m.updatePool(key, layout, nil, false)
	p.isLimit = true
	if added {
		p.ledger.Reset(1 / float64(max(1, len(p.group))))
	}
	return p
}

// computeAll computes the fractions of all pools. The caller holds mu.
func (m *Manager) computeAll() {
	for _, p := range m.pools {
		m.compute(p)
	}
}

// compute splits a pool's windows among the daemons of the cell. If the pool has too few
// targets to give each cell its own, the windows are first split evenly between cells,
// because daemons of other cells do not send their demand here. The caller holds mu.
func (m *Manager) compute(p *pool) {
	self := m.members.Self().Name
	demands := make([]share.Demand, 0, len(p.cell))
	at := -1
	for _, name := range p.cell {
		d := p.received[name]
		if name == self {
			at, d = len(demands), p.announced
		}
		demands = append(demands, share.Demand{Name: name, Slots: d.Slots, Running: d.RunningRequests, Waiting: d.WaitingRequests})
	}
	if at < 0 {
		return
	}
	p.fractions = share.Split(demands, m.members.Missing())
	fraction := p.fractions[at]
	if len(p.group) > len(p.cell) {
		fraction *= float64(len(p.cell)) / float64(len(p.group))
	}
	now := m.clock.Now()
	switch {
	case len(p.group) > 1:
		p.ledger.Update(now, fraction)
	case m.standalone || now.Sub(m.startedAt) > joinGracePeriod:
		p.ledger.Reset(fraction)
	}
}

// step applies the fractions in use and asks for loans.
func (m *Manager) step(ctx context.Context) {
	m.readDemands()
	m.apply()
	m.mu.Lock()
	requests := m.borrowRequests(m.clock.Now())
	m.mu.Unlock()
	m.sendBorrowRequests(ctx, requests)
}

// InitialShare returns the share that a pool starts with. Without it, each daemon would
// use whole windows of a pool that the operator adds until its next step.
func (m *Manager) InitialShare(name string) fireflypath.Share {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateTopology()
	p := m.pools[name]
	if p == nil {
		return fireflypath.Share{}
	}
	return m.shareOf(p, p.ledger.InUse(m.clock.Now()))
}

// apply applies the fractions that changed.
func (m *Manager) apply() {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	now := m.clock.Now()
	type change struct {
		pool  string
		share fireflypath.Share
	}
	var changes []change
	for name, p := range m.pools {
		fraction := p.ledger.InUse(now)
		if len(p.group) == 0 {
			continue
		}
		if p.everApplied && abs(fraction-p.applied) < minFractionChange && p.appliedTargets == len(p.targets) {
			continue
		}
		p.applied, p.appliedTargets, p.everApplied = fraction, len(p.targets), true
		changes = append(changes, change{name, m.shareOf(p, fraction)})
	}
	m.mu.Unlock()
	for _, c := range changes {
		m.metrics.applied.Inc(1)
		m.cluster.ApplyShare(c.pool, c.share)
	}
}

func abs(v float64) float64 {
	return max(v, -v)
}

// shareOf returns a share with the given fraction of each target that this daemon serves,
// or of all targets if it serves all.
func (m *Manager) shareOf(p *pool, fraction float64) fireflypath.Share {
	if p.isLimit || m.topology.layout.CellCount() == 1 {
		return fireflypath.Share{Default: fraction}
	}
	s := fireflypath.Share{Fractions: make(map[string]float64, len(p.targets))}
	for _, t := range p.targets {
		s.Fractions[t] = fraction
	}
	return s
}

// Fraction returns the fraction of a pool's windows in use here, for operators.
func (m *Manager) Fraction(name string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.pools[name]; p != nil {
		return p.applied
	}
	return 0
}

// fillHeartbeat adds the demands that a daemon of the cell does not know yet to a heartbeat.
func (m *Manager) fillHeartbeat(to string, hb *peer.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sent := m.sentTo[to]
	for name, p := range m.pools {
		if !slices.Contains(p.cell, to) || sent[name].Equal(p.announced) {
			continue
		}
		if sent == nil {
			sent = map[string]peer.Demand{}
			m.sentTo[to] = sent
		}
		sent[name] = p.announced
		hb.Demands = append(hb.Demands, p.announced)
	}
}

// receive records the demands in a peer's heartbeat.
func (m *Manager) receive(from string, hb *peer.Heartbeat) {
	if len(hb.Demands) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range hb.Demands {
		p := m.pools[d.Pool]
		switch {
		case p == nil:
			m.early.add(from, d)
		case slices.Contains(p.cell, from):
			p.received[from] = d
			m.compute(p)
		}
	}
}

// resetPeer makes the next heartbeat to a daemon carry all demands: it may be a new
// incarnation.
func (m *Manager) resetPeer(to fireflypath.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sentTo, to.Name)
}
