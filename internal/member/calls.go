package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodSync  = "sync"
	methodProbe = "probe"
	methodLeave = "leave"
)

// syncAsk carries the hashes of the asker's view.
type syncAsk struct {
	Digests digests `json:"digests"`
}

// syncReply holds all that the answerer knows in the buckets that differ.
type syncReply struct {
	News []peer.MemberUpdate `json:"news"`
}

type probeAsk struct {
	Member fireflypath.Member `json:"member"`
}

type probeReply struct {
	Alive bool `json:"alive"`
}

type leaveAsk struct {
	Member fireflypath.Member `json:"member"`
}

// passAtMost bounds the news of one comparison that are passed on at once. More
// come to a daemon that just joined; the others know them already.
const passAtMost = 16

// sync compares views with a peer and takes what differs from there.
func (m *Membership) sync(ctx context.Context, o fireflypath.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	var r syncReply
	err := m.peers.Call(ctx, o, methodSync, syncAsk{Digests: m.view.Load().digests}, &r)
	if err != nil {
		return
	}
	m.count.synced.Inc(1)
	m.spread("", r.News, len(r.News) <= passAtMost)
}

func (m *Membership) answerSync(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask syncAsk
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "decode sync")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mine := m.view.Load().digests
	var r syncReply
	if ask.Digests[bucketOf(m.self.Name)] != mine[bucketOf(m.self.Name)] {
		r.News = append(r.News, peer.MemberUpdate{State: peer.Alive, Member: m.self})
	}
	now := m.clock.Now()
	for name, e := range m.entries {
		b := bucketOf(name)
		old := !e.live() && now.Sub(e.since) > missingFor
		if ask.Digests[b] != mine[b] && !old {
			r.News = append(r.News, peer.MemberUpdate{State: e.state, Member: e.member})
		}
	}
	return r, nil
}

// answerProbe says whether a daemon is reached from here.
func (m *Membership) answerProbe(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var ask probeAsk
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "decode probe")
	}
	if at, ok := m.peers.LastReceived(ask.Member.Name); ok && m.clock.Since(at) < m.beat+m.beat/2 {
		return probeReply{Alive: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout*3/4)
	defer cancel()
	found, err := m.peers.Connect(ctx, ask.Member.Peer)
	return probeReply{Alive: err == nil && found.Name == ask.Member.Name}, nil
}

// Leave tells the neighbours that this daemon is gone for good, after its work
// has ended, and removes its record.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.gone = true
	self := m.self
	var tell []fireflypath.Member
	for _, n := range m.neighbours {
		if e := m.entries[n]; e != nil && e.live() {
			tell = append(tell, e.member)
		}
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var wg conc.WaitGroup
	for _, o := range tell {
		wg.Go(func() {
			var r struct{}
			_ = m.peers.Call(ctx, o, methodLeave, leaveAsk{Member: self}, &r) // one that hears is enough
		})
	}
	wg.Wait()
}

func (m *Membership) answerLeave(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask leaveAsk
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "decode leave")
	}
	m.spread("", []peer.MemberUpdate{{State: peer.Left, Member: ask.Member}}, true)
	return struct{}{}, nil
}
