// Package exchange shares the windows of targets with the other daemons.
package exchange

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
	// roundEvery is the time between two summaries. The letter's 3 KB/s hold
	// about twelve peers' lines a second in each direction.
	roundEvery = time.Second
	// stepEvery is how often parts that settle or loans that end are looked at,
	// and how soon a daemon short of slots asks for a loan.
	stepEvery = 100 * time.Millisecond
	// joinGrace is how long a daemon that hears nobody keeps to the floor after
	// its start. Alone it would use whole windows that others use already.
	joinGrace = 3 * time.Second
	// least is the smallest change of a part that is put in force.
	least = 0.002
)

// Exchange tells the daemons of the same cell what waits and runs here, and
// puts this daemon's part of the windows in force.
type Exchange struct {
	members *member.Membership
	peers   *peer.Endpoint
	configs fireflypath.Configs
	cluster fireflypath.Cluster
	clock   clockwork.Clock
	count   counters
	started time.Time
	// alone is true for a daemon that has no way to find others.
	alone bool
	wg    conc.WaitGroup

	// applying is held while a part is taken from its ledger and put in force,
	// and before mu. Without it a part read before a loan could be put in force
	// after the loan's smaller one, and both daemons would use the difference.
	applying sync.Mutex

	mu    sync.Mutex
	pools map[string]*pool
	early early
	// sent holds what each peer was told last.
	sent map[string]map[string]peer.Demand
	plan plan
	// lastAsk is when peers were last asked for loans.
	lastAsk time.Time
}

type counters struct {
	rounds, applied, asked, borrowed, lent tally.Counter
}

// pool is the state of one pool.
type pool struct {
	ledger share.Ledger
	// told is this daemon's line as the others know it; parts are computed from
	// it and not from the newest, so that all compute from the same lines.
	told peer.Demand
	// fresh is the newest line, for lending and borrowing.
	fresh peer.Demand
	heard map[string]peer.Demand
	// group are the daemons that serve the same targets, cell those of them
	// that exchange lines with this one.
	group, cell []string
	targets     []string
	// limit is true for a rule's limit, which is split like a window.
	limit     bool
	applied   float64
	appliedTo int
	known     bool
	// parts are those of the cell at the last split, in its order.
	parts  []float64
	asked  time.Time
	asking bool
	// pause is the time to the next question; it grows while questions bring nothing.
	pause time.Duration
}

// plan is what the groups were made from.
type plan struct {
	layout     *cell.Layout
	generation uint64
}

// New connects the exchange to the endpoint, before that serves. alone is true
// for a daemon that has no way to find others.
func New(members *member.Membership, peers *peer.Endpoint, configs fireflypath.Configs, cluster fireflypath.Cluster,
	alone bool, clock clockwork.Clock, scope tally.Scope,
) *Exchange {
	scope = scope.SubScope("share")
	x := &Exchange{
		members: members, peers: peers, configs: configs, cluster: cluster, clock: clock,
		started: clock.Now(), alone: alone, pools: map[string]*pool{}, early: early{}, sent: map[string]map[string]peer.Demand{},
		count: counters{
			rounds: scope.Counter("rounds"), applied: scope.Counter("applied"),
			asked: scope.Counter("asked"), borrowed: scope.Counter("borrowed"), lent: scope.Counter("lent"),
		},
	}
	peers.AddSource(x.tell)
	peers.AddSink(x.hear)
	peers.AddUp(x.met)
	peers.Handle(methodBorrow, x.answerBorrow)
	return x
}

// Run exchanges until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	defer x.wg.Wait()
	t := x.clock.NewTicker(stepEvery)
	defer t.Stop()
	var last time.Time
	for {
		if x.clock.Since(last) >= roundEvery {
			last = x.clock.Now()
			x.round()
		}
		x.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
		}
	}
}

// round takes new summaries and tells them.
func (x *Exchange) round() {
	x.refresh()
	x.mu.Lock()
	for _, p := range x.pools {
		if matters(p.told, p.fresh) {
			p.told = p.fresh
		}
	}
	x.computeAll()
	x.mu.Unlock()
	x.count.rounds.Inc(1)
	x.peers.Flush() // takes the place of the connections' own beats
}

// refresh reads the newest demands of the pools.
func (x *Exchange) refresh() {
	ds := x.cluster.Demands()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.arrange()
	for _, d := range ds {
		if p := x.pools[d.Pool]; p != nil {
			p.fresh = short(d)
		}
	}
}

// arrange makes the groups again if daemons or pools changed. The caller holds mu.
func (x *Exchange) arrange() {
	cfg, layout := x.configs.Current(), x.members.Layout()
	if x.plan == (plan{layout, cfg.Generation}) {
		return
	}
	started := x.plan.generation > 0
	x.plan = plan{layout, cfg.Generation}
	targets := map[string][]string{}
	for _, t := range cfg.Targets {
		targets[t.Pool] = append(targets[t.Pool], t.Name)
	}
	next := make(map[string]*pool, len(cfg.Pools))
	for _, c := range cfg.Pools {
		next[c.Name] = x.place(c.Name, layout, targets[c.Name], started)
	}
	for _, name := range rules.SharedLimits(cfg) {
		if key := rules.DemandKey(name); next[key] == nil {
			next[key] = x.placeLimit(key, layout)
		}
	}
	x.pools = next
	x.computeAll()
}

// place finds who shares a pool with this daemon. The caller holds mu.
func (x *Exchange) place(name string, layout *cell.Layout, targets []string, started bool) *pool {
	p := x.pools[name]
	added := p == nil
	if added {
		p = &pool{heard: map[string]peer.Demand{}, told: peer.Demand{Pool: name}, fresh: peer.Demand{Pool: name}}
		p.ledger.Reset(share.FloorFraction) // until others are heard, or joinGrace is over
		x.early.take(name, p.heard)
	}
	self := x.members.Self().Name
	p.targets, p.group = layout.AssignedTargets(self, targets)
	p.cell = p.group
	if mates := layout.Members(self); len(mates) < len(p.group) {
		p.cell = mates
	}
	if added && started && len(p.group) > 1 {
		p.ledger.Reset(share.Floor(len(p.group), x.members.Missing()))
	}
	for name := range p.heard {
		if !slices.Contains(p.cell, name) {
			delete(p.heard, name)
		}
	}
	return p
}

// placeLimit does the same for a rule's limit, which all daemons share. It
// starts with the even part: a limit at the floor would refuse work that the
// operator has granted. The caller holds mu.
func (x *Exchange) placeLimit(key string, layout *cell.Layout) *pool {
	added := x.pools[key] == nil
	p := x.place(key, layout, nil, false)
	p.limit = true
	if added {
		p.ledger.Reset(1 / float64(max(1, len(p.group))))
	}
	return p
}

// computeAll computes all parts. The caller holds mu.
func (x *Exchange) computeAll() {
	for _, p := range x.pools {
		x.compute(p)
	}
}

// compute splits a pool's windows among the cell. A pool with too few targets
// for a cell of its own is split evenly between cells first, because daemons of
// other cells do not tell their demand here.
func (x *Exchange) compute(p *pool) {
	self := x.members.Self().Name
	lines := make([]share.Demand, 0, len(p.cell))
	at := -1
	for _, name := range p.cell {
		d := p.heard[name]
		if name == self {
			at, d = len(lines), p.told
		}
		lines = append(lines, share.Demand{Name: name, Slots: d.Slots, Running: d.Busy, Waiting: d.Requests})
	}
	if at < 0 {
		return
	}
	p.parts = share.Split(lines, x.members.Missing())
	part := p.parts[at]
	if len(p.group) > len(p.cell) {
		part *= float64(len(p.cell)) / float64(len(p.group))
	}
	now := x.clock.Now()
	switch {
	case len(p.group) > 1:
		p.ledger.Update(now, part)
	case x.alone || now.Sub(x.started) > joinGrace:
		p.ledger.Reset(part)
	}
}

// step puts parts in force, and asks for loans.
func (x *Exchange) step(ctx context.Context) {
	x.refresh()
	x.apply()
	x.mu.Lock()
	asks := x.needy(x.clock.Now())
	x.mu.Unlock()
	x.ask(ctx, asks)
}

// Begin is the share that a pool starts with here. Without it a pool that the
// operator adds would have whole windows until the next step, at each daemon.
func (x *Exchange) Begin(name string) fireflypath.Share {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.arrange()
	p := x.pools[name]
	if p == nil {
		return fireflypath.Share{}
	}
	return x.shareOf(p, p.ledger.InUse(x.clock.Now()))
}

// apply puts parts in force that changed.
func (x *Exchange) apply() {
	x.applying.Lock()
	defer x.applying.Unlock()
	x.mu.Lock()
	now := x.clock.Now()
	type change struct {
		pool  string
		share fireflypath.Share
	}
	var changes []change
	for name, p := range x.pools {
		use := p.ledger.InUse(now)
		if len(p.group) == 0 {
			continue
		}
		if p.known && abs(use-p.applied) < least && p.appliedTo == len(p.targets) {
			continue
		}
		p.applied, p.appliedTo, p.known = use, len(p.targets), true
		changes = append(changes, change{name, x.shareOf(p, use)})
	}
	x.mu.Unlock()
	for _, c := range changes {
		x.count.applied.Inc(1)
		x.cluster.ApplyShare(c.pool, c.share)
	}
}

func abs(v float64) float64 {
	return max(v, -v)
}

// shareOf names the targets that this daemon serves, unless it serves all.
func (x *Exchange) shareOf(p *pool, part float64) fireflypath.Share {
	if p.limit || x.plan.layout.CellCount() == 1 {
		return fireflypath.Share{Default: part}
	}
	s := fireflypath.Share{Part: make(map[string]float64, len(p.targets))}
	for _, t := range p.targets {
		s.Part[t] = part
	}
	return s
}

// Part is the part of a pool's windows in use here, for operators.
func (x *Exchange) Part(name string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.pools[name]; p != nil {
		return p.applied
	}
	return 0
}

// tell adds the lines that a daemon of the cell does not know yet.
func (x *Exchange) tell(to string, b *peer.Beat) {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent := x.sent[to]
	for name, p := range x.pools {
		if !slices.Contains(p.cell, to) || sent[name].Equal(p.told) {
			continue
		}
		if sent == nil {
			sent = map[string]peer.Demand{}
			x.sent[to] = sent
		}
		sent[name] = p.told
		b.Demands = append(b.Demands, p.told)
	}
}

// hear takes a peer's lines.
func (x *Exchange) hear(from string, b *peer.Beat) {
	if len(b.Demands) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, d := range b.Demands {
		p := x.pools[d.Pool]
		switch {
		case p == nil:
			x.early.keep(from, d)
		case slices.Contains(p.cell, from):
			p.heard[from] = d
			x.compute(p)
		}
	}
}

// met forgets what was told to a daemon: it may be another incarnation.
func (x *Exchange) met(m fireflypath.Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.sent, m.Name)
}
