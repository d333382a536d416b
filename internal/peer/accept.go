package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath/internal/connlimit"
)

// Serve accepts connections until the endpoint or the listener is closed.
func (e *Endpoint) Serve(ln net.Listener) error {
	stop := context.AfterFunc(e.ctx, func() { ln.Close() })
	defer stop()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if e.ctx.Err() != nil {
				return ErrClosed
			}
			return errors.Wrap(err, "accept a peer connection")
		}
		e.accept(nc)
	}
}

// accept serves an incoming connection, or closes it if there are too many.
func (e *Endpoint) accept(nc net.Conn) {
	e.mu.Lock()
	full := e.closed || e.accepted >= MaxAcceptedConnections
	if !full {
		e.accepted++
		e.wg.Go(func() { e.serveConn(nc) })
	}
	e.mu.Unlock()
	if full {
		e.metrics.refused.Inc(1)
		nc.Close()
	}
}

// serveConn waits for the hello of the peer and serves the connection until it ends.
func (e *Endpoint) serveConn(nc net.Conn) {
	defer func() {
		e.mu.Lock()
		e.accepted--
		e.mu.Unlock()
	}()
	limited := connlimit.From(nc)
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	nc, err := e.tlsHandshake(ctx, nc, tls.Server)
	if err != nil {
		e.metrics.handshakeFailures.Inc(1)
		return
	}
	nc, isStream, err := readStreamMarker(ctx, nc)
	switch {
	case err != nil:
		e.metrics.handshakeFailures.Inc(1)
		return
	case isStream:
		limited.SetBusy()
		e.serveStream(nc)
		return
	}
	c := e.newConnection(nc, false)
	select {
	case <-c.ready:
	case <-c.conn.DisconnectNotify():
	case <-ctx.Done():
	}
	if c.abandonHello() {
		e.metrics.handshakeFailures.Inc(1)
		c.close()
		return
	}
	limited.SetBusy() // a peer that is known makes no room for strangers
	c.run()
}

// tlsHandshake does the TLS handshake if TLS is configured. It closes nc on failure.
func (e *Endpoint) tlsHandshake(ctx context.Context, nc net.Conn, newTLSConn func(net.Conn, *tls.Config) *tls.Conn) (net.Conn, error) {
	if e.tlsConfig == nil {
		return nc, nil
	}
	tlsConn := newTLSConn(nc, e.tlsConfig)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, errors.Wrap(err, "handshake with a peer")
	}
	return tlsConn, nil
}
