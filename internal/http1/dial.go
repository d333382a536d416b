package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath"
)

const (
	// dialTimeout bounds the time to connect. Targets are a few milliseconds away. The
	// host of a target that is down accepts no connection, and the request is then sent
	// to another target.
	dialTimeout = 400 * time.Millisecond
	// userTimeout closes a connection whose bytes are not acknowledged: a host that lost
	// power sends nothing, not even a reset.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive
	// probes. They detect a dead connection while a target works on a long response and
	// sends nothing.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

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
}

// Direct connects to targets without a daemon in between.
type Direct struct {
	// Source is the local IP address of the connections. If it is nil, the system chooses one.
	Source net.IP
}

var _ Dialer = Direct{}

// Dial implements Dialer.
func (d Direct) Dial(ctx context.Context, target fireflypath.Target) (Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
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
	raw, err := tc.SyscallConn()
	if err != nil {
		nc.Close()
		return nil, errors.Mark(err, fireflypath.ErrUnsent)
	}
	// The connection works without the option as well, but a dead one is detected later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return tc, nil
}

// isUnreachable reports whether dialing failed because of the target or the network, and
// not because of a local cause such as a lack of file descriptors.
func isUnreachable(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() ||
		errors.IsAny(err, unix.ECONNREFUSED, unix.ECONNRESET, unix.EHOSTUNREACH, unix.ENETUNREACH)
}
