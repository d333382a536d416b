package daemon

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/quotas"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/usage"
)

// gatedMembership joins the other daemons and exchanges usage and quotas with them.
type gatedMembership struct{}

func (gatedMembership) String() string { return "membership" }

func (gatedMembership) Run(_ context.Context, d *Daemon) error {
	if d.members == nil {
		return nil
	}
	log := d.deps.Log
	u := usage.New(d.cfg.Name, d.peers, d.members, usagePools{d.pools, d.dispatch}, d.limits, d.deps.Clock, d.scope)
	// A coordinator grants none of the tolerance. All of it covers what daemons use before
	// they know that the quota is used up.
	q := quotas.New(d.cfg.Name, d.peers, d.members, d.limits, quota.Tolerance{}, d.deps.Clock, d.scope)
	d.background.Go(func() { _ = u.Run(d.ctx) })
	d.background.Go(func() { _ = q.Run(d.ctx, func() bool { return d.members.Layout().CellCount() > 1 }) })
	d.background.Go(d.updateShares)
	d.background.Go(func() { _ = d.members.Run(d.ctx) })
	d.background.Go(func() {
		if err := d.peers.Serve(d.peerListener); !errors.Is(err, peer.ErrClosed) {
			log.Error("peer listener failed", logs.Err(err))
		}
	})
	return nil
}

// updateShares sets this daemon's share of the targets after each change of the cells or the
// configuration.
func (d *Daemon) updateShares() {
	for {
		layoutChanged := d.members.Changed()
		cfg := d.deps.Configs.Current()
		d.applyShares(cfg)
		select {
		case <-d.ctx.Done():
			return
		case <-layoutChanged:
		case <-d.deps.Configs.Changed(cfg.Generation):
		}
	}
}

// applyShares sets this daemon's share of the targets of a configuration. Two calls at a time could leave
// the share of an earlier layout in force.
func (d *Daemon) applyShares(cfg *fireflypath.Config) {
	d.sharesMu.Lock()
	defer d.sharesMu.Unlock()
	if cfg.Generation < d.sharesOf {
		return // a newer configuration was applied meanwhile
	}
	d.sharesOf = cfg.Generation
	targets := map[string][]string{}
	for _, t := range cfg.Targets {
		targets[t.Pool] = append(targets[t.Pool], t.Name)
	}
	for pool, names := range targets {
		share := d.poolShare(names)
		d.pools.ApplyShare(pool, share)
		d.dispatch.SetShare(pool, share)
	}
}

// poolShare returns the share of a pool's targets that this daemon's cell serves.
func (d *Daemon) poolShare(names []string) fireflypath.Share {
	layout := d.members.Layout()
	if layout.CellCount() == 1 {
		live := d.members.Live()
		index := slices.IndexFunc(live, func(m fireflypath.Member) bool { return m.Name == d.cfg.Name })
		return fireflypath.Share{Default: 1, Senders: len(live), Index: max(index, 0)}
	}
	assigned, peers := layout.AssignedTargets(d.cfg.Name, names)
	unknownSenders := len(peers) > len(layout.Members(d.cfg.Name))
	index := max(slices.Index(peers, d.cfg.Name), 0)
	if len(assigned) == 0 || len(assigned) == len(names) {
		return fireflypath.Share{Default: 1, UnknownSenders: unknownSenders, Senders: len(peers), Index: index}
	}
	s := fireflypath.Share{
		Fractions: make(map[string]float64, len(assigned)), UnknownSenders: unknownSenders, Senders: len(peers), Index: index,
	}
	for _, name := range assigned {
		s.Fractions[name] = 1
	}
	return s
}

// Stop leaves the membership after the requests that the daemon held were finished.
func (gatedMembership) Stop(ctx context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.Leave(ctx)
	}
	return nil
}

// usagePools reports in-flight work to the other daemons and applies theirs to the pools and the
// dispatcher.
type usagePools struct {
	*pools.Pools
	dispatch *dispatch.Dispatch
}

// Version implements usage.Pools.
func (p usagePools) Version() uint64 {
	n := 2 * p.Pools.Version()
	if p.dispatch.HasPartialView() {
		n++
	}
	return n
}

// Report implements usage.Pools.
func (p usagePools) Report() fireflypath.PeerLoad {
	m := p.Pools.Report()
	m.PartialView = m.PartialView || p.dispatch.HasPartialView()
	return m
}

// UpdatePeers implements usage.Pools.
func (p usagePools) UpdatePeers(peers []fireflypath.PeerLoad) {
	p.Pools.UpdatePeers(peers)
	p.dispatch.UpdatePeers(peers)
}
