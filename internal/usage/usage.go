// Package usage tells the other daemons what this one has in flight at the targets and uses of the teams' quotas, and hears the same of them.
package usage

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// tellEvery is the time between two beats that carry changes. A slot that was
	// freed here is seen by the others that much later.
	tellEvery = 30 * time.Millisecond
	// wholeEvery is how often everything is told, not only changes: two
	// connections to a peer may deliver in another order than they were told.
	wholeEvery = 2 * time.Second
	// staleAfter is how long a silent peer's flights count. Its connection is
	// found dead in about that time; its work at the targets is over or cut.
	staleAfter = 2500 * time.Millisecond
	// lookEvery is how often peers that fell silent and daemons that came or went are
	// looked for when nothing is heard.
	lookEvery = 250 * time.Millisecond
)

// Peers is what the exchange needs of the endpoint.
type Peers interface {
	AddSource(peer.Source)
	AddSink(peer.Sink)
	AddUp(func(fireflypath.Member))
	FlushTo(names []string)
}

// Fleet tells which daemons there are.
type Fleet interface {
	// Live lists the daemons by name.
	Live() []fireflypath.Member
	// Missing is the number of daemons that died lately.
	Missing() int
	// Layout tells which daemons send work to the same targets.
	Layout() *cell.Layout
}

// Pools hold the work in flight.
type Pools interface {
	// Moves changes whenever what Report tells may have changed.
	Moves() uint64
	// Report is what this daemon has in flight and waiting.
	Report() fireflypath.Mate
	// Hear takes in what the other daemons have.
	Hear([]fireflypath.Mate)
}

// Limits hold the quotas.
type Limits interface {
	Used() map[string]float64
	Levels(now time.Time) map[string]float64
	Adopt(now time.Time, levels map[string]float64)
	Heard(now time.Time, team string, n float64)
	SetFleet(now time.Time, daemons int, part float64)
	SetDaemons(daemons int)
}

// Usage exchanges with the peers.
type Usage struct {
	self   string
	peers  Peers
	fleet  Fleet
	pools  Pools
	limits Limits
	clock  clockwork.Clock
	told   tally.Counter
	heard  tally.Counter

	// life is drawn at each start: the time of day may jump back between two.
	life uint64

	mu     sync.Mutex
	number uint64
	// now holds what this daemon has in flight and used.
	flights map[string]int
	prompts map[string]int
	waits   map[string]int
	speeds  map[string]fireflypath.Speed
	apart   bool
	used    map[string]int64
	// sent is what each peer was told.
	sent map[string]*sent
	// mates is what each peer told.
	mates map[string]*mate
	// moves is what the last report was made at, reports their number.
	moves, reports uint64
	// news is true if peers told something that is not in force yet; applied is when
	// what they told was last put in force.
	news    bool
	applied time.Time
}

// sent is what a peer knows.
type sent struct {
	flights map[string]int
	prompts map[string]int
	waits   map[string]int
	speeds  map[string]fireflypath.Speed
	apart   bool
	used    map[string]int64
	whole   time.Time
}

// mate is what a peer told.
type mate struct {
	// life tells its lives apart: sums begin at zero in each. past is the one
	// before, of which messages may still be on their way.
	life, past uint64
	number     uint64
	at         time.Time
	flights    map[string]int
	prompts    map[string]int
	waits      map[string]int
	// speeds is what it told since they were last taken over.
	speeds map[string]fireflypath.Speed
	apart  bool
	// used is by team; a team not in it was not heard of since the connection.
	used map[string]int64
	// known is true once all of used was told.
	known bool
}

// New connects the exchange to the endpoint before that serves.
func New(self string, peers Peers, fleet Fleet, pools Pools, limits Limits, clock clockwork.Clock, scope tally.Scope) *Usage {
	scope = scope.SubScope("usage")
	u := &Usage{
		self: self, peers: peers, fleet: fleet, pools: pools, limits: limits, clock: clock,
		told: scope.Counter("told"), heard: scope.Counter("heard"),
		life:    rand.Uint64(),
		flights: map[string]int{}, prompts: map[string]int{}, waits: map[string]int{}, used: map[string]int64{},
		sent: map[string]*sent{}, mates: map[string]*mate{},
	}
	peers.AddSource(u.tell)
	peers.AddSink(u.hear)
	peers.AddUp(u.met)
	return u
}

// Run exchanges until the context ends.
func (u *Usage) Run(ctx context.Context) error {
	t := u.clock.NewTicker(tellEvery)
	defer t.Stop()
	for {
		u.Step()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
		}
	}
}

// Step reads what changed here, tells it, and puts what was heard in force. It runs
// so often that it does nothing where nothing happened.
func (u *Usage) Step() {
	layout := u.fleet.Layout()
	if u.look(layout) {
		u.peers.FlushTo(layout.Mates(u.self))
	}
	now := u.clock.Now()
	u.mu.Lock()
	due := u.news || u.applied.IsZero() || now.Sub(u.applied) >= lookEvery
	u.mu.Unlock()
	if due {
		u.apply(now, layout)
	}
}

// look reads what this daemon has in flight and uses, and reports whether that is
// another than before.
func (u *Usage) look(layout *cell.Layout) bool {
	moves := u.pools.Moves()
	u.mu.Lock()
	moved := moves != u.moves || u.reports == 0
	u.mu.Unlock()
	changed := false
	if moved {
		changed = u.report(moves)
	}
	if layout.Cells() > 1 {
		return changed // the teams' keepers are told what they use
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

// report reads what is in flight.
func (u *Usage) report(moves uint64) bool {
	r := u.pools.Report()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports++
	u.moves = moves
	changed := !maps.Equal(r.Flights, u.flights) || !maps.Equal(r.Prompts, u.prompts) || !maps.Equal(r.Waits, u.waits) ||
		r.Apart != u.apart
	u.flights, u.prompts, u.waits, u.speeds, u.apart = r.Flights, r.Prompts, r.Waits, r.Speeds, r.Apart
	return changed
}

// apply puts the flights of the daemons that send work to the same targets, and the
// size of the fleet, in force.
func (u *Usage) apply(now time.Time, layout *cell.Layout) {
	live := u.fleet.Live()
	mates := u.heardOf(now, live, layout.Mates(u.self))
	u.pools.Hear(mates)
	if len(mates) == 0 && len(live) == 1 {
		return // not joined yet; the parts that were set at the start hold
	}
	all := len(live) + u.fleet.Missing()
	if layout.Cells() > 1 {
		u.limits.SetDaemons(all)
		return
	}
	u.limits.SetFleet(now, all, float64(len(mates)+1)/float64(all))
}

// heardOf is what the given daemons told that are alive and not silent. Others have
// connections here too, hundreds of them at a watcher of the store; they tell nothing
// about the targets, and are left out before anything is counted over them.
func (u *Usage) heardOf(now time.Time, live []fireflypath.Member, names []string) []fireflypath.Mate {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.news, u.applied = false, now
	var out []fireflypath.Mate
	for _, name := range names {
		m := u.mates[name]
		if m == nil || now.Sub(m.at) > staleAfter {
			continue
		}
		if _, ok := fireflypath.FindMember(live, name); !ok {
			continue
		}
		out = append(out, fireflypath.Mate{
			Name: name, Flights: maps.Clone(m.flights), Prompts: maps.Clone(m.prompts),
			Waits: maps.Clone(m.waits), Speeds: m.speeds, Apart: m.apart,
		})
		m.speeds = nil // each is taken over once
	}
	return out
}

// tell adds what a peer does not know yet.
func (u *Usage) tell(to string, b *peer.Beat) {
	layout := u.fleet.Layout()
	if !slices.Contains(layout.Mates(u.self), to) {
		return // it sends work to other targets
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	s := u.sent[to]
	first := s == nil
	whole := first || now.Sub(s.whole) >= wholeEvery
	if whole {
		s = &sent{
			flights: map[string]int{}, prompts: map[string]int{}, waits: map[string]int{}, used: map[string]int64{},
			speeds: map[string]fireflypath.Speed{}, whole: now,
		}
		if !first {
			s.speeds = u.sent[to].speeds // the first ones are what matters
		}
		u.sent[to] = s
	}
	out := &peer.Usage{Whole: whole}
	if first && layout.Cells() == 1 {
		out.Levels = u.limits.Levels(now)
	}
	out.Flights = changes(s.flights, u.flights, 0)
	out.Prompts = changes(s.prompts, u.prompts, 0)
	out.Waits = changes(s.waits, u.waits, nothing)
	for target, v := range u.speeds {
		if _, told := s.speeds[target]; !told {
			out.Speeds = put(out.Speeds, target, v)
			s.speeds[target] = v
		}
	}
	for team, n := range u.used {
		if layout.Cells() == 1 && (s.used[team] != n || whole) {
			out.Used = put(out.Used, team, n)
			s.used[team] = n
		}
	}
	news := out.Flights != nil || out.Prompts != nil || out.Waits != nil || out.Speeds != nil || out.Used != nil
	if !whole && !news && s.apart == u.apart {
		return
	}
	out.Apart, s.apart = u.apart, u.apart
	u.number++
	out.Life, out.Number = u.life, u.number
	b.Usage = out
	u.told.Inc(1)
}

// nothing stands for no rank.
const nothing = -1

// changes are the entries of now that differ from old, with gone for those that
// are no longer there; old becomes now.
func changes(old, now map[string]int, gone int) map[string]int {
	var out map[string]int
	for key, n := range now {
		if o, ok := old[key]; !ok || o != n {
			out = put(out, key, n)
			old[key] = n
		}
	}
	for key := range old {
		if _, ok := now[key]; !ok {
			out = put(out, key, gone)
			delete(old, key)
		}
	}
	return out
}

func put[V any](m map[string]V, key string, v V) map[string]V {
	if m == nil {
		m = map[string]V{}
	}
	m[key] = v
	return m
}

// hear takes a peer's lines.
func (u *Usage) hear(from string, b *peer.Beat) {
	now := u.clock.Now()
	u.mu.Lock()
	m := u.mate(from)
	m.at = now
	in := b.Usage
	if in != nil && in.Life != m.life && in.Life != m.past {
		m.begin(in.Life)
	}
	if in == nil || in.Life != m.life || in.Number <= m.number {
		u.mu.Unlock()
		return
	}
	u.heard.Inc(1)
	u.news = true
	m.number = in.Number
	if in.Whole {
		clear(m.flights)
		clear(m.prompts)
		clear(m.waits)
	}
	m.apart = in.Apart
	maps.Copy(m.flights, in.Flights)
	maps.Copy(m.prompts, in.Prompts)
	for pool, r := range in.Waits {
		m.waits[pool] = r
		if r == nothing {
			delete(m.waits, pool)
		}
	}
	for target, v := range in.Speeds {
		m.speeds = put(m.speeds, target, v)
	}
	spent := m.spend(in)
	u.mu.Unlock()
	u.limits.Adopt(now, in.Levels)
	for team, n := range spent {
		u.limits.Heard(now, team, float64(n))
	}
}

// mate is what a daemon told. The caller holds mu.
func (u *Usage) mate(name string) *mate {
	m := u.mates[name]
	if m == nil {
		m = &mate{flights: map[string]int{}, prompts: map[string]int{}, waits: map[string]int{}, used: map[string]int64{}}
		u.mates[name] = m
	}
	return m
}

// begin forgets an earlier life of the daemon.
func (m *mate) begin(life uint64) {
	m.life, m.past, m.number = life, m.life, 0
	clear(m.flights)
	clear(m.prompts)
	clear(m.waits)
	m.speeds, m.apart = nil, false
	clear(m.used)
}

// spend books a peer's new sums and returns what was added. What a peer had used
// before this daemon first heard of it is left out: the bucket here began
// without it too.
func (m *mate) spend(in *peer.Usage) map[string]int64 {
	out := map[string]int64{}
	for team, n := range in.Used {
		if d := n - m.used[team]; d != 0 && m.known {
			out[team] = d
		}
		m.used[team] = n
	}
	m.known = m.known || in.Whole
	return out
}

// met begins anew with a daemon: what it was told may be lost.
func (u *Usage) met(o fireflypath.Member) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sent, o.Name)
}
