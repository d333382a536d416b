// Package dispatch carries the work of daemons to the one that decides for their group, and its decisions back.
package dispatch

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
)

const (
	methodNews  = "news"
	methodTurns = "turns"
	// callTime bounds a message to another daemon. One takes 3 ms when all is well;
	// a host that has used up its part of a processor stands still for up to 100 ms.
	callTime = 200 * time.Millisecond
	// beatWaiting is how often a daemon speaks up while work of its waits at the
	// dispatcher, beatIdle while none does. A dispatcher that stands still is found
	// in callTime after that.
	beatWaiting = 100 * time.Millisecond
	beatIdle    = time.Second
	// staleAfter is when a dispatcher forgets a daemon that is silent.
	staleAfter = 3 * time.Second
	// aloneAfter is how long work is kept back while another dispatcher is looked for.
	aloneAfter = 300 * time.Millisecond
	// avoidTime is how long a daemon is not asked to decide that did not answer.
	avoidTime = 2 * time.Second
	// gatherTime is how long a dispatcher that was just chosen waits for the rest of its
	// group before it places anything: those that wait for it turn to it or tell what
	// they have in flight in that time.
	gatherTime = 100 * time.Millisecond
	// stepEvery is how often the choice of the dispatcher is looked at.
	stepEvery = 50 * time.Millisecond
)

// Peers is what the exchange needs of the endpoint.
type Peers interface {
	Handle(method string, m peer.Method)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Fleet tells which daemons there are.
type Fleet interface {
	// Live lists the daemons by name.
	Live() []fireflypath.Member
	// Layout tells which daemons send work to the same targets.
	Layout() *cell.Layout
}

// Dispatch is both sides of the exchange at one daemon: it asks the dispatcher of
// each pool, and is one for those that choose it. All daemons of a group choose
// alike, by how long each has run; nothing has to be agreed on, since a
// dispatcher owns nothing.
type Dispatch struct {
	self  string
	peers Peers
	fleet Fleet
	clock clockwork.Clock
	log   *zap.Logger
	count counters
	// make makes the scheduler of a pool for a dispatcher.
	make   func(fireflypath.Pool) dispatcher.Scheduler
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// closed is true once Close waits for calls, the goroutines that speak to others.
	closed  bool
	calls   conc.WaitGroup
	clients map[string]*client
	desks   map[string]*desk
}

type counters struct {
	attached, lost, placed, refused tally.Counter
	sessions                        tally.Gauge
}

// New connects the exchange to the endpoint before that serves.
func New(self string, peers Peers, fleet Fleet, clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
	scheduler func(fireflypath.Pool) dispatcher.Scheduler,
) *Dispatch {
	scope = scope.SubScope("dispatch")
	d := &Dispatch{
		self: self, peers: peers, fleet: fleet, clock: clock, log: log, make: scheduler,
		count: counters{
			attached: scope.Counter("attached"), lost: scope.Counter("lost"), placed: scope.Counter("placed"),
			refused: scope.Counter("refused"), sessions: scope.Gauge("sessions"),
		},
		clients: map[string]*client{}, desks: map[string]*desk{},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	peers.Handle(methodNews, d.handleNews)
	peers.Handle(methodTurns, d.handleTurns)
	return d
}

// Close ends all calls and waits for their goroutines.
func (d *Dispatch) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.calls.Wait()
}

// spawn runs fn unless Close waits for what runs.
func (d *Dispatch) spawn(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.calls.Go(fn)
	}
}

// newsMessage is what a daemon tells a dispatcher.
type newsMessage struct {
	Pool string `json:"pool"`
	// Session is drawn anew whenever the daemon turns to a dispatcher; First is true
	// for its first message. End ends it.
	Session uint64 `json:"s"`
	First   bool   `json:"first,omitempty"`
	End     bool   `json:"end,omitempty"`
	fireflypath.News
}

// turnsMessage is what a dispatcher tells a daemon, as an answer or by itself.
type turnsMessage struct {
	Pool    string             `json:"pool,omitempty"`
	Session uint64             `json:"s,omitempty"`
	Turns   []fireflypath.Turn `json:"turns,omitempty"`
}

// ack says whether the session goes on.
type ack struct {
	Known bool `json:"known"`
}

var errNoSession = errors.New("the dispatcher knows no such session")

func (d *Dispatch) handleNews(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m newsMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode news")
	}
	return d.take(from, &m)
}

// take is the dispatcher's side of a message of news.
func (d *Dispatch) take(from string, m *newsMessage) (turnsMessage, error) {
	k := d.desk(m.Pool)
	if k == nil {
		return turnsMessage{}, errors.Newf("no pool %q here", m.Pool)
	}
	return k.take(from, m)
}

func (d *Dispatch) handleTurns(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m turnsMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode turns")
	}
	return ack{Known: d.deliver(&m)}, nil
}

// deliver is the daemon's side of decisions.
func (d *Dispatch) deliver(m *turnsMessage) bool {
	d.mu.Lock()
	c := d.clients[m.Pool]
	d.mu.Unlock()
	return c != nil && c.deliver(m)
}

func (d *Dispatch) desk(pool string) *desk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desks[pool]
}

// Place has the dispatcher of the group place the pool's work from now on, until the
// pool ends; sched is the scheduler that the pool was made with.
func (d *Dispatch) Place(p *pool.Pool, cfg fireflypath.Pool, sched *remote.Scheduler) {
	d.spawn(func() { d.place(p, cfg, sched) })
}

func (d *Dispatch) place(p *pool.Pool, cfg fireflypath.Pool, sched *remote.Scheduler) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	go func() {
		select {
		case <-p.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	c := &client{d: d, pool: p, name: cfg.Name, sched: sched, avoid: map[string]time.Time{}}
	d.mu.Lock()
	d.clients[cfg.Name] = c
	if d.desks[cfg.Name] == nil {
		d.desks[cfg.Name] = newDesk(d, cfg)
	}
	d.mu.Unlock()
	c.run(ctx)
	d.mu.Lock()
	if d.clients[cfg.Name] == c {
		delete(d.clients, cfg.Name)
	}
	d.mu.Unlock()
}

// Apply puts the targets of a configuration in force at the dispatchers.
func (d *Dispatch) Apply(cfg *fireflypath.Config) {
	byPool := map[string][]fireflypath.Target{}
	for _, t := range cfg.Targets {
		byPool[t.Pool] = append(byPool[t.Pool], t)
	}
	for _, p := range cfg.Pools {
		if p.Kind != fireflypath.KindEngine {
			continue
		}
		d.mu.Lock()
		k := d.desks[p.Name]
		if k == nil {
			k = newDesk(d, p)
			d.desks[p.Name] = k
		}
		d.mu.Unlock()
		k.setTargets(byPool[p.Name])
	}
}

// SetShare sets which targets of a pool this daemon's group sends work to.
func (d *Dispatch) SetShare(pool string, s fireflypath.Share) {
	if k := d.desk(pool); k != nil {
		k.setShare(s)
	}
}

// Partial is true if this daemon decides for others, but not for all of its group: it
// has to hear what these have in flight.
func (d *Dispatch) Partial() bool {
	d.mu.Lock()
	desks := slices.Collect(maps.Values(d.desks))
	d.mu.Unlock()
	return slices.ContainsFunc(desks, func(k *desk) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.partial()
	})
}

// UpdatePeers takes in what daemons have in flight whose work is not placed here. This one may
// be among them, if it has chosen another dispatcher than those that it decides for.
func (d *Dispatch) UpdatePeers(mates []fireflypath.Mate) {
	d.mu.Lock()
	desks, clients := slices.Collect(maps.Values(d.desks)), slices.Collect(maps.Values(d.clients))
	d.mu.Unlock()
	own := fireflypath.NewMate(d.self)
	for _, c := range clients {
		c.pool.Report(&own)
	}
	mates = append(slices.Clip(mates), own)
	for _, k := range desks {
		k.hear(mates)
	}
}

// candidates are the daemons of this one's group that may decide, in the order in
// which all of them try: the one that has run longest first, so that daemons that
// come and go do not move the queue, and those that leave last.
func (d *Dispatch) candidates() []fireflypath.Member {
	live := d.fleet.Live()
	mates := d.fleet.Layout().Mates(d.self)
	if len(mates) == 0 {
		mates = []string{d.self}
	}
	out := make([]fireflypath.Member, 0, len(mates))
	for _, name := range mates {
		if m, ok := fireflypath.FindMember(live, name); ok {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, older)
	return out
}

// older orders daemons by how long each has run; those that leave come last.
func older(a, b fireflypath.Member) int {
	if a.Leaving != b.Leaving {
		if a.Leaving {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}
