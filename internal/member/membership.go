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
	again map[string][]peer.News
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

// told is news for the peers. Those that a daemon of the same cell told it are
// not for the cell: all of it are connected with each other. Passed on to all,
// each join would reach every daemon a dozen times, and a fleet of 370 that
// starts at once would be kept busy with nothing else.
type told struct {
	peer.News
	notCell bool
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
		beat = peer.Heartbeat
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
		again: map[string][]peer.News{}, differs: map[string]time.Time{}, synced: map[string]time.Time{},
		told: map[string]toldView{}, heard: map[string]uint32{},
		lastStep: clock.Now(),
	}
	m.publish()
	return m
}

// Attach connects the membership to the endpoint before it serves.
func (m *Membership) Attach(e *peer.Endpoint) {
	m.peers = e
	e.AddUp(m.met)
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
		m.neighbours = l.Links(m.self.Name)
		m.mates = l.Mates(m.self.Name)
		if m.peers != nil {
			m.peers.Keep(m.neighbours)
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
	m.add(peer.News{State: peer.Alive, Member: m.self})
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
func (m *Membership) merge(n peer.News) bool {
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
func (m *Membership) refute(n peer.News) bool {
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
	m.add(peer.News{State: peer.Alive, Member: m.self})
	return true
}

// add queues news for all peers. The caller holds mu.
func (m *Membership) add(n peer.News) { m.queue(told{News: n}) }

func (m *Membership) queue(n told) {
	m.news = append(m.news, n)
	if drop := len(m.news) - keptNews; drop > 0 {
		m.news = slices.Delete(m.news, 0, drop)
		m.first += uint64(drop)
	}
}

// spread merges news from a peer, publishes and passes on what changed.
func (m *Membership) spread(from string, news []peer.News, pass bool) {
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
			m.queue(told{News: n, notCell: plain && mate})
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
func (m *Membership) tell(to string, b *peer.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.Generation = m.self.Generation
	b.View = m.viewFor(to)
	b.News = m.again[to]
	delete(m.again, to)
	from := max(m.cursors[to], m.first)
	until := min(from+newsPerBeat, m.first+uint64(len(m.news)))
	mate := m.mate(to)
	for _, n := range m.news[from-m.first : until-m.first] {
		if (!mate || !n.notCell) && n.Member.Name != to {
			b.News = append(b.News, n.News)
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
func (m *Membership) hear(from string, b *peer.Beat) {
	if len(b.News) > 0 {
		m.spread(from, b.News, true)
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
	if b.View != 0 {
		m.heard[from] = b.View
	}
	if m.heard[from] == m.view.Load().sum {
		delete(m.differs, from)
		return
	}
	if b.View == 0 && !slices.Contains(m.neighbours, from) {
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
		m.again[o.Name] = append(m.again[o.Name], peer.News{State: e.state, Member: e.member})
	}
	m.cursors[o.Name] = m.first + uint64(len(m.news))
	// Views are compared at once: what was told before is not told again.
	m.differs[o.Name] = m.clock.Now().Add(-syncAfter)
	delete(m.synced, o.Name)
	delete(m.told, o.Name) // what was told before may have been lost
	m.mu.Unlock()
	m.spread("", []peer.News{{State: peer.Alive, Member: o}}, true)
}
