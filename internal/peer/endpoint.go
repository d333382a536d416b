// Package peer connects the daemons of a fleet.
//
// Daemons send each other heartbeats and calls as JSON-RPC 2.0 messages over TCP,
// optionally with mutual TLS. One connection carries both directions.
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
	// DefaultHeartbeatInterval is the default time between two heartbeats on a
	// connection.
	DefaultHeartbeatInterval = time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a message after
	// which a connection is closed. Connections are checked four times per interval, so
	// at the default interval a silent connection is closed at most 2.25 s after its
	// last message. A silent connection must be replaced within 3 s, which leaves 0.75 s
	// for the new one.
	maxMissedHeartbeats = 2
	// handshakeTimeout limits the TLS handshake and the exchange of hello messages, so
	// that a client that sends nothing does not occupy one of MaxAcceptedConnections.
	handshakeTimeout = 2 * time.Second
	// maxMessageSize limits the size of a message. A response with chunks of a
	// configuration has up to 256 KB.
	maxMessageSize = 1 << 20
	// maxHelloSize limits the first message of a connection that was accepted, so that those of
	// strangers take little memory.
	maxHelloSize = 64 << 10
	// MaxAcceptedConnections limits incoming connections. A daemon usually has about
	// ten. During a relief round in a fleet of 370 daemons, each of the others may
	// connect for a short time.
	MaxAcceptedConnections = 512
	// maxConcurrentCalls limits the calls of one connection that are handled at the
	// same time.
	maxConcurrentCalls = 16
	// idleTimeout is how long a connection to a daemon that is not a neighbour stays
	// open without calls.
	idleTimeout = 10 * time.Second
)

var (
	// ErrUnreachable is returned if the connection to a daemon could not be established
	// or failed. The peer may or may not have executed the call.
	ErrUnreachable = errors.New("daemon cannot be reached")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("endpoint is closed")
)

// Handler handles a call from a peer and returns its result.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Source fills in its part of a heartbeat to a peer.
type Source func(to string, hb *Heartbeat)

// Sink processes its part of a heartbeat from a peer. It must not block.
type Sink func(from string, hb *Heartbeat)

// Endpoint manages the connections to other daemons. Handle, AddSource, AddSink and
// OnConnect must be called before Serve.
type Endpoint struct {
	network           fireflypath.Network
	tlsConfig         *tls.Config
	self              func() fireflypath.Member
	heartbeatInterval time.Duration
	clock             clockwork.Clock
	log               *zap.Logger
	metrics           *metrics

	handlers  map[string]Handler
	sources   []Source
	sinks     []Sink
	onConnect []func(fireflypath.Member)
	// streamHandler is nil if this daemon serves no streams.
	streamHandler StreamHandler

	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	dials  singleflight.Group

	mu          sync.Mutex
	closed      bool
	connections map[string][]*connection
	neighbours  map[string]bool
	accepted    int
	// monitored is true once monitor is running.
	monitored bool
	flush     flushState
}

// New returns an endpoint. Without certificates, connections are not encrypted. self
// returns the record of this daemon; it is called for each hello message.
func New(network fireflypath.Network, certs *Certificates, self func() fireflypath.Member, heartbeatInterval time.Duration,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Endpoint {
	e := &Endpoint{
		network: network, self: self, heartbeatInterval: heartbeatInterval, clock: clock, log: log, metrics: newMetrics(scope),
		handlers: map[string]Handler{}, connections: map[string][]*connection{},
		flush: flushState{peers: map[string]bool{}},
	}
	if heartbeatInterval <= 0 {
		e.heartbeatInterval = DefaultHeartbeatInterval
	}
	if certs != nil {
		e.tlsConfig = certs.config()
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Handle registers the handler of a method.
func (e *Endpoint) Handle(method string, h Handler) { e.handlers[method] = h }

// AddSource registers a source for all heartbeats sent.
func (e *Endpoint) AddSource(s Source) { e.sources = append(e.sources, s) }

// AddSink registers a sink for all heartbeats received.
func (e *Endpoint) AddSink(s Sink) { e.sinks = append(e.sinks, s) }

// OnConnect registers a function that is called with the peer of each new connection.
func (e *Endpoint) OnConnect(fn func(fireflypath.Member)) { e.onConnect = append(e.onConnect, fn) }

// Connect opens a connection to an address and returns the record of the peer.
// Concurrent calls for the same address share one attempt.
func (e *Endpoint) Connect(ctx context.Context, addr string) (fireflypath.Member, error) {
	ch := e.dials.DoChan(addr, func() (any, error) { return e.dial(addr) })
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

// ForgetDial makes the next Connect to an address start its own attempt. A daemon that has started again
// does not answer attempts of before.
func (e *Endpoint) ForgetDial(addr string) { e.dials.Forget(addr) }

// dial opens a connection and exchanges hello messages.
func (e *Endpoint) dial(addr string) (fireflypath.Member, error) {
	var none fireflypath.Member
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	e.metrics.dialed.Inc(1)
	nc, err := e.network.Dial(ctx, addr)
	if err == nil {
		nc, err = e.tlsHandshake(ctx, nc, tls.Client)
	}
	if err != nil {
		e.metrics.dialFailed.Inc(1)
		return none, errors.Wrapf(err, "connect to %s", addr)
	}
	c := e.newConnection(nc, true)
	var theirs hello
	err = c.conn.Call(ctx, methodHello, hello{Protocol: protocol, Member: e.self(), Packs: true}, &theirs)
	if err == nil && theirs.Protocol != protocol {
		err = errors.Newf("protocol %d", theirs.Protocol)
	}
	if err != nil {
		c.close()
		e.metrics.dialFailed.Inc(1)
		return none, errors.Wrapf(err, "introduction to %s", addr)
	}
	c.completeHello(theirs)
	if !e.spawn(c.run) {
		e.removeConnection(c)
		c.close()
		return none, ErrClosed
	}
	return theirs.Member, nil
}

// spawn runs fn in a goroutine that Close waits for. It returns false if the endpoint is
// closed.
func (e *Endpoint) spawn(fn func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.wg.Go(fn)
	return true
}

// addConnection makes a connection available for calls and calls the OnConnect functions.
func (e *Endpoint) addConnection(c *connection) {
	e.mu.Lock()
	e.connections[c.peer.Name] = append(e.connections[c.peer.Name], c)
	e.updateOpenGauge()
	if !e.monitored && !e.closed {
		e.monitored = true
		e.wg.Go(e.monitor)
	}
	e.mu.Unlock()
	for _, fn := range e.onConnect {
		fn(c.peer)
	}
	c.wake()
}

// updateOpenGauge sets the metric of open connections. The caller holds mu.
func (e *Endpoint) updateOpenGauge() {
	n := 0
	for _, cs := range e.connections {
		n += len(cs)
	}
	e.metrics.open.Update(float64(n))
}

// removeConnection removes a closed connection.
func (e *Endpoint) removeConnection(c *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cs := slices.DeleteFunc(e.connections[c.peer.Name], func(other *connection) bool { return other == c })
	e.connections[c.peer.Name] = cs
	if len(cs) == 0 {
		delete(e.connections, c.peer.Name)
	}
	e.updateOpenGauge()
}

// mostRecentlyActive returns the connection to a daemon that received a message last, or
// nil if there is none.
func (e *Endpoint) mostRecentlyActive(name string) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	var latest *connection
	for _, c := range e.connections[name] {
		if latest == nil || c.lastReceived.Load() > latest.lastReceived.Load() {
			latest = c
		}
	}
	return latest
}

// LastReceived returns the time of the last message from a daemon on an open connection,
// and false if there is no open connection.
func (e *Endpoint) LastReceived(name string) (time.Time, bool) {
	c := e.mostRecentlyActive(name)
	if c == nil {
		return time.Time{}, false
	}
	return time.Unix(0, c.lastReceived.Load()), true
}

// Connected returns the names of the daemons with an open connection, in order.
func (e *Endpoint) Connected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.connections))
	for n := range e.connections {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// SetNeighbours sets the daemons whose connections stay open without calls.
func (e *Endpoint) SetNeighbours(names []string) {
	neighbours := make(map[string]bool, len(names))
	for _, n := range names {
		neighbours[n] = true
	}
	e.mu.Lock()
	e.neighbours = neighbours
	e.mu.Unlock()
}

// Call calls a method of another daemon, over an open connection or a new one. If the
// connection fails, it returns ErrUnreachable and does not retry.
func (e *Endpoint) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	c := e.mostRecentlyActive(to.Name)
	if c == nil {
		m, err := e.Connect(ctx, to.PeerAddr)
		if err != nil {
			return err
		}
		if m.Name != to.Name {
			return errors.Wrapf(ErrUnreachable, "%s is now %s", to.PeerAddr, m.Name)
		}
		if c = e.mostRecentlyActive(to.Name); c == nil {
			return errors.Wrapf(ErrUnreachable, "connection to %s closed", to.Name)
		}
	}
	return c.call(ctx, method, params, result)
}

// monitor checks all connections periodically. With a timer for each of hundreds of
// connections, the timers would wake the process more often than its work does.
func (e *Endpoint) monitor() {
	t := e.clock.NewTicker(e.heartbeatInterval / 4)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.Chan():
		}
		for _, c := range e.openConnections() {
			c.check()
		}
	}
}

// openConnections returns all open connections.
func (e *Endpoint) openConnections() []*connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*connection, 0, len(e.connections))
	for _, cs := range e.connections {
		out = append(out, cs...)
	}
	return out
}

// Close closes all connections and waits for their goroutines.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.wg.Wait()
}

// discardLogger discards the log of jsonrpc2. The metrics count the same events.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

var _ jsonrpc2.Logger = discardLogger{}
