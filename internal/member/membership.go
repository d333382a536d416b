// Package member keeps the list of daemons that are alive.
package member

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// stepEvery is the resolution of all waits below.
	stepEvery = 250 * time.Millisecond
	// pauseGap is a gap between steps that means that this process stood still.
	pauseGap = 1500 * time.Millisecond
	// proofBeats is how many beats a neighbour may be unheard before others are
	// asked; a silent connection is replaced before that.
	proofBeats = 3
	// suspectBeats is how long a suspect has to speak up: news and its answer
	// cross a fleet of 370 in well under a second. Only its neighbours, who have
	// missed its beats themselves, declare it dead then; the others hear of it,
	// or do so after suspectFar times as long. If all did, one slow second of an
	// overloaded fleet would be the death of most of it.
	suspectBeats = 2
	suspectFar   = 5
	// missingFor is how long a dead daemon counts as missing, after which its
	// part is taken over even by a minority; a failure domain that is cut off
	// for a minute comes back before.
	missingFor = 3 * time.Minute
	// forgetAfter is when a dead daemon is forgotten, regions lose each other
	// for an hour now and then (letter).
	forgetAfter = 2 * time.Hour
	// maxEntries bounds the list whatever peers say: ten fleets of the letter.
	maxEntries = 4096
	// keptNews bounds the news kept for connections that have not sent them;
	// what is lost that way is found by comparing views.
	keptNews = 512
	// newsPerBeat bounds one message.
	newsPerBeat = 64
	// dialFirst and dialMax are the pauses after failed dials.
	dialFirst = 250 * time.Millisecond
	dialMax   = 4 * time.Second
	// helpers is how many daemons are asked about one that is unheard. One is
	// enough to survive a bad link; three survive two bad helpers.
	helpers = 3
	// probeTimeout bounds one question to a helper.
	probeTimeout = time.Second
)

// Membership is the list of live daemons as this one knows it. It implements
// fireflypath.Members.
type Membership struct {
	store fireflypath.Store
	seeds []string
	beat  time.Duration
	clock clockwork.Clock
	log   *zap.Logger
	count counters
	peers *peer.Endpoint

	view   atomic.Pointer[view]
	layout atomic.Pointer[cell.Layout]
	wg     conc.WaitGroup

	mu   sync.Mutex
	ctx  context.Context
	self fireflypath.Member
	// dirty is true while the view lacks a change; a mere suspicion is none.
	dirty bool
	// gone is true once this daemon has taken its leave.
	gone    bool
	entries map[string]*entry
	changed chan struct{}
	// news are numbered from first; cursors says how far each peer was told.
	news    []told
	first   uint64
	cursors map[string]uint64
	// again holds news for one peer alone.
	again map[string][]peer.MemberUpdate
	// differs is since when a peer's view is another, synced when it was asked.
	differs, synced map[string]time.Time
	// told is the view last told to each peer, heard the one last heard.
	told       map[string]toldView
	heard      map[string]uint32
	lastSync   time.Time
	lastStep   time.Time
	lastSearch time.Time
	neighbours []string
	// mates are the daemons of the same cell, ordered by hash.
	mates []string
	turn  int
}

type counters struct {
	suspected, died, refuted, joined, left, synced, rescued, clashes tally.Counter
	live                                                             tally.Gauge
}

var _ fireflypath.Members = (*Membership)(nil)

// New makes the membership of the daemon self, whose incarnation the caller
// sets to something that grows with each start, such as the time. A nil store
// leaves the seeds to find peers; beat is the time between heartbeats.
func New(self fireflypath.Member, store fireflypath.Store, seeds []string, beat time.Duration,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Membership {
	if beat <= 0 {
		beat = peer.DefaultHeartbeatInterval
	}
	scope = scope.SubScope("member")
	m := &Membership{
		store: store, seeds: seeds, beat: beat, clock: clock, log: log, self: self,
		count: counters{
			suspected: scope.Counter("suspected"), died: scope.Counter("died"),
			refuted: scope.Counter("refuted"), joined: scope.Counter("joined"),
			left: scope.Counter("left"), synced: scope.Counter("synced"),
			rescued: scope.Counter("rescued"), clashes: scope.Counter("clashes"),
			live: scope.Gauge("live"),
		},
		ctx:     context.Background(),
		entries: map[string]*entry{}, changed: make(chan struct{}), cursors: map[string]uint64{},
		again: map[string][]peer.MemberUpdate{}, differs: map[string]time.Time{}, synced: map[string]time.Time{},
		told: map[string]toldView{}, heard: map[string]uint32{},
		lastStep: clock.Now(),
	}
	m.publish()
	return m
}

// Attach connects the membership to the endpoint before it serves.
func (m *Membership) Attach(e *peer.Endpoint) {
	m.peers = e
	e.OnConnect(m.met)
	e.AddSource(m.tell)
	e.AddSink(m.hear)
	e.Handle(methodSync, m.answerSync)
	e.Handle(methodProbe, m.answerProbe)
	e.Handle(methodLeave, m.answerLeave)
}

// Self is this daemon's own record.
func (m *Membership) Self() fireflypath.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Live is the live daemons, ordered by name.
func (m *Membership) Live() []fireflypath.Member {
	return m.view.Load().live
}

// Missing is the number of daemons that died lately without having left. A
// daemon that misses most of the fleet is likely cut off itself.
func (m *Membership) Missing() int {
	return m.view.Load().missing
}

// Layout is the fleet's layout in cells.
func (m *Membership) Layout() *cell.Layout {
	return m.layout.Load()
}

// Changed is closed at the next change of Live.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// publish makes the current entries visible. The caller holds mu, or is New.
func (m *Membership) publish() {
	m.dirty = false
	now := m.clock.Now()
	live := append(make([]fireflypath.Member, 0, len(m.entries)+1), m.self)
	missing := 0
	for _, e := range m.entries {
		switch {
		case e.live():
			live = append(live, e.member)
		case e.state == peer.Dead && now.Sub(e.since) < missingFor:
			missing++
		}
	}
	v := newView(live, missing)
	old := m.view.Swap(v)
	m.count.live.Update(float64(len(live)))
	if old == nil || !slices.EqualFunc(old.live, v.live, sameName) {
		names := make([]string, 0, len(live))
		for _, o := range v.live {
			names = append(names, o.Name)
		}
		l := cell.New(names)
		m.layout.Store(l)
		m.neighbours = l.Neighbours(m.self.Name)
		m.mates = l.Members(m.self.Name)
		if m.peers != nil {
			m.peers.SetNeighbours(m.neighbours)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func sameName(a, b fireflypath.Member) bool { return a.Name == b.Name }

// SetGeneration puts the generation in force here into the own record.
func (m *Membership) SetGeneration(g uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Generation != g {
		m.self.Generation = g
		m.publish()
	}
}

// SetAddresses puts the addresses into the own record that are known only once
// the daemon listens there.
func (m *Membership) SetAddresses(caller, operator string) {
	m.mu.Lock()
	if m.self.Caller == caller && m.self.Operator == operator {
		m.mu.Unlock()
		return
	}
	m.self.Caller, m.self.Operator = caller, operator
	m.announce()
	m.mu.Unlock()
	m.peers.Flush()
}

// announce tells all of a changed own record; only a new incarnation replaces
// the old one. The caller holds mu.
func (m *Membership) announce() {
	m.self.Incarnation++
	m.add(peer.MemberUpdate{State: peer.Alive, Member: m.self})
	m.publish()
}

// SetLeaving tells the others that a planned stop began.
func (m *Membership) SetLeaving() {
	m.mu.Lock()
	m.self.Leaving = true
	m.announce()
	m.mu.Unlock()
	m.peers.Flush()
}

// merge takes news in; it returns whether they changed anything. The caller
// holds mu and publishes.
func (m *Membership) merge(n peer.MemberUpdate) bool {
	now := m.clock.Now()
	if n.Member.Name == m.self.Name {
		return m.refute(n)
	}
	if n.Member.Name == "" || rank(n.State) < 0 {
		return false
	}
	e, ok := m.entries[n.Member.Name]
	if !ok {
		if len(m.entries) >= maxEntries {
			return false
		}
		e = &entry{}
		m.entries[n.Member.Name] = e
	} else if !e.supersedes(n) {
		return false
	}
	was := ok && e.live()
	if n.Member.Incarnation != e.member.Incarnation {
		// Another incarnation begins with a clean record, also at the old address.
		e.fails, e.next = 0, time.Time{}
		generation := max(e.member.Generation, n.Member.Generation)
		e.member = n.Member
		e.member.Generation = generation
		e.proof = now
	}
	e.state, e.since = n.State, now
	m.dirty = m.dirty || was != e.live() || e.live() && n.State == peer.Alive
	m.report(e, was)
	return true
}

// report counts and logs a change of state.
func (m *Membership) report(e *entry, was bool) {
	switch {
	case e.state == peer.Suspect:
		m.count.suspected.Inc(1)
		return
	case e.state == peer.Dead && was:
		m.count.died.Inc(1)
	case e.state == peer.Left && was:
		m.count.left.Inc(1)
	case e.state == peer.Alive && !was:
		m.count.joined.Inc(1)
	default:
		return
	}
	m.log.Info("member changed", zap.String("name", e.member.Name),
		zap.Stringer("state", e.state), zap.Uint64("incarnation", e.member.Incarnation))
}

// refute answers news that this daemon is not alive by a higher incarnation. A
// daemon that was paused, or restarted with a clock set back, comes back so.
func (m *Membership) refute(n peer.MemberUpdate) bool {
	have := m.self.Incarnation
	if m.gone || n.Member.Incarnation < have || n.Member.Incarnation == have && n.State == peer.Alive {
		return false
	}
	if n.State == peer.Alive && n.Member.Peer != m.self.Peer {
		// Two daemons run under one name; nothing but an operator can mend that.
		m.count.clashes.Inc(1)
		m.log.Warn("another daemon uses this name", zap.String("peer", n.Member.Peer))
	}
	m.self.Incarnation = n.Member.Incarnation + 1
	m.dirty = true
	m.count.refuted.Inc(1)
	m.add(peer.MemberUpdate{State: peer.Alive, Member: m.self})
	return true
}
