package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

// connection is a connection to another daemon.
type connection struct {
	endpoint *Endpoint
	conn     *jsonrpc2.Conn
	stream   *stream
	dialed   bool
	openedAt time.Time
	// lastReceived is the time of the last message received, in Unix nanoseconds.
	lastReceived atomic.Int64
	// lastCall is the time when a call was last made or handled, lastHeartbeat when a
	// heartbeat was last sent, and lastSent when a call or its result was last sent, in
	// Unix nanoseconds as well.
	lastCall, lastHeartbeat, lastSent atomic.Int64
	callSlots                         chan struct{}
	wakeup                            chan struct{}
	// closing tells run to close the connection.
	closing atomic.Bool

	// connSet is closed once conn is set. The first message may arrive before that.
	connSet chan struct{}
	// helloOnce ensures that only one of completeHello and abandonHello takes effect.
	helloOnce sync.Once
	ready     chan struct{}
	// peer is set before ready is closed, which happens once the hello exchange is
	// complete.
	peer fireflypath.Member
	// packs is true if the peer reads PackedUpdates. It is set together with peer.
	packs bool
}

func (e *Endpoint) newConnection(nc net.Conn, dialed bool) *connection {
	c := &connection{
		endpoint: e, dialed: dialed, openedAt: e.clock.Now(),
		callSlots: make(chan struct{}, maxConcurrentCalls), wakeup: make(chan struct{}, 1), ready: make(chan struct{}),
		connSet: make(chan struct{}),
	}
	c.recordReceived()
	c.lastCall.Store(c.openedAt.UnixNano())
	limit := maxHelloSize
	if dialed {
		limit = maxMessageSize // its peer's first heartbeat may be read before the hello is complete
	}
	s := newStream(nc, limit, maxMissedHeartbeats*e.heartbeatInterval, e.metrics)
	c.stream = s
	c.conn = jsonrpc2.NewConn(e.ctx, s, c, jsonrpc2.SetLogger(discardLogger{}),
		jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { c.recordReceived() }))
	close(c.connSet)
	return c
}

// close closes the connection. It may be called more than once.
func (c *connection) close() {
	_ = c.conn.Close()
}

// recordReceived records that a message was received.
func (c *connection) recordReceived() {
	c.lastReceived.Store(c.endpoint.clock.Now().UnixNano())
}

// completeHello sets the peer and makes the connection available for calls.
func (c *connection) completeHello(theirs hello) {
	c.helloOnce.Do(func() {
		c.peer, c.packs = theirs.Member, theirs.Packs
		c.stream.limit.Store(maxMessageSize)
		c.endpoint.addConnection(c)
		close(c.ready)
	})
}

// abandonHello ends the wait for the hello of the peer. It reports whether none was
// received; a later one is ignored.
func (c *connection) abandonHello() bool {
	c.helloOnce.Do(func() {})
	return !c.helloDone()
}

// helloDone reports whether the hello exchange is complete.
func (c *connection) helloDone() bool {
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

// wake makes run send a heartbeat, or close the connection if closing is set.
func (c *connection) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Handle implements jsonrpc2.Handler. It runs on the goroutine that reads the connection, so
// that heartbeats are processed in order. Calls run in goroutines of their own.
func (c *connection) Handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-c.connSet
	if c.dialed && !c.helloDone() {
		// The peer's first heartbeat may be read before the goroutine that waits for
		// its hello, which was received first, has run.
		select {
		case <-c.ready:
		case <-c.conn.DisconnectNotify():
		}
	}
	switch {
	case r.Method == methodHello:
		c.handleHello(ctx, r)
	case !c.helloDone():
		c.close() // serveConn counts it
	case r.Method == methodHeartbeat:
		c.handleHeartbeat(r)
	default:
		c.handleCall(ctx, r)
	}
}

// handleHello replies to the hello of the peer on an accepted connection.
//
// It makes the connection available for calls before the peer's next message is read. In
// another goroutine, a call made in response to that message could find no connection and
// dial a second one, which both daemons would keep for seconds.
func (c *connection) handleHello(ctx context.Context, r *jsonrpc2.Request) {
	var theirs hello
	if c.dialed || unmarshal(r, &theirs) != nil || theirs.Protocol != protocol || theirs.Member.Name == "" {
		c.close()
		return
	}
	if err := c.conn.Reply(ctx, r.ID, hello{Protocol: protocol, Member: c.endpoint.self(), Packs: true}); err != nil {
		c.close()
		return
	}
	c.completeHello(theirs)
}

// handleHeartbeat passes a heartbeat to the sinks.
func (c *connection) handleHeartbeat(r *jsonrpc2.Request) {
	var hb Heartbeat
	err := unmarshal(r, &hb)
	if err == nil {
		err = hb.unpack()
	}
	if err != nil {
		c.endpoint.metrics.malformed.Inc(1)
		c.close()
		return
	}
	for _, sink := range c.endpoint.sinks {
		sink(c.peer.Name, &hb)
	}
}

// unmarshal decodes the parameters of a request.
func unmarshal(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return errMalformed
	}
	return json.Unmarshal(*r.Params, v)
}

// handleCall runs the handler of a call in a new goroutine, or refuses the call if too many
// are running.
func (c *connection) handleCall(ctx context.Context, r *jsonrpc2.Request) {
	select {
	case c.callSlots <- struct{}{}:
	default:
		c.endpoint.metrics.busy.Inc(1)
		c.replyError(ctx, r, errors.New("too many calls at once"))
		return
	}
	ok := c.endpoint.spawn(func() {
		defer func() { <-c.callSlots }()
		c.lastCall.Store(c.endpoint.clock.Now().UnixNano())
		c.runHandler(ctx, r)
	})
	if !ok {
		c.close()
	}
}

// runHandler runs the handler of a call and sends the reply.
func (c *connection) runHandler(ctx context.Context, r *jsonrpc2.Request) {
	handler, ok := c.endpoint.handlers[r.Method]
	if !ok || r.Params == nil {
		c.replyError(ctx, r, errors.Newf("no method %q", r.Method))
		return
	}
	result, err := handler(ctx, c.peer.Name, *r.Params)
	if err != nil {
		c.replyError(ctx, r, err)
		return
	}
	c.recordCall()
	if err := c.conn.Reply(ctx, r.ID, result); err != nil {
		c.close()
	}
}

// recordCall records that a call or its result is sent.
func (c *connection) recordCall() {
	now := c.endpoint.clock.Now().UnixNano()
	c.lastCall.Store(now)
	c.lastSent.Store(now)
}

// replyError sends an error as the reply to a call.
func (c *connection) replyError(ctx context.Context, r *jsonrpc2.Request, cause error) {
	if r.Notif {
		return
	}
	e := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: cause.Error()}
	if err := c.conn.ReplyWithError(ctx, r.ID, e); err != nil {
		c.close()
	}
}

// call calls a method of the peer. It returns an error of the handler unchanged and marks
// all others, which mean that the connection failed, with ErrUnreachable.
func (c *connection) call(ctx context.Context, method string, params, result any) error {
	c.recordCall()
	err := c.conn.Call(ctx, method, params, result)
	var theirs *jsonrpc2.Error
	if err == nil || errors.As(err, &theirs) {
		return err
	}
	return errors.Mark(errors.Wrapf(err, "call %s at %s", method, c.peer.Name), ErrUnreachable)
}

// run sends heartbeats until the connection is closed, by the peer or by check.
func (c *connection) run() {
	defer c.endpoint.removeConnection(c)
	defer c.close()
	for {
		select {
		case <-c.conn.DisconnectNotify():
			return
		case <-c.wakeup:
		}
		if c.closing.Load() {
			return
		}
		c.lastHeartbeat.Store(c.endpoint.clock.Now().UnixNano())
		if c.sendHeartbeat() != nil {
			return
		}
	}
}

// check closes the connection if it is silent or no longer needed, and sends a heartbeat if
// one is due.
func (c *connection) check() {
	switch {
	case c.silent() || c.idleOrDuplicate():
		// The goroutine of run closes it, because closing a dead connection may take
		// seconds.
		c.closing.Store(true)
		c.wake()
	case c.heartbeatDue():
		c.wake()
	}
}

// heartbeatDue reports whether a heartbeat has to be sent to keep the connection alive.
//
// Heartbeats sent by a flush count, so that a daemon that announces its demand every second
// sends no others. The extra eighth of the interval prevents a heartbeat right before such
// a flush. To a daemon that is not a neighbour, calls and their results also show that this
// daemon is alive.
func (c *connection) heartbeatDue() bool {
	c.endpoint.mu.Lock()
	neighbour := c.endpoint.isNeighbour(c.peer.Name)
	c.endpoint.mu.Unlock()
	last := c.lastHeartbeat.Load()
	if !neighbour {
		last = max(last, c.lastSent.Load())
	}
	return time.Duration(c.endpoint.clock.Now().UnixNano()-last) > c.endpoint.heartbeatInterval*9/8
}

// silent reports whether nothing was received for too long, and counts and logs it. A device
// between the two ends may have lost track of the connection. Writes still succeed then, and
// only the missing heartbeats of the peer show it. New connections work, so this one is
// closed and the membership opens another.
func (c *connection) silent() bool {
	elapsed := c.endpoint.clock.Now().UnixNano() - c.lastReceived.Load()
	if time.Duration(elapsed) < maxMissedHeartbeats*c.endpoint.heartbeatInterval {
		return false
	}
	c.endpoint.metrics.silent.Inc(1)
	c.endpoint.log.Info("closing connection: no message from peer", zap.String("peer", c.peer.Name))
	return true
}

// idleOrDuplicate reports whether this daemon, having dialed the connection, should close
// it: because it is idle and the peer is not a neighbour, or because there is another
// connection to the peer. Of two connections dialed by different ends, the one dialed by the
// daemon with the lower name stays; of two dialed by this daemon, the older one.
func (c *connection) idleOrDuplicate() bool {
	if !c.dialed {
		return false
	}
	self := c.endpoint.self().Name
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	now := c.endpoint.clock.Now()
	if !c.endpoint.neighbours[c.peer.Name] && now.Sub(time.Unix(0, c.lastCall.Load())) > idleTimeout {
		return true
	}
	for _, other := range c.endpoint.connections[c.peer.Name] {
		settled := now.Sub(other.openedAt) > maxMissedHeartbeats*c.endpoint.heartbeatInterval && now.Sub(c.openedAt) > maxMissedHeartbeats*c.endpoint.heartbeatInterval
		older := other.dialed && other.openedAt.Before(c.openedAt)
		if other != c && settled && (older || !other.dialed && c.peer.Name < self) {
			c.endpoint.metrics.duplicate.Inc(1)
			return true
		}
	}
	return false
}

// sendHeartbeat builds a heartbeat from all sources and sends it.
func (c *connection) sendHeartbeat() error {
	var hb Heartbeat
	for _, source := range c.endpoint.sources {
		source(c.peer.Name, &hb)
	}
	if c.packs {
		if err := hb.pack(); err != nil {
			return err
		}
	}
	return c.conn.Notify(c.endpoint.ctx, methodHeartbeat, &hb)
}
