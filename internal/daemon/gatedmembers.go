package daemon

import (
	"context"

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

// gatedMembership joins the other daemons.
type gatedMembership struct{}

func (gatedMembership) String() string { return "membership" }

func (gatedMembership) Run(_ context.Context, d *Daemon) error {
	if d.members == nil {
		return nil
	}
	log := d.deps.Log
	u := usage.New(d.cfg.Name, d.peers, d.members, heard{d.pools, d.dispatch}, d.limits, d.deps.Clock, d.scope)
	// A keeper gives nothing of the tolerance away: all of it is for what daemons
	// use before they know that the quota is used up.
	g := quotas.New(d.cfg.Name, d.peers, d.members, d.limits, quota.Tolerance{}, d.deps.Clock, d.scope)
	d.work.Go(func() { _ = u.Run(d.ctx) })
	d.work.Go(func() { _ = g.Run(d.ctx, func() bool { return d.members.Layout().CellCount() > 1 }) })
	d.work.Go(d.followLayout)
	d.work.Go(func() { _ = d.members.Run(d.ctx) })
	d.work.Go(func() {
		if err := d.peers.Serve(d.peerPort); !errors.Is(err, peer.ErrClosed) {
			log.Error("no longer listening for peers", logs.Cause(err))
		}
	})
	return nil
}

// followLayout sets which targets this daemon sends work to.
func (d *Daemon) followLayout() {
	for {
		layoutChanged := d.members.Changed()
		cfg := d.deps.Configs.Current()
		targets := map[string][]string{}
		for _, t := range cfg.Targets {
			targets[t.Pool] = append(targets[t.Pool], t.Name)
		}
		for pool, names := range targets {
			share := d.shareOf(names)
			d.pools.ApplyShare(pool, share)
			d.dispatch.SetShare(pool, share)
		}
		select {
		case <-d.ctx.Done():
			return
		case <-layoutChanged:
		case <-d.deps.Configs.Changed(cfg.Generation):
		}
	}
}

// shareOf is the part of a pool's targets that this daemon's cell serves.
func (d *Daemon) shareOf(names []string) fireflypath.Share {
	layout := d.members.Layout()
	if layout.CellCount() == 1 {
		return fireflypath.Share{Default: 1}
	}
	mine, mates := layout.AssignedTargets(d.cfg.Name, names)
	mixed := len(mates) > len(layout.Members(d.cfg.Name))
	if len(mine) == 0 || len(mine) == len(names) {
		return fireflypath.Share{Default: 1, UnknownSenders: mixed}
	}
	s := fireflypath.Share{Fractions: make(map[string]float64, len(mine)), UnknownSenders: mixed}
	for _, name := range mine {
		s.Fractions[name] = 1
	}
	return s
}

// Stop takes leave of the peers, after the requests held were finished.
func (gatedMembership) Stop(ctx context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.Leave(ctx)
	}
	return nil
}

// heard passes on what other daemons tell of their work.
type heard struct {
	*pools.Pools
	dispatch *dispatch.Dispatch
}

// Version implements usage.Pools.
func (h heard) Version() uint64 {
	n := 2 * h.Pools.Version()
	if h.dispatch.HasPartialView() {
		n++
	}
	return n
}

// Report implements usage.Pools.
func (h heard) Report() fireflypath.PeerLoad {
	m := h.Pools.Report()
	m.PartialView = m.PartialView || h.dispatch.HasPartialView()
	return m
}

// UpdatePeers implements usage.Pools.
func (h heard) UpdatePeers(mates []fireflypath.PeerLoad) {
	h.Pools.UpdatePeers(mates)
	h.dispatch.UpdatePeers(mates)
}
