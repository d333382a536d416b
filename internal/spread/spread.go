// Package spread passes configurations between daemons.
package spread

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
	// callTime bounds each call to a peer; another is tried then. A reply has 256 KB of
	// chunks at most: 0.2 s on 10 Mbit/s, and ten times that while the link is shared.
	// A bound on all calls together would bound the size of a configuration: that of
	// 29,000 teams is 8 MB, and 5 s for all of it were not enough on such a link, each
	// time anew.
	callTime = 2 * time.Second
	// watchers per failure domain: one may be cut off or paused.
	watchers = 2
)

// Peers is what Spread needs of the endpoint.
type Peers interface {
	Handle(method string, m peer.Method)
	AddSink(s peer.Sink)
	Flush()
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Fleet is what Spread needs of the membership.
type Fleet interface {
	Self() fireflypath.Member
	Live() []fireflypath.Member
	SetGeneration(generation uint64)
}

// Spread passes on the generation in force with the heartbeats, and fetches a
// newer one from the peer that told of it.
type Spread struct {
	configs *configuration.Registry
	members Fleet
	peers   Peers
	log     *zap.Logger
	// pulls holds one place for each pull under way, so that a slow peer does
	// not keep this daemon from asking another.
	pulls  chan struct{}
	offers chan string
}

// maxPulls bounds the pulls at once.
const maxPulls = 2

type updateAsk struct {
	Have uint64 `json:"have"`
}

type chunksAsk struct {
	Digests []string `json:"digests"`
}

type chunksReply struct {
	Chunks []json.RawMessage `json:"chunks"`
}

// New connects the registry to the endpoint, before that serves.
func New(configs *configuration.Registry, members Fleet, peers Peers, log *zap.Logger) *Spread {
	s := &Spread{
		configs: configs, members: members, peers: peers, log: log,
		pulls: make(chan struct{}, maxPulls), offers: make(chan string, 1),
	}
	peers.Handle(methodUpdate, s.answerUpdate)
	peers.Handle(methodChunks, s.answerChunks)
	peers.AddSink(s.hear)
	configs.SetDuty(s.duty)
	return s
}

// Run passes on changes until the context ends.
func (s *Spread) Run(ctx context.Context) error {
	told := ^uint64(0)
	for {
		g := s.configs.Generation()
		if g != told {
			told = g
			s.members.SetGeneration(g)
			s.peers.Flush()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.configs.Changed(g):
		case from := <-s.offers:
			s.pull(ctx, from)
		}
	}
}

// hear notes a peer with a newer generation.
func (s *Spread) hear(from string, b *peer.Beat) {
	if b.Generation <= s.configs.Generation() {
		return
	}
	select {
	case s.offers <- from:
	default: // another peer's offer waits; the next beat repeats this one
	}
}

// pull fetches the newer generation of a peer without holding up others.
func (s *Spread) pull(ctx context.Context, from string) {
	var to fireflypath.Member
	for _, m := range s.members.Live() {
		if m.Name == from {
			to = m
		}
	}
	if to.Name == "" || to.Generation <= s.configs.Generation() {
		return
	}
	select {
	case s.pulls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.pulls }()
		if err := s.configs.Pull(ctx, &source{s: s, to: to}); err != nil {
			s.log.Info("could not fetch a configuration", zap.String("peer", from), zap.Error(err))
		}
	}()
}

// duty chooses the few watchers of each failure domain, and the collector, by
// rendezvous hashing: all daemons with the same members agree without a word,
// and a death moves the duty of the dead one only.
func (s *Spread) duty() configuration.Duty {
	self := s.members.Self()
	mine := lot(self.Name)
	var d configuration.Duty
	inDomain, overall := 0, 0
	for _, m := range s.members.Live() {
		if m.Name == self.Name || lot(m.Name) > mine {
			continue
		}
		overall++
		if m.Domain == self.Domain {
			inDomain++
		}
	}
	d.Watch = inDomain < watchers
	d.Collect = overall == 0
	return d
}

func lot(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

func (s *Spread) answerUpdate(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask updateAsk
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "decode the question for a configuration")
	}
	return s.configs.Update(ask.Have), nil
}

func (s *Spread) answerChunks(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask chunksAsk
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "decode the question for chunks")
	}
	return chunksReply{Chunks: s.configs.Chunks(ask.Digests)}, nil
}

// source is a peer as a configuration.Source.
type source struct {
	s  *Spread
	to fireflypath.Member
}

var _ configuration.Source = (*source)(nil)

// Update asks for the peer's outline.
func (c *source) Update(ctx context.Context, have uint64) (configuration.Update, error) {
	var u configuration.Update
	err := c.call(ctx, methodUpdate, updateAsk{Have: have}, &u)
	return u, err
}

// Chunks asks for chunks.
func (c *source) Chunks(ctx context.Context, digests []string) ([]json.RawMessage, error) {
	var r chunksReply
	err := c.call(ctx, methodChunks, chunksAsk{Digests: digests}, &r)
	return r.Chunks, err
}

func (c *source) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.s.peers.Call(ctx, c.to, method, params, result)
}
