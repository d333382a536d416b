package tunnel

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/path"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// dialTimeout bounds the time to connect over any path.
	dialTimeout = 600 * time.Millisecond
	// directHeadStart is how long the direct path is tried alone. A connection normally takes a
	// few milliseconds.
	directHeadStart = 100 * time.Millisecond
)

// conn is a connection to a target through a peer.
type conn struct {
	*peer.ByteStream
	peer string
}

// dialed is the result of one path.
type dialed struct {
	conn http1.Conn
	err  error
}

// Dial implements http1.Dialer.
func (t *Tunnel) Dial(ctx context.Context, target fireflypath.Target) (http1.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	choice := t.paths.Choose(t.clock.Now(), target.Addr)
	var direct, indirect <-chan dialed
	var headStart <-chan time.Time
	switch choice {
	case path.Direct:
		direct, headStart = t.startDirect(ctx, target), t.clock.After(directHeadStart)
	case path.Probe:
		direct, indirect = t.startDirect(ctx, target), t.startIndirect(ctx, target)
	case path.Indirect:
		indirect = t.startIndirect(ctx, target)
	}
	var firstErr error
	targetDown := false
	for {
		var r dialed
		select {
		case r = <-direct:
			direct = nil
		case r = <-indirect:
			indirect = nil
			if r.err != nil && choice == path.Indirect {
				choice, direct = path.Probe, t.startDirect(ctx, target)
			}
		case <-headStart:
		case <-ctx.Done():
			discard(direct, indirect)
			err := errors.Mark(errors.Wrapf(ctx.Err(), "connect to %s", target.Name), fireflypath.ErrUnsent)
			return nil, t.markPathLost(err, targetDown)
		}
		if r.conn != nil {
			discard(direct, indirect)
			return r.conn, nil
		}
		if choice == path.Direct { // the direct path failed or took too long
			choice, headStart, indirect = path.Probe, nil, t.startIndirect(ctx, target)
		}
		firstErr = cmp.Or(firstErr, r.err)
		targetDown = targetDown || errors.Is(r.err, errTargetDown)
		if direct == nil && indirect == nil {
			return nil, t.markPathLost(firstErr, targetDown)
		}
	}
}

// markPathLost marks the failure to connect of a daemon without paths, unless a peer that has paths
// could not connect either. It would otherwise take targets from daemons that reach them.
func (t *Tunnel) markPathLost(err error, targetDown bool) error {
	if targetDown || !t.paths.Isolated(t.clock.Now()) {
		return err
	}
	return errors.Mark(err, http1.ErrPathLost)
}

// discard closes the connections that the paths still make.
func discard(paths ...<-chan dialed) {
	for _, p := range paths {
		if p == nil {
			continue
		}
		go func() {
			if r := <-p; r.conn != nil {
				r.conn.Close()
			}
		}()
	}
}

// startDirect connects without a peer. The attempt goes on when another path was faster, because its
// result tells whether the path works.
func (t *Tunnel) startDirect(ctx context.Context, target fireflypath.Target) <-chan dialed {
	out := make(chan dialed, 1)
	ctx = context.WithoutCancel(ctx)
	go func() {
		c, err := t.dialDirect(ctx, target)
		out <- dialed{c, err}
	}()
	return out
}

// dialDirect connects without a peer and records whether the path works.
func (t *Tunnel) dialDirect(ctx context.Context, target fireflypath.Target) (http1.Conn, error) {
	c, err := t.direct.Dial(ctx, target)
	now := t.clock.Now()
	switch {
	case err == nil:
		if t.paths.Worked(target.Addr) {
			t.log.Info("path to target works again", zap.String("target", target.Name))
		}
	case errors.Is(err, fireflypath.ErrUnreachable):
		if t.paths.Failed(now, target.Addr) {
			t.metrics.lostPaths.Inc(1)
			t.log.Info("path to target lost", zap.String("target", target.Name), zap.String("addr", target.Addr), logs.Err(err))
		}
	}
	t.logIsolation(now)
	return c, err
}

// logIsolation logs when this daemon loses its paths to all targets and when it has them again.
func (t *Tunnel) logIsolation(now time.Time) {
	isolated := t.paths.Isolated(now)
	t.mu.Lock()
	changed := isolated != t.isolated
	t.isolated = isolated
	t.mu.Unlock()
	if changed {
		t.log.Warn("paths to targets in general", zap.Bool("lost", isolated))
	}
}
