package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/configsync"
	registry "github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/connlimit"
	"github.com/fireflypath/fireflypath/internal/leaving"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/order"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/relief"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/windowshare"
)

// configuration sets up the source of the configuration in force.
type configuration struct{}

func (configuration) String() string { return "configuration" }

func (configuration) Run(ctx context.Context, d *Daemon) error {
	switch {
	case d.deps.Configs != nil:
		return nil
	case d.deps.Store != nil:
	case d.cfg.Initial != nil:
		d.deps.Configs = newStaticConfigs(d.cfg.Initial)
		return nil
	default:
		return errors.New("neither a platform service nor an initial configuration is set")
	}
	d.registry = registry.New(d.deps.Store, d.cfg.Initial, d.cfg.Name, d.deps.Clock, d.scope, d.deps.Log)
	if n := d.cfg.Records.AuditTrail; n > 0 {
		d.registry.SetRetention(n)
	}
	d.deps.Configs = d.registry
	if d.deps.Committer == nil {
		d.deps.Committer = d.registry
	}
	return nil
}

func (configuration) Stop(context.Context, *Daemon) error { return nil }

// peers creates the membership and the endpoint for other daemons; the step membership starts them.
type peers struct{}

func (peers) String() string { return "peers" }

func (peers) Run(ctx context.Context, d *Daemon) error {
	if d.cfg.Listen.Peers == "" || d.deps.Members != nil {
		return nil
	}
	var certificates *peer.Certificates
	if d.cfg.Peers.TLS != nil {
		t, err := peer.LoadCertificates(*d.cfg.Peers.TLS, d.deps.Clock, d.scope)
		if err != nil {
			return err
		}
		certificates = t
	} else if !d.cfg.Peers.AllowPlaintext {
		return errors.New("peers: neither tls nor plain is set")
	}
	ln, err := peer.TCP{}.Listen(d.cfg.Listen.Peers)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", d.cfg.Listen.Peers)
	}
	d.peerListener = connlimit.New(ln, maxPeerConnections(), d.deps.Clock)
	self := fireflypath.Member{
		Name: d.cfg.Name, Domain: d.cfg.Domain, PeerAddr: ln.Addr().String(),
		CallerAddr: d.cfg.Listen.Callers, OperatorAddr: d.cfg.Listen.Operators,
		CPU: d.cfg.Host.CPUShare * d.cfg.Host.Cores, Link: d.cfg.Host.Link,
		// It grows with each start under this name. If the clock was set back, the
		// incarnation that peers know from the earlier start corrects it.
		Incarnation: uint64(d.deps.Clock.Now().UnixMilli()),
	}
	heartbeat := d.cfg.Peers.Heartbeat.Std()
	d.members = member.New(self, d.deps.Store, d.cfg.Peers.Seeds, heartbeat, d.deps.Clock, d.scope, d.deps.Log)
	if d.cfg.Peers.Bootstrap {
		d.members.SetBootstrap()
	}
	d.peers = peer.New(peer.TCP{}, certificates, d.members.Self, heartbeat, d.deps.Clock, d.scope, d.deps.Log)
	d.members.Attach(d.peers)
	d.deps.Members = d.members
	if d.deps.Relief == nil {
		rounds := relief.New(d.cfg.Name, d.members, d.peers, d.localCluster, reliefWindows{d}, d.deps.Clock, d.scope)
		rounds.Register(d.peers)
		d.deps.Relief = rounds
	}
	return nil
}

func (peers) Stop(ctx context.Context, d *Daemon) error {
	if d.peers != nil {
		d.peers.Close()
	}
	return nil
}

// localCluster returns this daemon's own pools, or nil before they are created.
func (d *Daemon) localCluster() fireflypath.Cluster {
	if d.pools == nil {
		return nil
	}
	return d.pools
}

// reliefWindows transfers fractions of windows in relief rounds.
type reliefWindows struct{ d *Daemon }

// LendForRelief implements relief.Windows.
func (w reliefWindows) LendForRelief(pool string, rank, tokens int) float64 {
	return w.d.windowShares.LendForRelief(pool, rank, tokens)
}

// Borrow implements relief.Windows.
func (w reliefWindows) Borrow(pool string, asked time.Time, fraction float64) {
	w.d.windowShares.Borrow(pool, asked, fraction)
}

// orders sends orders to targets or forwards them to the daemon that holds the order lease.
type orders struct{}

func (orders) String() string { return "orders" }

func (orders) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Store == nil || d.deps.Orderer != nil {
		return nil
	}
	members, caller := fireflypath.Members(singleMember{d}), order.PeerCaller(nil)
	if d.members != nil {
		members, caller = d.members, d.peers
	}
	d.orders = order.New(d.cfg.Name, d.deps.Store, d.deps.Configs, members, caller, d.engine,
		order.WeightReadInterval, d.deps.Clock, d.scope, d.deps.Log)
	if d.peers != nil {
		d.orders.Handle(d.peers)
	}
	d.deps.Orderer = d.orders
	d.background.Go(func() { _ = d.orders.Run(d.ctx) })
	return nil
}

// Stop releases the lease, so that no order has to wait for it to expire.
func (orders) Stop(ctx context.Context, d *Daemon) error {
	if d.orders != nil {
		d.orders.Release(ctx)
	}
	return nil
}

// membership joins the other daemons. It follows the configuration, splits windows and exchanges
// evidence about targets.
type membership struct{}

func (membership) String() string { return "membership" }

func (membership) Run(ctx context.Context, d *Daemon) error {
	if d.registry != nil {
		d.background.Go(func() { _ = d.registry.Run(d.ctx) })
	}
	if d.members == nil {
		return nil
	}
	log, clock := d.deps.Log, d.deps.Clock
	if d.registry != nil {
		s := configsync.New(d.registry, d.members, d.peers, log)
		d.background.Go(func() { _ = s.Run(d.ctx) })
	}
	standalone := d.deps.Store == nil && len(d.cfg.Peers.Seeds) == 0
	d.windowShares = windowshare.New(d.members, d.peers, d.deps.Configs,
		&sharedLimits{d.pools, &d.rules, d.deps.Configs, clock}, standalone, clock, d.scope)
	d.pools.SetInitialShare(d.windowShares.InitialShare)
	d.leavingTracker = leaving.New(d.cfg.Name, d.cellSize, d.peers, d.reportLeavingByPeers, d.reportStayingByPeers, clock, d.scope)
	if d.deps.BroadcastLeaving == nil {
		d.deps.BroadcastLeaving, d.deps.BroadcastStaying = d.leavingTracker.ReportLeaving, d.leavingTracker.ReportStaying
	}
	d.background.Go(func() { _ = d.windowShares.Run(d.ctx) })
	d.background.Go(func() { _ = d.leavingTracker.Run(d.ctx) })
	d.background.Go(func() { _ = d.members.Run(d.ctx) })
	d.background.Go(func() {
		if err := d.peers.Serve(d.peerListener); !errors.Is(err, peer.ErrClosed) {
			log.Error("peer listener failed", zap.Error(err))
		}
	})
	return nil
}

// Stop leaves the membership after the requests that the daemon held were finished.
func (membership) Stop(ctx context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.Leave(ctx)
	}
	return nil
}

// cellSize returns the number of daemons that send work to the same targets.
func (d *Daemon) cellSize() int {
	return len(d.members.Layout().Members(d.cfg.Name))
}

func (d *Daemon) reportLeavingByPeers(target, _ string) {
	d.evidence.ReportLeaving(target, evidence.SourcePeers, d.deps.Clock.Now())
}

func (d *Daemon) reportStayingByPeers(target string) {
	d.evidence.ReportStaying(target, evidence.SourcePeers, d.deps.Clock.Now())
}

// firstConfiguration waits for a configuration from the store or a peer. A daemon that starts
// during an outage would otherwise refuse its callers because it knows no teams.
type firstConfiguration struct{}

func (firstConfiguration) String() string { return "first configuration" }

func (firstConfiguration) Run(ctx context.Context, d *Daemon) error {
	if d.registry == nil {
		return nil
	}
	select {
	case <-d.registry.Changed(0):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no configuration from the service or a peer")
	}
}

func (firstConfiguration) Stop(context.Context, *Daemon) error { return nil }
