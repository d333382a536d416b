// Package tunnel connects a daemon to targets through another daemon where its own path is lost.
//
// A daemon can lose its paths to targets that its peers still reach. The peer passes on the bytes of
// a connection and nothing else: the daemon that accepted a request remains the only one that sends
// it, retries it, counts it against quotas and retry budgets and answers its caller, and the peer
// closes its end when the caller has left.
package tunnel

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/path"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/memory"
	"github.com/fireflypath/fireflypath/internal/peer"
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
	memory  *memory.Budget
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
	budget *memory.Budget, clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Tunnel {
	scope = scope.SubScope("tunnel")
	t := &Tunnel{
		self: self, direct: direct, peers: peers, members: members, configs: configs, memory: budget, paths: path.New(), clock: clock, log: log,
		metrics: metrics{
			lostPaths: scope.Counter("lost_paths"), indirect: scope.Counter("indirect"), indirectFailed: scope.Counter("indirect_failed"),
			served: scope.Counter("served"), refused: scope.Counter("refused"), open: scope.Gauge("open"),
		},
		avoidUntil: map[string]time.Time{},
		server:     server{limit: MaxServed},
	}
	peers.HandleStreams(t.serve)
	return t
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

// ReportAnswer implements http1.Dialer.
func (t *Tunnel) ReportAnswer(c http1.Conn) {
	if t.IsDirect(c) {
		t.paths.Answered()
	}
}

// IsDirect implements http1.Dialer.
func (t *Tunnel) IsDirect(c http1.Conn) bool {
	_, indirect := c.(*conn)
	return !indirect
}

// ReportLoss implements http1.Dialer.
func (t *Tunnel) ReportLoss(c http1.Conn, target fireflypath.Target) bool {
	if !t.IsDirect(c) {
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
