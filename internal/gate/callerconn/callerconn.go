// Package callerconn controls what the connection of a caller holds and how it ends.
package callerconn

import (
	"context"
	"net"
	"net/http"

	"github.com/fireflypath/fireflypath/internal/connlimit"
	"github.com/fireflypath/fireflypath/internal/socket"
)

const (
	// ReceiveBuffer is what a connection may hold in the kernel while no large body is read from it, in
	// bytes. It is enough for most requests.
	ReceiveBuffer = 8 << 10
	// LargeReceiveBuffer is the same while a large body is read. It carries 30 MB/s to a caller that is 2 ms
	// away.
	LargeReceiveBuffer = 64 << 10
)

// Conn is the connection of a caller. A nil Conn, of a server without Context, does nothing.
type Conn struct {
	tcp *net.TCPConn
	// limited is nil for the connection of a listener without a limit.
	limited *connlimit.Conn
	// guarded is true while each close resets the connection. Only the handler of the connection's
	// current request uses it.
	guarded bool
}

type contextKey struct{}

// Context returns a context from which From gets the connection. It is the ConnContext of a server.
func Context(ctx context.Context, c net.Conn) context.Context {
	conn := &Conn{limited: connlimit.From(c)}
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	switch t := c.(type) {
	case *connlimit.Conn:
		conn.tcp = t.TCPConn
	case *net.TCPConn:
		conn.tcp = t
	default:
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, conn)
}

// From returns the connection of a request's context, or nil.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// SetState records the state of a connection with its listener. It is the ConnState of a server.
func SetState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		connlimit.From(c).SetReceiving()
	case http.StateIdle:
		connlimit.From(c).SetIdle()
	default:
		// New connections are idle, and closed ones tell their listener themselves.
	}
}

// Excess reports whether the connection is above its listener's limit.
func (c *Conn) Excess() bool { return c != nil && c.limited.Excess() }

// SetBusy records that the whole request has arrived. It reports false if the connection was closed before.
func (c *Conn) SetBusy() bool { return c == nil || c.limited.SetBusy() }

// Touch records that a request which is being received has made progress.
func (c *Conn) Touch() {
	if c != nil {
		c.limited.Touch()
	}
}

// Readable reports whether bytes have arrived that were not read yet. It is false for a nil Conn.
func (c *Conn) Readable() bool {
	if c == nil {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	return err == nil && socket.Readable(raw)
}

// EnlargeReceiveBuffer lets the kernel hold LargeReceiveBuffer bytes for the connection. It reports whether that
// was done: a connection whose listener bounds nothing has a larger buffer already.
func (c *Conn) EnlargeReceiveBuffer() bool {
	return c != nil && c.limited != nil && socket.ResizeReceiveBuffer(c.tcp, LargeReceiveBuffer) == nil
}

// Guard makes the connection end with a reset, whoever closes it, until Release. An answer that ends
// with its connection would look complete if this daemon stopped or died in the middle of it.
func (c *Conn) Guard() error {
	if c == nil {
		return nil
	}
	c.guarded = true
	return socket.ResetOnClose(c.tcp, true)
}

// Release makes the connection end in order again, after all bytes that were written.
func (c *Conn) Release() error {
	if c == nil || !c.guarded {
		return nil
	}
	c.guarded = false
	return socket.ResetOnClose(c.tcp, false)
}

// Break closes a guarded connection with a reset. It bypasses TLS, which would announce an end in order.
func (c *Conn) Break() {
	if c != nil && c.guarded {
		// An error means that the connection is closed already.
		_ = c.tcp.Close()
	}
}
