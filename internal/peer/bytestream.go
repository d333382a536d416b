package peer

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath/internal/socket"
)

// streamMarker is the first byte of a connection that carries a stream of bytes instead of messages.
// The length of a message never begins with it.
const streamMarker byte = 'S'

// StreamHandler serves a stream of bytes that a peer has opened. The connection is closed when it
// returns.
type StreamHandler func(ctx context.Context, c *ByteStream)

// ByteStream is a connection to another daemon that carries bytes for one purpose.
type ByteStream struct {
	net.Conn
	tcp net.Conn
}

// SyscallConn implements syscall.Conn.
func (s *ByteStream) SyscallConn() (syscall.RawConn, error) {
	c, ok := s.tcp.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T has no socket", s.tcp)
	}
	return c.SyscallConn()
}

// Guard makes the stream end with a reset, whoever closes it, until CloseWrite. The peer would read
// the end of this daemon as that of the bytes.
func (s *ByteStream) Guard() error { return socket.ResetOnClose(s.tcp, true) }

// CloseWrite ends the direction to the peer, which reads io.EOF.
func (s *ByteStream) CloseWrite() error {
	if err := socket.ResetOnClose(s.tcp, false); err != nil {
		return err
	}
	if c, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return s.Close()
}

// Reset closes the connection so that the peer reads an error and not the end of the stream.
func (s *ByteStream) Reset() {
	// An error means that the connection is closed already.
	_ = socket.ResetOnClose(s.tcp, true)
	s.tcp.Close()
}

// HandleStreams sets the handler of streams. It must be called before Serve.
func (e *Endpoint) HandleStreams(h StreamHandler) { e.streamHandler = h }

// OpenStream opens a stream to the daemon at an address.
func (e *Endpoint) OpenStream(ctx context.Context, addr string) (*ByteStream, error) {
	tcp, err := e.network.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	nc, err := e.tlsHandshake(ctx, tcp, tls.Client)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	if _, err := nc.Write([]byte{streamMarker}); err != nil {
		nc.Close()
		return nil, errors.Mark(err, ErrUnreachable)
	}
	return &ByteStream{Conn: nc, tcp: tcp}, nil
}

// serveStream runs the handler of streams until it returns or the endpoint is closed.
func (e *Endpoint) serveStream(nc net.Conn) {
	defer nc.Close()
	if e.streamHandler == nil {
		return
	}
	tcp := nc
	if c, ok := nc.(*tls.Conn); ok {
		tcp = c.NetConn()
	}
	stop := context.AfterFunc(e.ctx, func() { tcp.Close() })
	defer stop()
	e.streamHandler(e.ctx, &ByteStream{Conn: nc, tcp: tcp})
}

// readStreamMarker reads the first byte of an accepted connection. If it carries messages, the
// returned connection begins with that byte again.
func readStreamMarker(ctx context.Context, nc net.Conn) (_ net.Conn, isStream bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = nc.SetReadDeadline(time.Unix(1, 0)) })
	first := make([]byte, 1)
	_, err = nc.Read(first)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		nc.Close()
		return nil, false, errors.Wrap(err, "read the first byte of a peer")
	}
	if first[0] == streamMarker {
		return nc, true, nil
	}
	return &unreadConn{Conn: nc, first: first}, false, nil
}

// unreadConn returns bytes again that were read from its connection.
type unreadConn struct {
	net.Conn
	first []byte
}

func (c *unreadConn) Read(b []byte) (int, error) {
	if len(c.first) > 0 {
		n := copy(b, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}
