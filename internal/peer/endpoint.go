// Package peer speaks jsonrpc2 with the other daemons.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/fireflypath/fireflypath"
)

const (
	// DefaultHeartbeatInterval is the default time between heartbeats on a connection.
	DefaultHeartbeatInterval = time.Second
	// silentBeats is how many beats may fail to come. With a check every quarter
	// of a beat, a silent connection is closed at most 2.25 s after the last
	// message, which leaves three quarters of a second of the 3 s for the new one.
	silentBeats = 2
	// helloTimeout bounds handshake and introduction, so that a stranger that
	// says nothing does not hold a place.
	helloTimeout = 2 * time.Second
	// maxMessage bounds a message: a page of chunks is 256 KB.
	maxMessage = 1 << 20
	// maxConnections bounds incoming connections. A daemon holds about ten; a
	// relief round of 370 daemons may bring each of the others for a while.
	maxConnections = 512
	// maxCalls bounds the calls of one connection that are being answered.
	maxCalls = 16
	// idleAfter is when a connection that is no neighbour's is closed.
	idleAfter = 10 * time.Second
)

var (
	// ErrUnreachable means that no connection to the daemon could be had, or
	// that it broke; a call may or may not have been done.
	ErrUnreachable = errors.New("daemon cannot be reached")
	// ErrClosed means that this endpoint was closed.
	ErrClosed = errors.New("endpoint is closed")
)

// Handler answers a call of a peer.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Source fills in its part of a beat to a peer.
type Source func(to string, b *Heartbeat)

// Sink takes its part from a peer's beat. It must not block.
type Sink func(from string, b *Heartbeat)

// Endpoint holds this daemon's connections to others. Configure it with
// Handle, AddSource, AddSink and OnConnect before Serve.
type Endpoint struct {
	network fireflypath.Network
	config  *tls.Config
	self    func() fireflypath.Member
	beat    time.Duration
	clock   clockwork.Clock
	log     *zap.Logger
	count   *counters

	methods map[string]Handler
	sources []Source
	sinks   []Sink
	ups     []func(fireflypath.Member)

	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	dialing singleflight.Group

	mu       sync.Mutex
	closed   bool
	links    map[string][]*link
	keep     map[string]bool
	accepted int
	// watched is true once watch looks after the connections.
	watched bool
	flush   flush
}

// New makes an endpoint. A nil trust means plain connections. self is asked
// for this daemon's record at each introduction.
func New(network fireflypath.Network, trust *Certificates, self func() fireflypath.Member, beat time.Duration,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Endpoint {
	e := &Endpoint{
		network: network, self: self, beat: beat, clock: clock, log: log, count: newCounters(scope),
		methods: map[string]Handler{}, links: map[string][]*link{},
		flush: flush{names: map[string]bool{}},
	}
	if beat <= 0 {
		e.beat = DefaultHeartbeatInterval
	}
	if trust != nil {
		e.config = trust.config()
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Handle sets the answer to a method.
func (e *Endpoint) Handle(method string, m Handler) { e.methods[method] = m }

// AddSource adds a part of each beat sent.
func (e *Endpoint) AddSource(s Source) { e.sources = append(e.sources, s) }

// AddSink adds a reader of each beat received.
func (e *Endpoint) AddSink(s Sink) { e.sinks = append(e.sinks, s) }

// OnConnect adds what is told of each new connection's other side.
func (e *Endpoint) OnConnect(up func(fireflypath.Member)) { e.ups = append(e.ups, up) }

// Connect makes sure that there is a connection to the address and returns the
// other side's record.
func (e *Endpoint) Connect(ctx context.Context, addr string) (fireflypath.Member, error) {
	ch := e.dialing.DoChan(addr, func() (any, error) { return e.dial(addr) })
	select {
	case <-ctx.Done():
		return fireflypath.Member{}, errors.Mark(ctx.Err(), ErrUnreachable)
	case r := <-ch:
		if r.Err != nil {
			return fireflypath.Member{}, errors.Mark(r.Err, ErrUnreachable)
		}
		return r.Val.(fireflypath.Member), nil
	}
}

// dial opens a connection and introduces this daemon.
func (e *Endpoint) dial(addr string) (fireflypath.Member, error) {
	var none fireflypath.Member
	ctx, cancel := context.WithTimeout(e.ctx, helloTimeout)
	defer cancel()
	e.count.dialed.Inc(1)
	c, err := e.network.Dial(ctx, addr)
	if err == nil {
		c, err = e.secure(ctx, c, tls.Client)
	}
	if err != nil {
		e.count.dialFailed.Inc(1)
		return none, errors.Wrapf(err, "connect to %s", addr)
	}
	l := e.newLink(c, true)
	var theirs hello
	err = l.conn.Call(ctx, methodHello, hello{Protocol: protocol, Member: e.self()}, &theirs)
	if err == nil && theirs.Protocol != protocol {
		err = errors.Newf("protocol %d", theirs.Protocol)
	}
	if err != nil {
		l.close()
		e.count.dialFailed.Inc(1)
		return none, errors.Wrapf(err, "introduction to %s", addr)
	}
	l.introduce(theirs.Member)
	if !e.spawn(l.run) {
		e.drop(l)
		l.close()
		return none, ErrClosed
	}
	return theirs.Member, nil
}

// spawn runs fn unless the endpoint is closed, whose Close waits for it.
func (e *Endpoint) spawn(fn func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.wg.Go(fn)
	return true
}

// add makes a connection usable and tells of its other side.
func (e *Endpoint) add(l *link) {
	e.mu.Lock()
	e.links[l.peer.Name] = append(e.links[l.peer.Name], l)
	e.gauge()
	if !e.watched && !e.closed {
		e.watched = true
		e.wg.Go(e.watch)
	}
	e.mu.Unlock()
	for _, up := range e.ups {
		up(l.peer)
	}
	l.wake()
}

func (e *Endpoint) gauge() {
	n := 0
	for _, ls := range e.links {
		n += len(ls)
	}
	e.count.open.Update(float64(n))
}

// drop forgets a connection.
func (e *Endpoint) drop(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ls := slices.DeleteFunc(e.links[l.peer.Name], func(o *link) bool { return o == l })
	e.links[l.peer.Name] = ls
	if len(ls) == 0 {
		delete(e.links, l.peer.Name)
	}
	e.gauge()
}

// best is the connection to a daemon that brought something last, or nil.
func (e *Endpoint) best(name string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *link
	for _, l := range e.links[name] {
		if best == nil || l.heard.Load() > best.heard.Load() {
			best = l
		}
	}
	return best
}

// LastReceived is when the last message came from a daemon on an open connection.
func (e *Endpoint) LastReceived(name string) (time.Time, bool) {
	l := e.best(name)
	if l == nil {
		return time.Time{}, false
	}
	return time.Unix(0, l.heard.Load()), true
}

// Connected lists the daemons with an open connection.
func (e *Endpoint) Connected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.links))
	for n := range e.links {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// SetNeighbours names the daemons whose connections stay open without calls.
func (e *Endpoint) SetNeighbours(names []string) {
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
	}
	e.mu.Lock()
	e.keep = keep
	e.mu.Unlock()
}

// Call asks another daemon, on its connection or on a new one. A broken
// connection gives ErrUnreachable; it is not tried again here.
func (e *Endpoint) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	l := e.best(to.Name)
	if l == nil {
		m, err := e.Connect(ctx, to.Peer)
		if err != nil {
			return err
		}
		if m.Name != to.Name {
			return errors.Wrapf(ErrUnreachable, "%s is now %s", to.Peer, m.Name)
		}
		if l = e.best(to.Name); l == nil {
			return errors.Wrapf(ErrUnreachable, "connection to %s closed", to.Name)
		}
	}
	return l.call(ctx, method, params, result)
}

// watch looks after all connections. A timer of each would wake a daemon that has
// hundreds of them more often than its work does.
func (e *Endpoint) watch() {
	t := e.clock.NewTicker(e.beat / 4)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.Chan():
		}
		for _, l := range e.open() {
			l.look()
		}
	}
}

// open lists the connections.
func (e *Endpoint) open() []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*link, 0, len(e.links))
	for _, ls := range e.links {
		out = append(out, ls...)
	}
	return out
}

// Close ends all connections and waits for their goroutines.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.wg.Wait()
}

// quiet drops jsonrpc2's own lines: the counters tell.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}

var _ jsonrpc2.Logger = quiet{}
