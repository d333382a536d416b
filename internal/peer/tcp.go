package peer

import (
	"context"
	"net"
	"time"

	"github.com/fireflypath/fireflypath"
)

// dialTimeout limits a TCP connect. The round trip between daemons takes about a
// millisecond, and TCP sends a lost SYN again after a second.
const dialTimeout = 1500 * time.Millisecond

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
	return net.Listen("tcp", addr)
}
