package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/targets"
	"github.com/fireflypath/fireflypath/internal/duplex"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/memory"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// MaxServed limits the connections that a daemon passes on at a time.
	MaxServed = 256
	// openTimeout bounds the exchange that opens a tunnel.
	openTimeout = time.Second
	// closeTimeout is how long a peer may take to close a tunnel whose target has closed its end.
	closeTimeout = 10 * time.Second
	// copyBufferSize is the size of the buffer of each direction, in bytes.
	copyBufferSize = 4 << 10
	// drainPollInterval is how often a stopping daemon looks whether its tunnels have ended.
	drainPollInterval = 20 * time.Millisecond
)

// server is the state of the connections that this daemon passes on.
type server struct {
	mu sync.Mutex
	// open counts the tunnels, limit bounds them.
	open, limit int
	// stopping is true once no more tunnels are opened.
	stopping bool
	// list holds the targets of config by identity.
	config *fireflypath.Config
	list   targets.List
}

// LimitServed sets how many connections this daemon passes on at a time. It must be called before peers
// connect.
func (t *Tunnel) LimitServed(n int) { t.server.limit = n }

// serve connects a peer to a target.
func (t *Tunnel) serve(ctx context.Context, s *peer.ByteStream) {
	// Errors of deadlines mean that the connection is closed, which the next call reports.
	_ = s.SetDeadline(t.clock.Now().Add(openTimeout))
	var request openRequest
	if readMessage(s, &request) != nil {
		return
	}
	c, refused := t.connect(ctx, request.Target)
	if writeMessage(s, openResponse{Refusal: refused}) != nil || c == nil {
		t.metrics.refused.Inc(1)
		if c != nil {
			c.Close()
			t.endServing()
		}
		return
	}
	defer t.endServing()
	held := t.memory.Reserve(memory.KindTunnels)
	defer held.Close()
	held.Add(2 * copyBufferSize)
	t.metrics.served.Inc(1)
	_ = s.SetDeadline(time.Time{})
	setTimeouts(s)
	if err := s.Guard(); err != nil {
		t.log.Info("end of tunnel could not be set", logs.Err(err))
	}
	passBytes(s, c)
}

// connect connects to a target for a peer. Only targets that this daemon uses itself are connected
// to, and only over the direct path.
func (t *Tunnel) connect(ctx context.Context, identity string) (http1.Conn, refusal) {
	target, ok := t.findTarget(identity)
	now := t.clock.Now()
	switch {
	case !ok || target.Drained:
		return nil, refusalUnknown
	case t.paths.Isolated(now):
		return nil, refusalUnfit
	case t.paths.Lost(now, target.Addr):
		return nil, refusalDown
	case t.memory.Full() || !t.beginServing():
		return nil, refusalUnfit
	}
	c, err := t.dialDirect(ctx, target)
	if err == nil {
		return c, refusalNone
	}
	t.endServing()
	if t.paths.Isolated(t.clock.Now()) {
		return nil, refusalUnfit
	}
	return nil, refusalDown
}

// findTarget returns the target of the current configuration with the identity.
func (t *Tunnel) findTarget(identity string) (fireflypath.Target, bool) {
	cfg := t.configs.Current()
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	if t.server.config != cfg {
		t.server.config = cfg
		t.server.list.Replace(cfg.Targets)
	}
	return t.server.list.FindIdentity(identity)
}

// beginServing counts a tunnel. It reports false if there are too many.
func (t *Tunnel) beginServing() bool {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	if t.server.stopping || t.server.open >= t.server.limit {
		return false
	}
	t.server.open++
	t.metrics.open.Update(float64(t.server.open))
	return true
}

func (t *Tunnel) endServing() {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.server.open--
	t.metrics.open.Update(float64(t.server.open))
}

// Drain opens no more tunnels for peers and waits until the open ones have ended. Peers close theirs
// after the request that they carry once they know that this daemon is leaving.
func (t *Tunnel) Drain(ctx context.Context) {
	for {
		t.server.mu.Lock()
		t.server.stopping = true
		open := t.server.open
		t.server.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(drainPollInterval):
		}
	}
}

// passBytes passes bytes between a peer and a target until one of them ends its connection. The end
// of the target's bytes reaches the peer as such, a broken connection as a broken one: an answer
// without a length ends with its connection, and must not look complete if it is not.
func passBytes(s *peer.ByteStream, c http1.Conn) {
	target := duplex.New(c)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer target.Close()
		// An error means that the peer has left, as does the end of its bytes.
		_ = copyBytes(target, s)
	})
	if err := copyBytes(s, target); err != nil {
		s.Reset()
	} else {
		_ = s.CloseWrite()
		_ = s.SetReadDeadline(time.Now().Add(closeTimeout))
	}
	wg.Wait()
}

// copyBytes copies until the end of the bytes.
func copyBytes(to net.Conn, from net.Conn) error {
	b := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
