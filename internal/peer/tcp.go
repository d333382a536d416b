package peer

import (
	"context"
	"net"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/socket"
)

// dialTimeout limits a TCP connect. The round trip between daemons takes about a
// millisecond, and TCP sends a lost SYN again after a second.
const dialTimeout = 1500 * time.Millisecond

// receiveBuffer is how many unread bytes the kernel holds for a connection that a peer has opened.
const receiveBuffer = 32 << 10

// TCP implements fireflypath.Network over TCP.
type TCP struct{}

var _ fireflypath.Network = TCP{}

// Dial opens a connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen accepts connections.
func (TCP) Listen(addr string) (net.Listener, error) {
	return socket.Listen(addr, receiveBuffer)
}
