package peer

import (
	"context"
	"net"
	"time"

	"github.com/fireflypath/fireflypath"
)

// dialTimeout bounds a TCP connect; daemons are about a millisecond apart
// (brief, "Sizes of today"), and a lost SYN is sent again after a second.
const dialTimeout = 1500 * time.Millisecond

// TCP is the network of a daemon.
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
