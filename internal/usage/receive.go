package usage

import (
	"maps"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// peerState is the state that a peer sent.
type peerState struct {
	// epoch identifies the peer's run of the process: its sums start at zero in each.
	// previousEpoch is the one before, whose messages may still be in transit.
	epoch, previousEpoch uint64
	sequence             uint64
	at                   time.Time
	inFlight             map[string]int
	pendingPrompts       map[string]int
	waitingRanks         map[string]int
	// speeds holds the speeds received since they were last applied.
	speeds      map[string]fireflypath.Speed
	partialView bool
	// used is the peer's quota usage by team. It has no entry for a team that the peer
	// did not mention since the connection was made.
	used map[string]int64
	// complete is true once used holds all teams of the peer.
	complete bool
}

// activePeers returns the state of the named daemons that are live and not silent. Other
// daemons have connections to this one too, hundreds of them if it watches the store.
// They send nothing about the targets and are skipped before any per-target work.
func (u *Usage) activePeers(now time.Time, live []fireflypath.Member, names []string) []fireflypath.PeerLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending, u.appliedAt = false, now
	var out []fireflypath.PeerLoad
	for _, name := range names {
		p := u.peerStates[name]
		if p == nil || now.Sub(p.at) > peerTimeout {
			continue
		}
		if _, ok := fireflypath.FindMember(live, name); !ok {
			continue
		}
		out = append(out, fireflypath.PeerLoad{
			Name: name, InFlight: maps.Clone(p.inFlight), PendingPrompts: maps.Clone(p.pendingPrompts),
			WaitingRanks: maps.Clone(p.waitingRanks), Speeds: p.speeds, PartialView: p.partialView,
		})
		p.speeds = nil // each speed is applied once
	}
	return out
}

// receive records the state in a peer's heartbeat.
func (u *Usage) receive(from string, hb *peer.Heartbeat) {
	now := u.clock.Now()
	u.mu.Lock()
	p := u.peerState(from)
	p.at = now
	in := hb.Usage
	if in != nil && in.Epoch != p.epoch && in.Epoch != p.previousEpoch {
		p.reset(in.Epoch)
	}
	if in == nil || in.Epoch != p.epoch || in.Sequence <= p.sequence {
		u.mu.Unlock()
		return
	}
	u.received.Inc(1)
	u.pending = true
	p.sequence = in.Sequence
	if in.Full {
		clear(p.inFlight)
		clear(p.pendingPrompts)
		clear(p.waitingRanks)
	}
	p.partialView = in.PartialView
	maps.Copy(p.inFlight, in.InFlight)
	maps.Copy(p.pendingPrompts, in.PendingPrompts)
	for pool, r := range in.WaitingRanks {
		p.waitingRanks[pool] = r
		if r == noRank {
			delete(p.waitingRanks, pool)
		}
	}
	for target, v := range in.Speeds {
		p.speeds = set(p.speeds, target, v)
	}
	spent := p.updateUsed(in)
	u.mu.Unlock()
	u.limits.AdoptLevels(now, in.BucketLevels)
	for team, n := range spent {
		u.limits.DeductRemoteUse(now, team, float64(n))
	}
}

// peerState returns the state of a peer and creates it on first use. The caller holds mu.
func (u *Usage) peerState(name string) *peerState {
	p := u.peerStates[name]
	if p == nil {
		p = &peerState{inFlight: map[string]int{}, pendingPrompts: map[string]int{}, waitingRanks: map[string]int{}, used: map[string]int64{}}
		u.peerStates[name] = p
	}
	return p
}

// reset discards the state of the peer's previous epoch.
func (p *peerState) reset(epoch uint64) {
	p.epoch, p.previousEpoch, p.sequence = epoch, p.epoch, 0
	clear(p.inFlight)
	clear(p.pendingPrompts)
	clear(p.waitingRanks)
	p.speeds, p.partialView = nil, false
	clear(p.used)
}

// updateUsed records a peer's new sums and returns what was added to them by team. The
// peer's usage before this daemon first received its sums is left out, because the
// bucket here started without it too.
func (p *peerState) updateUsed(in *peer.Usage) map[string]int64 {
	out := map[string]int64{}
	for team, n := range in.QuotaUsed {
		if d := n - p.used[team]; d != 0 && p.complete {
			out[team] = d
		}
		p.used[team] = n
	}
	p.complete = p.complete || in.Full
	return out
}

// resetPeer makes the next heartbeat to a daemon carry the full state: what it was sent
// before may be lost.
func (u *Usage) resetPeer(m fireflypath.Member) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sentTo, m.Name)
}
