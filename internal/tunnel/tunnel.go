// Package tunnel connects a daemon to targets through another daemon where its own path is lost.
//
// A daemon can lose its paths to targets that its peers still reach. The peer passes on the bytes of
// a connection and nothing else: the daemon that accepted a request remains the only one that sends
// it, retries it, counts it against quotas and retry budgets and answers its caller, and the peer
// closes its end when the caller has left.
package tunnel

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/path"
	"github.com/fireflypath/fireflypath/internal/decide/place"
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
	// peerInterval is how long one peer is waited for before another one is asked as well.
	peerInterval = 80 * time.Millisecond
	// maxPeersAsked is how many peers are asked for one connection, and maxFailedPeers how many of
	// them may fail that have paths to other targets: the target is down then.
	maxPeersAsked  = 6
	maxFailedPeers = 2
	// peerAvoidPeriod is how long a peer is not asked that is out of reach, busy or has no paths.
	peerAvoidPeriod = 2 * time.Second
)

// Peers opens streams to other daemons and serves theirs.
type Peers interface {
	OpenStream(ctx context.Context, addr string) (*peer.ByteStream, error)
	HandleStreams(h peer.StreamHandler)
}

// Tunnel connects to targets directly or through a peer, and serves the peers that connect through
// this daemon. It implements http1.Dialer.
type Tunnel struct {
	self    string
	direct  http1.Dialer
	peers   Peers
	members fireflypath.Members
	configs fireflypath.Configs
	paths   *path.Tracker
	clock   clockwork.Clock
	log     *zap.Logger
	metrics metrics
	server  server

	mu sync.Mutex
	// avoidUntil is until when a peer is not asked.
	avoidUntil map[string]time.Time
	// isolated is true from the log line that says so until the next one.
	isolated bool
}

var _ http1.Dialer = (*Tunnel)(nil)

type metrics struct {
	lostPaths, indirect, indirectFailed tally.Counter
	served, refused                     tally.Counter
	open                                tally.Gauge
}

// New returns the tunnel of the daemon with the name self. It must be called before peers serves.
func New(self string, direct http1.Dialer, peers Peers, members fireflypath.Members, configs fireflypath.Configs,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Tunnel {
	scope = scope.SubScope("tunnel")
	t := &Tunnel{
		self: self, direct: direct, peers: peers, members: members, configs: configs, paths: path.New(), clock: clock, log: log,
		metrics: metrics{
			lostPaths: scope.Counter("lost_paths"), indirect: scope.Counter("indirect"), indirectFailed: scope.Counter("indirect_failed"),
			served: scope.Counter("served"), refused: scope.Counter("refused"), open: scope.Gauge("open"),
		},
		avoidUntil: map[string]time.Time{},
	}
	peers.HandleStreams(t.serve)
	return t
}

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
			return nil, errors.Mark(errors.Wrapf(ctx.Err(), "connect to %s", target.Name), fireflypath.ErrUnsent)
		}
		if r.conn != nil {
			discard(direct, indirect)
			return r.conn, nil
		}
		if choice == path.Direct { // the direct path failed or took too long
			choice, headStart, indirect = path.Probe, nil, t.startIndirect(ctx, target)
		}
		firstErr = cmp.Or(firstErr, r.err)
		if direct == nil && indirect == nil {
			return nil, firstErr
		}
	}
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

// startIndirect connects through peers.
func (t *Tunnel) startIndirect(ctx context.Context, target fireflypath.Target) <-chan dialed {
	out := make(chan dialed, 1)
	go func() {
		c, err := t.dialIndirect(ctx, target)
		if err != nil {
			t.metrics.indirectFailed.Inc(1)
			out <- dialed{err: errors.Mark(errors.Mark(err, fireflypath.ErrUnsent), fireflypath.ErrUnreachable)}
			return
		}
		t.metrics.indirect.Inc(1)
		out <- dialed{conn: c}
	}()
	return out
}

// peerResult is the answer of one peer.
type peerResult struct {
	conn *conn
	err  error
}

// dialIndirect asks peers one after the other until one has connected to the target.
func (t *Tunnel) dialIndirect(ctx context.Context, target fireflypath.Target) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	candidates := t.candidates(target)
	results := make(chan peerResult, maxPeersAsked)
	waiting, failed := 0, 0
	defer func() {
		cancel()
		go closeLate(results, waiting)
	}()
	next := t.clock.NewTimer(0)
	defer next.Stop()
	err := errNoPeer
	for {
		select {
		case <-next.Chan():
			if len(candidates) == 0 || failed >= maxFailedPeers {
				break
			}
			p := candidates[0]
			candidates = candidates[1:]
			waiting++
			go func() { results <- t.dialPeer(ctx, p, target) }()
			next.Reset(peerInterval)
		case r := <-results:
			waiting--
			if r.err == nil {
				return r.conn, nil
			}
			err = r.err
			if errors.Is(err, errTargetDown) {
				failed++
			}
			next.Reset(0)
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "connect through peers")
		}
		if waiting == 0 && (len(candidates) == 0 || failed >= maxFailedPeers) {
			return nil, err
		}
	}
}

// closeLate closes the connections of peers that answer after the choice was made.
func closeLate(results <-chan peerResult, n int) {
	for range n {
		if r := <-results; r.err == nil {
			r.conn.Close()
		}
	}
}

// candidates returns the peers to ask for a target, in an order that differs between daemons and
// between targets, so that no peer carries the work of all.
func (t *Tunnel) candidates(target fireflypath.Target) []fireflypath.Member {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fireflypath.Member
	for _, m := range t.members.Live() {
		if m.Name != t.self && !m.Leaving && !m.Unconfirmed && !now.Before(t.avoidUntil[m.Name]) {
			out = append(out, m)
		}
	}
	weight := func(m fireflypath.Member) uint64 {
		return place.Mix64(hashString(t.self) ^ place.Mix64(hashString(target.Name)^hashString(m.Name)))
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int { return cmp.Compare(weight(a), weight(b)) })
	return out[:min(len(out), maxPeersAsked)]
}

// avoid does not ask a peer for some time.
func (t *Tunnel) avoid(name string) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, until := range t.avoidUntil {
		if !now.Before(until) {
			delete(t.avoidUntil, other)
		}
	}
	t.avoidUntil[name] = now.Add(peerAvoidPeriod)
}

// Trusted implements http1.Dialer. A connection through a peer is given up when the peer leaves, so
// that its stop does not end requests, and when the direct path works again.
func (t *Tunnel) Trusted(c http1.Conn, target fireflypath.Target, idleSince time.Time) bool {
	now := t.clock.Now()
	tunneled, ok := c.(*conn)
	if !ok {
		return t.paths.Trusted(now, target.Addr, idleSince)
	}
	m, ok := fireflypath.FindMember(t.members.Live(), tunneled.peer)
	return ok && !m.Leaving && (t.paths.Lost(now, target.Addr) || t.paths.Isolated(now))
}

// ReportLoss implements http1.Dialer.
func (t *Tunnel) ReportLoss(c http1.Conn, target fireflypath.Target) bool {
	if _, ok := c.(*conn); ok {
		return false // the peer or the path to it may have ended
	}
	now := t.clock.Now()
	t.paths.Broke(now, target.Addr)
	t.logIsolation(now)
	return !t.paths.Isolated(now)
}

// Retain forgets what is known of paths to other than the given targets.
func (t *Tunnel) Retain(targets []fireflypath.Target) {
	addrs := make(map[string]bool, len(targets))
	for _, target := range targets {
		addrs[target.Addr] = true
	}
	t.paths.Retain(addrs)
}

var _ net.Conn = (*conn)(nil)
