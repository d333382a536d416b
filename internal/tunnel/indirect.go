package tunnel

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// peerInterval is how long one peer is waited for before another one is asked as well.
	peerInterval = 80 * time.Millisecond
	// maxPeersAsked is how many peers are asked for one connection, and maxFailedPeers how many of
	// them may fail that have paths to other targets: the target is down then.
	maxPeersAsked  = 6
	maxFailedPeers = 2
	// peerAvoidPeriod is how long a peer is not asked that is out of reach, busy or has no paths.
	peerAvoidPeriod = 2 * time.Second
)

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
		return place.Mix64(xxhash.Sum64String(t.self) ^ place.Mix64(xxhash.Sum64String(target.Name)^xxhash.Sum64String(m.Name)))
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

// dialPeer asks one peer to connect to the target.
func (t *Tunnel) dialPeer(ctx context.Context, p fireflypath.Member, target fireflypath.Target) peerResult {
	s, err := t.peers.OpenStream(ctx, p.PeerAddr)
	if err != nil {
		t.avoidUnlessCanceled(ctx, p.Name)
		return peerResult{err: errors.Wrapf(err, "connect through %s", p.Name)}
	}
	stop := context.AfterFunc(ctx, s.Reset)
	var response openResponse
	err = writeMessage(s, openRequest{Target: target.Identity()})
	if err == nil {
		err = readMessage(s, &response)
	}
	if !stop() {
		return peerResult{err: errors.Wrapf(ctx.Err(), "connect through %s", p.Name)}
	}
	switch {
	case err != nil:
		t.avoid(p.Name)
	case response.Refusal == refusalUnfit:
		t.avoid(p.Name)
		err = errPeerUnfit
	case response.Refusal != refusalNone:
		err = errTargetDown
	default:
		setTimeouts(s)
		return peerResult{conn: &conn{ByteStream: s, peer: p.Name}}
	}
	s.Reset()
	return peerResult{err: errors.Wrapf(err, "connect through %s", p.Name)}
}

// avoidUnlessCanceled avoids a peer that could not be reached in time.
func (t *Tunnel) avoidUnlessCanceled(ctx context.Context, name string) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		t.avoid(name)
	}
}

// setTimeouts has a lost path between daemons detected like one to a target. The tunnel works
// without that as well.
func setTimeouts(s *peer.ByteStream) { _ = http1.DetectLoss(s) }
