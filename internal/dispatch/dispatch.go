// Package dispatch has one daemon of each cell place the work of the whole cell.
//
// A cell is the set of daemons that send work to the same targets. Each of them sends its
// work to the cell's dispatcher, which sends its decisions back.
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

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/lend"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
)

const (
	methodUpdate    = "news"
	methodDecisions = "turns"
	// callTimeout bounds a call to another daemon. A call normally takes 3 ms; a host
	// that has used up its CPU quota stalls for up to 100 ms.
	callTimeout = 200 * time.Millisecond
	// lateAnswerTimeout is how long an answer may take whose notices are used although its call has
	// failed.
	lateAnswerTimeout = time.Second
	// pushAttempts is how often decisions are sent to a daemon that does not answer in time.
	pushAttempts = 3
	// waitingHeartbeat is the longest time between two updates of a daemon while it has
	// work waiting at the dispatcher, idleHeartbeat while it has none. A dispatcher that
	// hangs is detected within callTimeout after that.
	waitingHeartbeat = 100 * time.Millisecond
	idleHeartbeat    = time.Second
	// idleHeartbeatPerDaemon bounds the heartbeats that a dispatcher receives to a hundred a
	// second, however many daemons it serves.
	idleHeartbeatPerDaemon = 10 * time.Millisecond
	// heartbeatsPerSession is the number of idle heartbeats after which a dispatcher ends the
	// session of a silent daemon.
	heartbeatsPerSession = 3
	// localFallbackDelay is how long work is held back while another dispatcher is
	// selected.
	localFallbackDelay = 300 * time.Millisecond
	// avoidPeriod is how long an unresponsive daemon is not selected as dispatcher. One that is lost again
	// and again is avoided twice as long each time, up to maxAvoidPeriod, unless it was not lost for
	// lossMemory.
	avoidPeriod    = 2 * time.Second
	maxAvoidPeriod = 16 * time.Second
	lossMemory     = 30 * time.Second
	// gatherTimeout is how long a newly selected dispatcher waits for the rest of its
	// cell before it places work. In that time daemons that wait for it start their
	// sessions or report their in-flight work.
	gatherTimeout = 100 * time.Millisecond
	// startPeriodMillis is the time in ms within which daemons count as started together. All
	// hosts that regain power do so within half a second.
	startPeriodMillis = 4000
	// unconfirmedTimeout bounds the first call to a daemon that may not have started yet, and
	// unconfirmedAvoidPeriod is how long it is not tried again.
	unconfirmedTimeout     = 100 * time.Millisecond
	unconfirmedAvoidPeriod = 300 * time.Millisecond
	// startGrace is how long after its start a daemon places its own work, at its equal share, while a
	// better dispatcher may not have started yet. A daemon that took the best of those that run already would change its dispatcher with each
	// better one that starts, and several dispatchers of a cell would fill the same targets.
	startGrace = 300 * time.Millisecond
	// startPeriod is how long after its start a daemon looks at the candidates at each change of the
	// fleet, instead of at intervals.
	startPeriod = 5 * time.Second
	// notReadyAvoidPeriod is how long a daemon is not tried again that answered that it does not have the
	// pool yet. The period doubles each time, up to avoidPeriod, and the first quietNotReady such answers are not
	// logged.
	notReadyAvoidPeriod  = 50 * time.Millisecond
	maxNotReadyDoublings = 6
	quietNotReady        = 3
	// maxProbes limits the candidates of a pool that are called at a time to find out whether they run.
	maxProbes = 3
	// pollInterval is how often the selection of the dispatcher is checked.
	pollInterval = 50 * time.Millisecond
	// idlePollInterval replaces it while no work of the daemon waits. New work ends the wait.
	idlePollInterval = 250 * time.Millisecond
)

// Peers registers methods for calls from other daemons and makes such calls.
type Peers interface {
	Handle(method string, m peer.Handler)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Fleet lists the daemons of the fleet.
type Fleet interface {
	// Live lists the live daemons by name.
	Live() []fireflypath.Member
	// Layout tells which daemons send work to the same targets.
	Layout() *cell.Layout
}

// Dispatch is both sides of the protocol at one daemon: the client of each pool's
// dispatcher, and the dispatcher for daemons that select this one. All daemons of a cell
// select the one that has run longest. They need no agreement, because a dispatcher owns
// no requests: if two are selected at a time, no request is lost.
type Dispatch struct {
	self    string
	peers   Peers
	fleet   Fleet
	clock   clockwork.Clock
	boot    boottime.Clock
	log     *zap.Logger
	scope   tally.Scope
	metrics metrics
	// newScheduler creates the scheduler that the dispatcher of a pool uses.
	newScheduler func(fireflypath.Pool) dispatcher.Scheduler
	// created is the time at which Elapsed of the boot-time clock would be zero if the host was never
	// suspended.
	created time.Time
	ctx     context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// closed is true once Close waits for the goroutines that make calls.
	closed  bool
	calls   conc.WaitGroup
	clients map[string]*client
	servers map[string]*server
	// shares holds the last share of each pool. A pool may get its share before it is known here.
	shares map[string]fireflypath.Share
	// probes holds the last probe of each daemon.
	probes map[string]probe

	// applied is the generation of the last configuration.
	applyMu sync.Mutex
	applied uint64

	// firstAttached is closed once a client of any pool has a dispatcher.
	firstAttached chan struct{}
	attachedOnce  sync.Once
}

type metrics struct {
	attached, lost, placed, refused, borrowed tally.Counter
	sessions                                  tally.Gauge
}

// New registers the methods for calls. It must be called before the endpoint serves.
func New(self string, peers Peers, fleet Fleet, clock clockwork.Clock, boot boottime.Clock, scope tally.Scope, log *zap.Logger,
	newScheduler func(fireflypath.Pool) dispatcher.Scheduler,
) *Dispatch {
	scope = scope.SubScope("dispatch")
	d := &Dispatch{
		self: self, peers: peers, fleet: fleet, clock: clock, boot: boot, log: log, newScheduler: newScheduler, scope: scope,
		metrics: metrics{
			attached: scope.Counter("attached"), lost: scope.Counter("lost"), placed: scope.Counter("placed"),
			refused: scope.Counter("refused"), borrowed: scope.Counter("borrowed"), sessions: scope.Gauge("sessions"),
		},
		clients: map[string]*client{}, servers: map[string]*server{}, shares: map[string]fireflypath.Share{},
		probes: map[string]probe{}, firstAttached: make(chan struct{}),
	}
	elapsed := boot.Elapsed()
	d.created = clock.Now().Add(-elapsed)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	peers.Handle(methodUpdate, d.handleUpdate)
	peers.Handle(methodDecisions, d.handleDecisions)
	return d
}

// FirstAttached returns a channel that is closed once this daemon has a dispatcher for any pool.
func (d *Dispatch) FirstAttached() <-chan struct{} { return d.firstAttached }

// probe is the last call that found out whether a daemon runs.
type probe struct {
	// of is the daemon as it was known then.
	of fireflypath.Member
	// pending is true until it ends at endedAt.
	pending  bool
	endedAt  time.Time
	answered bool
}

// probe reports whether a daemon has answered recently. If that is not known, it is called in the
// background, and all clients take their next step once it answers: a call to a host without power would
// block a client for its whole timeout.
func (d *Dispatch) probe(m fireflypath.Member) probe {
	d.mu.Lock()
	p := d.probes[m.Name]
	now := d.clock.Now()
	if isSameStart(p.of, m) && (p.pending || now.Sub(p.endedAt) < avoidPeriod) {
		d.mu.Unlock()
		return p
	}
	maps.DeleteFunc(d.probes, func(_ string, old probe) bool { return !old.pending && now.Sub(old.endedAt) >= avoidPeriod })
	p = probe{of: m, pending: true}
	d.probes[m.Name] = p
	d.mu.Unlock()
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, lateAnswerTimeout)
		defer cancel()
		var a ack
		// A message without a pool changes nothing there.
		err := d.peers.Call(ctx, m, methodDecisions, decisionsMessage{}, &a)
		d.mu.Lock()
		defer d.mu.Unlock()
		if isSameStart(d.probes[m.Name].of, m) {
			d.probes[m.Name] = probe{of: m, endedAt: d.clock.Now(), answered: err == nil}
		}
		if err != nil {
			return
		}
		for _, c := range d.clients {
			c.wake()
		}
	})
	return p
}

// minRestartTime is the shortest time between two starts of a daemon, in ms. Its incarnation grows by
// that at a start, and by one when it refutes a suspicion.
const minRestartTime = 100

// isSameStart reports whether two records are of the same start of a daemon, and both confirmed or not.
func isSameStart(a, b fireflypath.Member) bool {
	return a.Name == b.Name && a.Unconfirmed == b.Unconfirmed &&
		max(a.Incarnation, b.Incarnation)-min(a.Incarnation, b.Incarnation) < minRestartTime
}

// Close cancels all calls and waits for their goroutines.
func (d *Dispatch) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.calls.Wait()
}

// spawn runs fn in a goroutine. It reports false if Dispatch is closed.
func (d *Dispatch) spawn(fn func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.calls.Go(fn)
	return true
}

// updateMessage is sent by a daemon to its dispatcher.
type updateMessage struct {
	Pool string `json:"pool"`
	// Session is drawn at random whenever the daemon attaches to a dispatcher. First is
	// true for the first message of a session, End for the last one.
	Session uint64 `json:"s"`
	First   bool   `json:"first,omitempty"`
	End     bool   `json:"end,omitempty"`
	// Lent is what the cell has lent, as far as the daemon knows, in the first message of a session.
	Lent []lend.Loan `json:"lent,omitempty"`
	leaseTerms
	fireflypath.DispatchUpdate
}

// decisionsMessage is sent by a dispatcher to a daemon, as a response or as a call.
type decisionsMessage struct {
	Pool    string `json:"pool,omitempty"`
	Session uint64 `json:"s,omitempty"`
	// At is when the message was sent, by the dispatcher's boot-time clock.
	At        fireflypath.Micros         `json:"at,omitempty"`
	Notices   []fireflypath.TargetNotice `json:"notices,omitempty"`
	Decisions []fireflypath.Decision     `json:"turns,omitempty"`
	Lent      *lentMessage               `json:"lent,omitempty"`
}

// ack says whether the daemon still has the session.
type ack struct {
	Known bool `json:"known"`
}

var (
	errNoSession = errors.New("the dispatcher knows no such session")
	errClosed    = errors.New("the daemon stops")
)

func (d *Dispatch) handleUpdate(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m updateMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode news")
	}
	return d.processUpdate(from, &m)
}

// processUpdate is the dispatcher's side of an update.
func (d *Dispatch) processUpdate(from string, m *updateMessage) (decisionsMessage, error) {
	s := d.server(m.Pool)
	if s == nil {
		return decisionsMessage{}, errors.Newf("no pool %q here", m.Pool)
	}
	return s.processUpdate(from, m)
}

func (d *Dispatch) handleDecisions(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m decisionsMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode turns")
	}
	return ack{Known: d.applyDecisions(&m)}, nil
}

// applyDecisions is the client's side of decisions.
func (d *Dispatch) applyDecisions(m *decisionsMessage) bool {
	d.mu.Lock()
	c := d.clients[m.Pool]
	d.mu.Unlock()
	return c != nil && c.applyDecisions(m)
}

func (d *Dispatch) server(pool string) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[pool]
}

// AddPool has the cell's dispatcher place the pool's work from now on, until the pool is
// closed. sched is the scheduler that the pool was created with.
func (d *Dispatch) AddPool(p *pool.Pool, cfg fireflypath.Pool, sched *remote.Scheduler) {
	d.spawn(func() { d.runClient(p, cfg, sched) })
}

func (d *Dispatch) runClient(p *pool.Pool, cfg fireflypath.Pool, sched *remote.Scheduler) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	go func() {
		select {
		case <-p.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	c := newClient(d, p, cfg.Name, sched)
	d.mu.Lock()
	d.clients[cfg.Name] = c
	d.mu.Unlock()
	d.ensureServer(cfg)
	c.run(ctx)
	d.mu.Lock()
	if d.clients[cfg.Name] == c {
		delete(d.clients, cfg.Name)
	}
	d.mu.Unlock()
}

// Apply passes the targets of a configuration to the pools' dispatchers. One that is older than the last
// is ignored: callers that follow the configuration independently may overtake each other.
func (d *Dispatch) Apply(cfg *fireflypath.Config) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if cfg.Generation < d.applied {
		return
	}
	d.applied = cfg.Generation
	byPool := fireflypath.GroupByPool(cfg.Targets)
	for _, p := range cfg.Pools {
		d.ensureServer(p).setTargets(byPool[p.Name])
	}
}

// ensureServer returns the dispatcher's side of a pool, which it creates if there is none.
func (d *Dispatch) ensureServer(cfg fireflypath.Pool) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[cfg.Name]
	if s == nil {
		s = newServer(d, cfg)
		if share, ok := d.shares[cfg.Name]; ok {
			s.queue.SetShare(d.clock.Now(), share)
		}
		d.servers[cfg.Name] = s
	}
	return s
}

// SetShare sets which targets of a pool this daemon's cell sends work to.
func (d *Dispatch) SetShare(pool string, share fireflypath.Share) {
	d.mu.Lock()
	d.shares[pool] = share
	s := d.servers[pool]
	d.mu.Unlock()
	if s != nil {
		s.setShare(share)
	}
}

// HasPartialView reports whether this daemon places work for a part of its cell only. The
// other daemons then have to send it their in-flight work. Pools whose targets are shared
// with other cells do not count: reports do not reach those.
func (d *Dispatch) HasPartialView() bool {
	d.mu.Lock()
	servers := slices.Collect(maps.Values(d.servers))
	d.mu.Unlock()
	return slices.ContainsFunc(servers, func(s *server) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.cellOnly && s.hasPartialView()
	})
}

// UpdatePeers sets the in-flight work of daemons whose work is placed elsewhere. This
// daemon may be one of them: it can dispatch for others and have selected another
// dispatcher itself.
func (d *Dispatch) UpdatePeers(peers []fireflypath.PeerLoad) {
	d.mu.Lock()
	servers, clients := slices.Collect(maps.Values(d.servers)), slices.Collect(maps.Values(d.clients))
	d.mu.Unlock()
	own := fireflypath.NewPeerLoad(d.self)
	for _, c := range clients {
		c.pool.Report(&own)
	}
	peers = append(slices.Clip(peers), own)
	for _, s := range servers {
		s.updatePeers(peers)
	}
}

// Candidates returns the daemons that this one tries as dispatcher of a pool, in this order.
func (d *Dispatch) Candidates(pool string) []fireflypath.Member {
	s := d.server(pool)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.candidates()
}

// rank returns the members with the given names in the order in which daemons try them as
// dispatcher.
func rank(live []fireflypath.Member, names []string, compare func(a, b fireflypath.Member) int) []fireflypath.Member {
	out := make([]fireflypath.Member, 0, len(names))
	for _, name := range names {
		if m, ok := fireflypath.FindMember(live, name); ok {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// order returns how daemons that share a dispatcher are compared. Those that are leaving come
// last. byCapacity puts those with more processor time first. Then come those that have run
// longest, so that a daemon that joins does not replace the dispatcher; those that started
// together are ordered by the hashes of their names. A member known only from its record
// counts as started together with this daemon.
func (d *Dispatch) order(live []fireflypath.Member, byCapacity bool) func(a, b fireflypath.Member) int {
	self, _ := fireflypath.FindMember(live, d.self)
	startPeriod := func(m fireflypath.Member) uint64 {
		if m.Unconfirmed {
			m.Incarnation = self.Incarnation
		}
		return m.Incarnation / startPeriodMillis
	}
	return func(a, b fireflypath.Member) int {
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(b.CPU, a.CPU); byCapacity && c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(startPeriod(a), startPeriod(b)), cmp.Compare(nameHash(a), nameHash(b)), strings.Compare(a.Name, b.Name))
	}
}

func nameHash(m fireflypath.Member) uint64 { return xxhash.Sum64String(m.Name) }
