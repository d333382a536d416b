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

// link is one connection to another daemon.
type link struct {
	e      *Endpoint
	conn   *jsonrpc2.Conn
	dialed bool
	opened time.Time
	// heard is when the last message came, in Unix nanoseconds.
	heard atomic.Int64
	// used is when the last call was made or answered, beaten when the last beat was
	// sent and said when anything was, likewise.
	used, beaten, said atomic.Int64
	calls              chan struct{}
	kick               chan struct{}
	// over is true once the connection is to be closed.
	over atomic.Bool

	// bound is closed once conn is set; messages may come before.
	bound chan struct{}
	// once lets either the introduction or the end of the wait for it happen.
	once  sync.Once
	ready chan struct{}
	// peer is set before ready is closed.
	peer fireflypath.Member
}

func (e *Endpoint) newLink(c net.Conn, dialed bool) *link {
	l := &link{
		e: e, dialed: dialed, opened: e.clock.Now(),
		calls: make(chan struct{}, maxCalls), kick: make(chan struct{}, 1), ready: make(chan struct{}),
		bound: make(chan struct{}),
	}
	l.touch()
	l.used.Store(l.opened.UnixNano())
	s := newStream(c, maxMessage, silentBeats*e.beat, e.count)
	l.conn = jsonrpc2.NewConn(e.ctx, s, l, jsonrpc2.SetLogger(quiet{}),
		jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { l.touch() }))
	close(l.bound)
	return l
}

// close ends the connection; closing a closed one does nothing.
func (l *link) close() {
	_ = l.conn.Close()
}

func (l *link) touch() {
	l.heard.Store(l.e.clock.Now().UnixNano())
}

// introduce sets the other side and makes the connection usable.
func (l *link) introduce(m fireflypath.Member) {
	l.once.Do(func() {
		l.peer = m
		l.e.add(l)
		close(l.ready)
	})
}

// giveUp reports whether the wait for an introduction ended without one; none is
// taken from then on.
func (l *link) giveUp() bool {
	l.once.Do(func() {})
	return !l.introduced()
}

func (l *link) introduced() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Handle answers one message. It runs on the connection's reading goroutine,
// so that beats stay in order; calls get their own, up to a bound.
func (l *link) Handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-l.bound
	if l.dialed && !l.introduced() {
		// The other side's first beat may be read before the goroutine that
		// waited for its introduction, which came first, has run.
		select {
		case <-l.ready:
		case <-l.conn.DisconnectNotify():
		}
	}
	switch {
	case r.Method == methodHello:
		l.greet(ctx, r)
	case !l.introduced():
		l.close() // a stranger; welcome counts it
	case r.Method == methodBeat:
		l.take(r)
	default:
		l.answer(ctx, r)
	}
}

// greet answers the introduction on an accepted connection.
//
// The connection is usable here before the other side's next message is read. If
// it became so on another goroutine, a call that answers that message could find
// no connection and would dial a second one, which both sides keep for seconds.
func (l *link) greet(ctx context.Context, r *jsonrpc2.Request) {
	var theirs hello
	if l.dialed || unmarshal(r, &theirs) != nil || theirs.Protocol != protocol || theirs.Member.Name == "" {
		l.close()
		return
	}
	if err := l.conn.Reply(ctx, r.ID, hello{Protocol: protocol, Member: l.e.self()}); err != nil {
		l.close()
		return
	}
	l.introduce(theirs.Member)
}

func (l *link) take(r *jsonrpc2.Request) {
	var b Heartbeat
	if err := unmarshal(r, &b); err != nil {
		l.e.count.malformed.Inc(1)
		l.close()
		return
	}
	for _, s := range l.e.sinks {
		s(l.peer.Name, &b)
	}
}

func unmarshal(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return errMalformed
	}
	return json.Unmarshal(*r.Params, v)
}

func (l *link) answer(ctx context.Context, r *jsonrpc2.Request) {
	select {
	case l.calls <- struct{}{}:
	default:
		l.e.count.busy.Inc(1)
		l.fail(ctx, r, errors.New("too many calls at once"))
		return
	}
	ok := l.e.spawn(func() {
		defer func() { <-l.calls }()
		l.used.Store(l.e.clock.Now().UnixNano())
		l.do(ctx, r)
	})
	if !ok {
		l.close()
	}
}

func (l *link) do(ctx context.Context, r *jsonrpc2.Request) {
	m, ok := l.e.methods[r.Method]
	if !ok || r.Params == nil {
		l.fail(ctx, r, errors.Newf("no method %q", r.Method))
		return
	}
	out, err := m(ctx, l.peer.Name, *r.Params)
	if err != nil {
		l.fail(ctx, r, err)
		return
	}
	l.speak()
	if err := l.conn.Reply(ctx, r.ID, out); err != nil {
		l.close()
	}
}

// speak notes that a call is made or answered.
func (l *link) speak() {
	now := l.e.clock.Now().UnixNano()
	l.used.Store(now)
	l.said.Store(now)
}

func (l *link) fail(ctx context.Context, r *jsonrpc2.Request, cause error) {
	if r.Notif {
		return
	}
	e := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: cause.Error()}
	if err := l.conn.ReplyWithError(ctx, r.ID, e); err != nil {
		l.close()
	}
}

// call asks the other side. An error of the other side itself is returned as
// it is; all else means that the connection failed.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	l.speak()
	err := l.conn.Call(ctx, method, params, result)
	var theirs *jsonrpc2.Error
	if err == nil || errors.As(err, &theirs) {
		return err
	}
	return errors.Mark(errors.Wrapf(err, "call %s at %s", method, l.peer.Name), ErrUnreachable)
}

// run sends beats until the connection ends, is silent or is no longer needed.
func (l *link) run() {
	defer l.e.drop(l)
	defer l.close()
	for {
		select {
		case <-l.conn.DisconnectNotify():
			return
		case <-l.kick:
		}
		if l.over.Load() {
			return
		}
		l.beaten.Store(l.e.clock.Now().UnixNano())
		if l.send() != nil {
			return
		}
	}
}

// look ends a connection that is silent or no longer needed, and has a beat sent if
// one is due.
func (l *link) look() {
	switch {
	case l.silent() || l.unwanted():
		// Closed by run: it may take seconds on a dead connection.
		l.over.Store(true)
		l.wake()
	case l.due():
		l.wake()
	}
}

// due reports that a beat is to be sent. Flushed beats count: a daemon that shares
// its demand every second does not send another beat for the connection's sake. With
// less slack, a beat would often go out right before the flushed one. To a daemon
// that is no neighbour, calls and their answers tell as well that this one lives.
func (l *link) due() bool {
	l.e.mu.Lock()
	neighbour := l.e.neighbour(l.peer.Name)
	l.e.mu.Unlock()
	last := l.beaten.Load()
	if !neighbour {
		last = max(last, l.said.Load())
	}
	return time.Duration(l.e.clock.Now().UnixNano()-last) > l.e.beat*9/8
}

// silent reports a connection that brought nothing for too long. Something
// between the two ends may have lost track of it: writes still succeed, and
// only the missing beats of the other side tell. New connections work, so it
// is closed and the membership opens another.
func (l *link) silent() bool {
	gone := l.e.clock.Now().UnixNano() - l.heard.Load()
	if time.Duration(gone) < silentBeats*l.e.beat {
		return false
	}
	l.e.count.silent.Inc(1)
	l.e.log.Info("connection to a daemon fell silent", zap.String("peer", l.peer.Name))
	return true
}

// unwanted reports a connection that its dialer should close: an idle one to a
// daemon that is no neighbour, or one of two, of which the one dialed by the
// lower name stays.
func (l *link) unwanted() bool {
	if !l.dialed {
		return false
	}
	self := l.e.self().Name
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	now := l.e.clock.Now()
	if !l.e.keep[l.peer.Name] && now.Sub(time.Unix(0, l.used.Load())) > idleAfter {
		return true
	}
	for _, o := range l.e.links[l.peer.Name] {
		settled := now.Sub(o.opened) > silentBeats*l.e.beat && now.Sub(l.opened) > silentBeats*l.e.beat
		older := o.dialed && o.opened.Before(l.opened)
		if o != l && settled && (older || !o.dialed && l.peer.Name < self) {
			l.e.count.duplicate.Inc(1)
			return true
		}
	}
	return false
}

// send builds and sends one beat.
func (l *link) send() error {
	var b Heartbeat
	for _, s := range l.e.sources {
		s(l.peer.Name, &b)
	}
	return l.conn.Notify(l.e.ctx, methodBeat, &b)
}
