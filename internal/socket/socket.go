// Package socket opens listeners, queries the state of connections without reading from them, and sets what
// they hold and how they end.
package socket

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Readable reports whether a read would return without waiting, because there are bytes to
// read, the other side closed the connection or the socket has an error.
func Readable(raw syscall.RawConn) bool {
	ready := false
	err := raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		ready = err != nil || n != 0
	})
	return ready || err != nil
}

// SetKeepAlive has the system probe an idle connection, first after idle and then once in each
// interval, and close it when sent bytes or probes have not been acknowledged for the time
// userTimeout. Of a connection that was idle, that time counts from the last packet received on it.
// A number of probes is not set, as the system ignores it beside userTimeout.
func SetKeepAlive(c syscall.Conn, idle, interval, userTimeout time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) {
		options := []struct{ level, name, value int }{
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(idle.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(interval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())},
		}
		for _, o := range options {
			if err := unix.SetsockoptInt(int(fd), o.level, o.name, o.value); err != nil {
				result = err
			}
		}
	})
	if err != nil {
		return err
	}
	return result
}

// Unanswered reports whether the other end has not acknowledged the last probe or bytes of an idle
// connection. It is false where the system does not tell.
func Unanswered(raw syscall.RawConn) bool {
	unanswered := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unanswered = err == nil && (info.Probes > 0 || info.Unacked > 0 || info.Retransmits > 0)
	})
	return unanswered && err == nil
}

const (
	// lingerReset makes a close discard what is unsent and reset the connection, lingerSend makes it
	// send what is left and end the connection in order.
	lingerReset = 0
	lingerSend  = -1
)

// ResetOnClose sets whether a connection ends with a reset when it is closed, by this process or by its
// death, or in order. Only the one that reads at the other end tells the two apart.
func ResetOnClose(c net.Conn, reset bool) error {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	l, ok := c.(interface{ SetLinger(sec int) error })
	if !ok {
		return nil // not a socket
	}
	if reset {
		return l.SetLinger(lingerReset)
	}
	return l.SetLinger(lingerSend)
}

// acceptRetryDelay is the pause after a failed accept, in which connections end and free descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Listen opens a TCP listener whose connections hold at most about receiveBuffer unread bytes each in the
// kernel, and whose Accept goes on after a temporary lack of descriptors.
//
// The kernel would otherwise let each connection's buffer grow to tens of MB, so that clients that send more
// than is read exhaust the host's memory. And a server that stops at the first error of Accept stays
// unreachable until it is started again.
func Listen(addr string, receiveBuffer int) (net.Listener, error) {
	lc := net.ListenConfig{Control: LimitReceiveBuffer(receiveBuffer)}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return retryingListener{ln}, nil
}

// LimitReceiveBuffer returns the Control function of a listener or dialer whose connections hold at most about
// size unread bytes in the kernel. A system that does not support that keeps limits of its own.
func LimitReceiveBuffer(size int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		_ = setReceiveBuffer(raw, size)
		return nil
	}
}

// setReceiveBuffer bounds the unread bytes of a connection. The kernel doubles the value for its own
// overhead. A listener's value holds for the connections that it accepts.
func setReceiveBuffer(raw syscall.RawConn, size int) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	return cmp.Or(err, result)
}

// ResizeReceiveBuffer changes how many unread bytes an accepted connection holds.
func ResizeReceiveBuffer(c syscall.Conn, size int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if err := setReceiveBuffer(raw, size); err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) {
		// The window of a connection is otherwise bound by the buffer that its listener had.
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
	return cmp.Or(err, result)
}

// retryingListener goes on after temporary errors.
type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// isTemporary reports whether an accept may succeed later: there is a lack of descriptors or memory, or the
// connection ended before it was accepted.
func isTemporary(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
