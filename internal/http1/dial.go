package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/socket"
)

const (
	// dialTimeout bounds the time to connect. Targets are a few milliseconds away. The
	// host of a target that is down accepts no connection, and the request is then sent
	// to another target.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle and keepAliveInterval configure the TCP keep-alive probes. They detect a dead
	// connection while a target works on a long response and sends nothing.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// userTimeout closes a connection on which nothing is acknowledged: a host that lost power
	// sends nothing, not even a reset. It also ends the probes, and then counts from the last
	// packet received, a second before the first probe. So it takes the loss of three probes in a
	// row; a sound target that is silent for less than two seconds answers one of them.
	userTimeout = 4 * time.Second
)

// receiveBuffer is how many unread bytes of a target's answer the kernel holds. The rest stays at the target
// until the caller has read what came before.
const receiveBuffer = 64 << 10

// Conn is a connection whose socket can be inspected.
type Conn interface {
	net.Conn
	syscall.Conn
}

// Dialer connects to targets.
type Dialer interface {
	// Dial returns a new connection. Its errors are marked with fireflypath.ErrUnsent, and also
	// with fireflypath.ErrUnreachable if the target accepted no connection.
	Dial(ctx context.Context, target fireflypath.Target) (Conn, error)
	// Trusted reports whether a connection that has been idle since the given time may carry
	// another request.
	Trusted(c Conn, target fireflypath.Target, idleSince time.Time) bool
	// ReportAnswer records that a target answers over a connection.
	ReportAnswer(c Conn)
	// ReportLoss records that a connection was lost while it carried a request. It reports whether
	// the target may have caused that, and not the path to it.
	ReportLoss(c Conn, target fireflypath.Target) (byTarget bool)
	// IsDirect reports whether a connection leads to the target without another daemon in between.
	IsDirect(c Conn) bool
}

// Direct connects to targets without a daemon in between.
type Direct struct {
	// Source is the local IP address of the connections. If it is nil, the system chooses one.
	Source net.IP
}

var _ Dialer = Direct{}

// Dial implements Dialer.
func (d Direct) Dial(ctx context.Context, target fireflypath.Target) (Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: socket.LimitReceiveBuffer(receiveBuffer)}
	if d.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: d.Source}
	}
	nc, err := dialer.DialContext(ctx, "tcp", target.Addr)
	if err != nil {
		err = errors.Mark(err, fireflypath.ErrUnsent)
		if ctx.Err() == nil && isUnreachable(err) {
			err = errors.Mark(err, fireflypath.ErrUnreachable)
		}
		return nil, err
	}
	tc := nc.(*net.TCPConn)
	// The connection works without the option as well, but a dead one is detected later.
	_ = DetectLoss(tc)
	return tc, nil
}

// DetectLoss has the connection closed when its other end no longer acknowledges anything.
func DetectLoss(c syscall.Conn) error {
	return socket.SetKeepAlive(c, keepAliveIdle, keepAliveInterval, userTimeout)
}

// Trusted implements Dialer.
func (Direct) Trusted(Conn, fireflypath.Target, time.Time) bool { return true }

// ReportAnswer implements Dialer.
func (Direct) ReportAnswer(Conn) {}

// ReportLoss implements Dialer.
func (Direct) ReportLoss(Conn, fireflypath.Target) bool { return true }

// IsDirect implements Dialer.
func (Direct) IsDirect(Conn) bool { return true }

// isUnreachable reports whether dialing failed because of the target or the network, and
// not because of a local cause such as a lack of file descriptors.
func isUnreachable(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() ||
		errors.IsAny(err, unix.ECONNREFUSED, unix.ECONNRESET, unix.EHOSTUNREACH, unix.ENETUNREACH)
}
