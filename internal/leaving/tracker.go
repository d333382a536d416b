// Package leaving shares first-hand evidence of leaving and dead targets between daemons.
package leaving

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	kindLeaving = "leaving"
	kindDead    = "dead"
	kindStaying = "back"
	// stepInterval is how often evidence is repeated, expired and evaluated.
	stepInterval = time.Second
	// leavingTTL is how long a report that a target leaves is valid unless it is repeated.
	// It makes the report of a daemon that is gone expire.
	leavingTTL = 2 * time.Minute
	// deadTTL is how long a report that a target did not respond to a daemon is valid.
	deadTTL = 15 * time.Second
	// sendsPerTTL is how often evidence is sent within its TTL.
	sendsPerTTL = 3
	// A target is taken for dead if at least minDeadReports daemons, and at least one in
	// deadReportDivisor of those that send work to it, report it dead. One daemon's bad
	// link must not remove a healthy target from all.
	minDeadReports    = 2
	deadReportDivisor = 3
	// maxTargets limits the memory that peers can make this daemon use.
	maxTargets = 8192
	// maxQueued limits the evidence kept for connections that have not sent it yet.
	maxQueued = 256
	// maxPerHeartbeat limits the evidence in one heartbeat.
	maxPerHeartbeat = 32
)

// Peers is the part of the peer endpoint that Tracker uses.
type Peers interface {
	AddSource(peer.Source)
	AddSink(peer.Sink)
	OnConnect(func(fireflypath.Member))
	Flush()
}

// Tracker holds the observations of targets by this daemon and its peers and calls onLeaving
// and onStaying when their combined result changes. It calls them from Run and from the
// endpoint, never from within ReportLeaving, ReportDead and ReportStaying, whose callers may
// hold a lock that the callbacks take.
type Tracker struct {
	self      string
	cellSize  func() int
	peers     Peers
	onLeaving func(target, why string)
	onStaying func(target string)
	clock     clockwork.Clock
	metrics   metrics

	// notifyMu is held during the callbacks, so that they are called in order.
	notifyMu sync.Mutex

	mu       sync.Mutex
	sequence uint64
	// observations holds what this daemon observed itself, by target.
	observations map[string]*observation
	// evidence holds the newest evidence by target and daemon.
	evidence map[string]map[string]timedEvidence
	// removed holds the targets for which onLeaving was called last.
	removed map[string]bool
	// queue holds the latest evidence for peers. queueStart is the position of its first
	// element, and cursors holds the position up to which each peer was sent the queue.
	queue      []peer.Evidence
	queueStart uint64
	cursors    map[string]uint64
}

type metrics struct {
	sent, received, leaving, dead, staying tally.Counter
}

// observation is the state of a target as this daemon observed it.
type observation struct {
	kind, reason string
	sentAt       time.Time
	// seenAt is when this daemon made the observation last.
	seenAt time.Time
}

// timedEvidence is evidence with the time of its receipt.
type timedEvidence struct {
	peer.Evidence
	receivedAt time.Time
}

func (v *timedEvidence) ttl() time.Duration {
	if v.Kind == kindDead {
		return deadTTL
	}
	return leavingTTL
}

// New registers the tracker with the endpoint. It must be called before the endpoint serves.
// cellSize returns the number of daemons that send work to the same targets. onLeaving and
// onStaying are called when the evidence of peers changes the combined result.
func New(self string, cellSize func() int, peers Peers, onLeaving func(target, why string), onStaying func(target string),
	clock clockwork.Clock, scope tally.Scope,
) *Tracker {
	scope = scope.SubScope("leaving")
	t := &Tracker{
		self: self, cellSize: cellSize, peers: peers, onLeaving: onLeaving, onStaying: onStaying, clock: clock,
		// The sequence continues after that of an earlier process with the same name.
		sequence:     uint64(clock.Now().UnixNano()),
		observations: map[string]*observation{}, evidence: map[string]map[string]timedEvidence{}, removed: map[string]bool{},
		cursors: map[string]uint64{},
		metrics: metrics{
			sent: scope.Counter("told"), received: scope.Counter("heard"), leaving: scope.Counter("leaving"),
			dead: scope.Counter("dead"), staying: scope.Counter("back"),
		},
	}
	peers.AddSource(t.fillHeartbeat)
	peers.AddSink(t.receive)
	peers.OnConnect(t.resetPeer)
	return t
}

// Run repeats and expires evidence until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := t.clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			t.step()
		}
	}
}

// ReportLeaving reports that this daemon learned first-hand that a target leaves.
func (t *Tracker) ReportLeaving(target, reason string) { t.observe(target, kindLeaving, reason) }

// ReportDead reports that a target does not respond to this daemon. It must be called each
// time that this is observed. The report expires unless it is repeated, or a daemon that no
// longer uses the target would report it dead forever.
func (t *Tracker) ReportDead(target, reason string) { t.observe(target, kindDead, reason) }

// ReportAlive withdraws a report that a target did not respond to this daemon. A report that
// the target leaves stays valid.
func (t *Tracker) ReportAlive(target string) {
	t.mu.Lock()
	s := t.observations[target]
	dead := s != nil && s.kind == kindDead
	t.mu.Unlock()
	if dead {
		t.ReportStaying(target)
	}
}

// SuspectedDead returns the targets that some daemon reported dead recently. Daemons take
// turns to probe idle targets every few seconds. All daemons have to probe a suspected target
// at once. Otherwise, less than a third of them would have noticed within three seconds that
// it is dead.
func (t *Tracker) SuspectedDead() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	now := t.clock.Now()
	for target, byObserver := range t.evidence {
		for _, v := range byObserver {
			if v.Kind == kindDead && now.Sub(v.receivedAt) < deadTTL {
				out[target] = true
			}
		}
	}
	return out
}

// ReportStaying withdraws this daemon's report of a target.
func (t *Tracker) ReportStaying(target string) {
	t.mu.Lock()
	s := t.observations[target]
	delete(t.observations, target)
	if s != nil && !s.sentAt.IsZero() {
		t.send(target, kindStaying, "")
	}
	t.mu.Unlock()
	t.peers.Flush()
}

func (t *Tracker) observe(target, kind, reason string) {
	t.mu.Lock()
	s := t.observations[target]
	if s == nil || s.kind == kindDead && kind == kindLeaving {
		s = &observation{kind: kind, reason: reason}
		t.observations[target] = s
	}
	if s.kind != kind {
		// A draining target stops soon, and its own report says more than a failed probe.
		t.mu.Unlock()
		return
	}
	s.seenAt = t.clock.Now()
	sent := t.sendIfDue(target, s)
	t.mu.Unlock()
	if sent {
		t.peers.Flush()
	}
}

// sendIfDue sends an observation if it is due and no other daemon's report that the target
// leaves is valid: all daemons observe that a target drains, and one report is enough. The
// caller holds mu.
func (t *Tracker) sendIfDue(target string, s *observation) bool {
	now := t.clock.Now()
	v := timedEvidence{Evidence: peer.Evidence{Kind: s.kind}}
	if !s.sentAt.IsZero() && now.Sub(s.sentAt) < v.ttl()/sendsPerTTL {
		return false
	}
	if s.kind == kindLeaving {
		for observer, o := range t.evidence[target] {
			if observer != t.self && o.Kind == kindLeaving && now.Sub(o.receivedAt) < o.ttl()*2/sendsPerTTL {
				return false
			}
		}
	}
	s.sentAt = now
	t.send(target, s.kind, s.reason)
	return true
}

// send adds a report of this daemon. The caller holds mu.
func (t *Tracker) send(target, kind, reason string) {
	t.sequence++
	t.metrics.sent.Inc(1)
	t.add(peer.Evidence{Target: target, Observer: t.self, Sequence: t.sequence, Kind: kind, Reason: reason})
}

// add stores evidence that is newer than the observer's previous evidence and queues it for
// the peers. The caller holds mu.
func (t *Tracker) add(e peer.Evidence) bool {
	byObserver := t.evidence[e.Target]
	if byObserver == nil {
		if len(t.evidence) >= maxTargets {
			return false
		}
		byObserver = map[string]timedEvidence{}
		t.evidence[e.Target] = byObserver
	}
	if old, ok := byObserver[e.Observer]; ok && old.Sequence >= e.Sequence {
		return false
	}
	byObserver[e.Observer] = timedEvidence{Evidence: e, receivedAt: t.clock.Now()}
	t.queue = append(t.queue, e)
	if drop := len(t.queue) - maxQueued; drop > 0 {
		t.queue = append(t.queue[:0:0], t.queue[drop:]...)
		t.queueStart += uint64(drop)
	}
	return true
}

// evaluate calls onLeaving or onStaying if the combined result changed for a target.
func (t *Tracker) evaluate(target string) {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	t.mu.Lock()
	reason := t.leavingReason(target)
	wasRemoved := t.removed[target]
	if reason != "" {
		t.removed[target] = true
	} else {
		delete(t.removed, target)
	}
	t.mu.Unlock()
	switch {
	case reason != "" && !wasRemoved:
		t.onLeaving(target, reason)
	case reason == "" && wasRemoved:
		t.metrics.staying.Inc(1)
		t.onStaying(target)
	}
}

// leavingReason returns the reason why the evidence of peers removes a target, or "". One
// daemon that learned from the target that it leaves suffices, but several daemons have to
// report that it does not respond. The caller holds mu.
func (t *Tracker) leavingReason(target string) string {
	now := t.clock.Now()
	dead := 0
	for observer, v := range t.evidence[target] {
		if now.Sub(v.receivedAt) >= v.ttl() {
			continue
		}
		switch v.Kind {
		case kindLeaving:
			if observer != t.self {
				return fmt.Sprintf("%s, seen by %s", v.Reason, observer)
			}
		case kindDead:
			dead++
		}
	}
	if required := max(minDeadReports, (t.cellSize()+deadReportDivisor-1)/deadReportDivisor); dead >= required {
		return fmt.Sprintf("does not answer %d daemons", dead)
	}
	return ""
}

// step repeats the due observations, expires old evidence and evaluates all targets again.
func (t *Tracker) step() {
	t.mu.Lock()
	now := t.clock.Now()
	sent := false
	for target, s := range t.observations {
		if s.kind == kindDead && now.Sub(s.seenAt) >= deadTTL {
			delete(t.observations, target)
			continue
		}
		sent = t.sendIfDue(target, s) || sent
	}
	var targets []string
	for target, byObserver := range t.evidence {
		targets = append(targets, target)
		for name, v := range byObserver {
			if now.Sub(v.receivedAt) >= leavingTTL {
				delete(byObserver, name)
			}
		}
		if len(byObserver) == 0 {
			delete(t.evidence, target)
		}
	}
	t.mu.Unlock()
	if sent {
		t.peers.Flush()
	}
	for _, target := range targets {
		t.evaluate(target)
	}
}

// fillHeartbeat adds the evidence that a peer was not sent yet.
func (t *Tracker) fillHeartbeat(to string, hb *peer.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := max(t.cursors[to], t.queueStart)
	end := min(start+maxPerHeartbeat, t.queueStart+uint64(len(t.queue)))
	hb.Evidence = append(hb.Evidence, t.queue[start-t.queueStart:end-t.queueStart]...)
	t.cursors[to] = end
}

// receive stores evidence from a heartbeat and passes new evidence on.
func (t *Tracker) receive(_ string, hb *peer.Heartbeat) {
	if len(hb.Evidence) == 0 {
		return
	}
	var changed []string
	t.mu.Lock()
	for _, e := range hb.Evidence {
		if e.Observer != t.self && e.Target != "" && t.add(e) {
			changed = append(changed, e.Target)
			t.metrics.received.Inc(1)
		}
	}
	t.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	t.peers.Flush()
	for _, target := range changed {
		t.evaluate(target)
	}
}

// resetPeer makes the next heartbeats on a new connection send the whole queue again.
func (t *Tracker) resetPeer(m fireflypath.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cursors[m.Name] = 0
}
