// Package configsync distributes configurations between daemons.
package configsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodUpdate = "config.update"
	methodChunks = "config.chunks"
	// callTimeout bounds each call to a peer; if it expires, another peer is tried. A
	// response has at most 256 KB of chunks, which take 0.2 s on a link of 10 Mbit/s and
	// ten times that while the link is shared. A bound on all calls together would limit
	// the size of a configuration: that of 29,000 teams is 8 MB, and on such a link every
	// pull of it failed with a bound of 5 s.
	callTimeout = 2 * time.Second
	// watchersPerDomain is the number of daemons per failure domain that watch the store.
	// One of them may be cut off or paused.
	watchersPerDomain = 2
)

// Peers receives heartbeats and makes and serves calls between daemons.
type Peers interface {
	Handle(method string, m peer.Handler)
	AddSink(s peer.Sink)
	Flush()
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Fleet lists the live daemons and announces this daemon's generation to them.
type Fleet interface {
	Self() fireflypath.Member
	Live() []fireflypath.Member
	SetGeneration(generation uint64)
}

// Distributor announces the generation in force with the heartbeats and pulls newer
// generations from the peers that announce them.
type Distributor struct {
	configs *configuration.Registry
	members Fleet
	peers   Peers
	log     *zap.Logger
	// pullSlots holds one entry for each pull in progress. There is more than one, so that
	// a slow peer does not prevent a pull from another.
	pullSlots chan struct{}
	// announcers holds the name of a peer that announced a newer generation.
	announcers chan string
}

// maxConcurrentPulls bounds the pulls in progress at a time.
const maxConcurrentPulls = 2

type updateRequest struct {
	Have uint64 `json:"have"`
}

type chunksRequest struct {
	Digests []string `json:"digests"`
}

type chunksResponse struct {
	Chunks []json.RawMessage `json:"chunks"`
}

// New registers the methods for calls and sets the function that returns the registry's
// duty. It must be called before the endpoint serves.
func New(configs *configuration.Registry, members Fleet, peers Peers, log *zap.Logger) *Distributor {
	d := &Distributor{
		configs: configs, members: members, peers: peers, log: log,
		pullSlots: make(chan struct{}, maxConcurrentPulls), announcers: make(chan string, 1),
	}
	peers.Handle(methodUpdate, d.handleUpdate)
	peers.Handle(methodChunks, d.handleChunks)
	peers.AddSink(d.receive)
	configs.SetDuty(d.duty)
	return d
}

// Run announces and pulls generations until the context ends.
func (d *Distributor) Run(ctx context.Context) error {
	announced := ^uint64(0)
	for {
		g := d.configs.Generation()
		if g != announced {
			announced = g
			d.members.SetGeneration(g)
			d.peers.Flush()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.configs.Changed(g):
		case from := <-d.announcers:
			d.pull(ctx, from)
		}
	}
}

// receive records a peer that announces a newer generation.
func (d *Distributor) receive(from string, hb *peer.Heartbeat) {
	if hb.Generation <= d.configs.Generation() {
		return
	}
	select {
	case d.announcers <- from:
	default: // another peer's announcement is pending; the next heartbeat repeats this one
	}
}

// pull starts to fetch the newer generation of a peer. It does not block.
func (d *Distributor) pull(ctx context.Context, from string) {
	var to fireflypath.Member
	for _, m := range d.members.Live() {
		if m.Name == from {
			to = m
		}
	}
	if to.Name == "" || to.Generation <= d.configs.Generation() {
		return
	}
	select {
	case d.pullSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.pullSlots }()
		if err := d.configs.Pull(ctx, &peerSource{distributor: d, peer: to}); err != nil {
			d.log.Info("failed to fetch configuration", zap.String("peer", from), zap.Error(err))
		}
	}()
}

// duty selects the watchers of each failure domain and the collector by rendezvous hashing.
// All daemons that know the same members agree without communication, and the death of a
// daemon moves only that daemon's duties.
func (d *Distributor) duty() configuration.Duty {
	self := d.members.Self()
	ownHash := rendezvousHash(self.Name)
	var duty configuration.Duty
	inDomain, overall := 0, 0
	for _, m := range d.members.Live() {
		if m.Name == self.Name || rendezvousHash(m.Name) > ownHash {
			continue
		}
		overall++
		if m.Domain == self.Domain {
			inDomain++
		}
	}
	duty.Watch = inDomain < watchersPerDomain
	duty.Collect = overall == 0
	return duty
}

func rendezvousHash(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

func (d *Distributor) handleUpdate(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req updateRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode the question for a configuration")
	}
	return d.configs.Update(req.Have), nil
}

func (d *Distributor) handleChunks(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req chunksRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode the question for chunks")
	}
	return chunksResponse{Chunks: d.configs.Chunks(req.Digests)}, nil
}

// peerSource implements configuration.Source with calls to a peer.
type peerSource struct {
	distributor *Distributor
	peer        fireflypath.Member
}

var _ configuration.Source = (*peerSource)(nil)

// Update requests the peer's generation as a difference to the one that is here.
func (c *peerSource) Update(ctx context.Context, have uint64) (configuration.Update, error) {
	var u configuration.Update
	err := c.call(ctx, methodUpdate, updateRequest{Have: have}, &u)
	return u, err
}

// Chunks requests chunks by digest.
func (c *peerSource) Chunks(ctx context.Context, digests []string) ([]json.RawMessage, error) {
	var r chunksResponse
	err := c.call(ctx, methodChunks, chunksRequest{Digests: digests}, &r)
	return r.Chunks, err
}

func (c *peerSource) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.distributor.peers.Call(ctx, c.peer, method, params, result)
}
