// Package callerconn controls how the connection of a caller ends.
package callerconn

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/fireflypath/fireflypath/internal/socket"
)

// Conn is the connection of a caller. A nil Conn, of a server without Context, does nothing.
type Conn struct {
	tcp *net.TCPConn
	// guarded is true while each close resets the connection. Only the handler of the connection's
	// current request uses it.
	guarded bool
}

type contextKey struct{}

// Context returns a context from which From gets the connection. It is the ConnContext of a server.
func Context(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, &Conn{tcp: tcp})
}

// From returns the connection of a request's context, or nil.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
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
