package member

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodSync  = "sync"
	methodProbe = "probe"
	methodLeave = "leave"
)

// syncRequest contains the digests of the caller's view.
type syncRequest struct {
	Digests digests `json:"digests"`
	// Packs is true if the caller reads Packed.
	Packs bool `json:"packs,omitempty"`
}

// syncResponse contains the state of all members in the buckets whose digests differ.
type syncResponse struct {
	Updates []peer.MemberUpdate `json:"news"`
	// Packed holds Updates compressed instead.
	Packed []byte `json:"packed,omitempty"`
}

type probeRequest struct {
	Member fireflypath.Member `json:"member"`
}

type probeResponse struct {
	Alive bool `json:"alive"`
}

type leaveRequest struct {
	Member fireflypath.Member `json:"member"`
}

// maxForwardedUpdates limits the updates from a comparison that are forwarded to other peers.
// A comparison returns more only to a daemon that has just joined, and its peers know those
// already.
const maxForwardedUpdates = 16

// syncWith compares views with a peer and applies the differences.
func (m *Membership) syncWith(ctx context.Context, other fireflypath.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	var resp syncResponse
	err := m.peers.Call(ctx, other, methodSync, syncRequest{Digests: m.view.Load().digests, Packs: true}, &resp)
	if err != nil {
		return
	}
	if resp.Packed != nil {
		if resp.Updates, err = peer.UnpackUpdates(resp.Packed); err != nil {
			m.log.Warn("comparison of views failed", zap.String("peer", other.Name), logs.Err(err))
			return
		}
	}
	m.metrics.synced.Inc(1)
	m.applyUpdates("", resp.Updates, len(resp.Updates) <= maxForwardedUpdates)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(resp.Updates) == 0 {
		// It knows nothing that this daemon does not; it asks for the rest itself.
		m.syncedAt[other.Name] = m.clock.Now().Add(syncDelay - joiningSyncDelay)
	}
	m.wakeIfJoining() // to dial new neighbours
	m.clock.AfterFunc(joiningSyncInterval, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.wakeIfJoining() // for the next comparison
	})
}

// handleSync returns the members in the buckets that differ from the caller's. A caller that is
// not a neighbour, such as one that joins through this daemon, receives only its own neighbours,
// who then send it the rest: otherwise a seed would send the whole view to each daemon that joins.
func (m *Membership) handleSync(_ context.Context, from string, params json.RawMessage) (any, error) {
	var req syncRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode sync")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	theirs := req.Digests
	if len(theirs) == 0 || len(theirs) > maxDigestBuckets {
		return nil, errors.Newf("%d digests", len(theirs))
	}
	own := newDigests(m.view.Load().live, len(theirs))
	differs := func(name string) bool { b := own.bucketOf(name); return theirs[b] != own[b] }
	var resp syncResponse
	if differs(m.self.Name) {
		resp.Updates = append(resp.Updates, peer.MemberUpdate{State: peer.Alive, Member: m.self})
	}
	now := m.clock.Now()
	var only []string
	joining := !slices.Contains(m.neighbours, from)
	if joining {
		only = m.layout.Load().Neighbours(from)
	}
	for name, e := range m.entries {
		expired := !e.live() && now.Sub(e.stateSince) > missingPeriod
		if !e.adoptedAt.IsZero() {
			continue // the caller would take it for evidence that the member runs
		}
		if !expired && differs(name) && (!joining || slices.Contains(only, name)) {
			resp.Updates = append(resp.Updates, peer.MemberUpdate{State: e.state, Member: e.member})
		}
	}
	if !req.Packs {
		return resp, nil
	}
	packed, err := peer.PackUpdates(resp.Updates)
	return syncResponse{Packed: packed}, err
}

// handleProbe reports to the caller whether this daemon reaches another one.
func (m *Membership) handleProbe(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req probeRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode probe")
	}
	if at, ok := m.peers.LastReceived(req.Member.Name); ok && m.clock.Since(at) < m.heartbeatInterval+m.heartbeatInterval/2 {
		return probeResponse{Alive: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout*3/4)
	defer cancel()
	found, err := m.peers.Connect(ctx, req.Member.PeerAddr)
	return probeResponse{Alive: err == nil && found.Name == req.Member.Name}, nil
}

// Leave tells the neighbours that this daemon leaves the fleet. It must be called after the
// work of the daemon has ended. Run removes the record from the store before it returns.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.left = true
	self := m.self
	var peers []fireflypath.Member
	for _, n := range m.neighbours {
		if e := m.entries[n]; e != nil && e.live() {
			peers = append(peers, e.member)
		}
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var wg conc.WaitGroup
	for _, to := range peers {
		wg.Go(func() {
			var resp struct{}
			_ = m.peers.Call(ctx, to, methodLeave, leaveRequest{Member: self}, &resp) // one neighbour that receives it is enough
		})
	}
	wg.Wait()
}

// handleLeave records that the caller leaves the fleet.
func (m *Membership) handleLeave(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req leaveRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode leave")
	}
	m.applyUpdates("", []peer.MemberUpdate{{State: peer.Left, Member: req.Member}}, true)
	return struct{}{}, nil
}
