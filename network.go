package fireflypath

import (
	"context"
	"net"
)

// Network provides the connections between daemons.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}
