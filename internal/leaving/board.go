// Package leaving spreads first-hand evidence of targets that leave or are dead.
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
	kindBack    = "back"
	// stepEvery is the resolution of what follows.
	stepEvery = time.Second
	// leavingLasts is how long a target's own word stands unless it is repeated,
	// so that what a daemon reported that is gone since does not stand for ever.
	leavingLasts = 2 * time.Minute
	// deadLasts is the same for a target that did not answer a daemon.
	deadLasts = 15 * time.Second
	// repeats is how often evidence is told while it lasts.
	repeats = 3
	// leastVoices is how many daemons must have found a target dead, and
	// voicePart the part of those that send work to it. One daemon's bad link
	// must not take a healthy target from all.
	leastVoices = 2
	voicePart   = 3
	// maxTargets bounds what peers can make this daemon hold.
	maxTargets = 8192
	// kept bounds the evidence kept for connections that have not sent it.
	kept = 256
	// perBeat bounds one message.
	perBeat = 32
)

// Peers is what the board needs of the endpoint.
type Peers interface {
	AddSource(peer.Source)
	AddSink(peer.Sink)
	OnConnect(func(fireflypath.Member))
	Flush()
}

// Tracker holds what this daemon and its peers saw of targets, and tells the
// route when the sum of it changes. It tells so from Run and from the endpoint,
// never from within Leaving, Dead and Back, whose callers may hold a lock that
// they take when they are told.
type Tracker struct {
	self    string
	mates   func() int
	peers   Peers
	leaving func(target, why string)
	back    func(target string)
	clock   clockwork.Clock
	count   counters

	// telling is held while the route is told, so that it hears changes in order.
	telling sync.Mutex

	mu     sync.Mutex
	number uint64
	// own is what this daemon saw itself.
	own map[string]*sight
	// heard holds the newest evidence by target and daemon.
	heard map[string]map[string]voice
	// out holds the targets that the route was told of.
	out     map[string]bool
	news    []peer.Evidence
	first   uint64
	cursors map[string]uint64
}

type counters struct {
	told, heard, leaving, dead, back tally.Counter
}

// sight is one thing that this daemon saw.
type sight struct {
	kind, why string
	told      time.Time
	// seen is when this daemon saw it last.
	seen time.Time
}

// voice is evidence with the time it came here.
type voice struct {
	peer.Evidence
	at time.Time
}

func (v *voice) lasts() time.Duration {
	if v.Kind == kindDead {
		return deadLasts
	}
	return leavingLasts
}

// New connects the board to the endpoint before that serves. mates gives the
// number of daemons that send work to the same targets; leaving and back are
// told when peers' evidence changes what is known.
func New(self string, mates func() int, peers Peers, leaving func(target, why string), back func(target string),
	clock clockwork.Clock, scope tally.Scope,
) *Tracker {
	scope = scope.SubScope("leaving")
	b := &Tracker{
		self: self, mates: mates, peers: peers, leaving: leaving, back: back, clock: clock,
		// Numbers go on where an earlier life under this name stopped.
		number: uint64(clock.Now().UnixNano()),
		own:    map[string]*sight{}, heard: map[string]map[string]voice{}, out: map[string]bool{},
		cursors: map[string]uint64{},
		count: counters{
			told: scope.Counter("told"), heard: scope.Counter("heard"), leaving: scope.Counter("leaving"),
			dead: scope.Counter("dead"), back: scope.Counter("back"),
		},
	}
	peers.AddSource(b.tell)
	peers.AddSink(b.hear)
	peers.OnConnect(b.met)
	return b
}

// Run repeats and forgets evidence until the context ends.
func (b *Tracker) Run(ctx context.Context) error {
	t := b.clock.NewTicker(stepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
			b.step()
		}
	}
}

// ReportLeaving spreads that this daemon learned first-hand that a target leaves.
func (b *Tracker) ReportLeaving(target, why string) { b.see(target, kindLeaving, why) }

// ReportDead spreads that a target does not answer this daemon. It is called for each
// time that this was seen, and lapses if it is not seen again: a daemon that no
// longer uses the target would speak against it for ever.
func (b *Tracker) ReportDead(target, why string) { b.see(target, kindDead, why) }

// ReportAlive takes back that a target did not answer this daemon; that it leaves
// stands.
func (b *Tracker) ReportAlive(target string) {
	b.mu.Lock()
	s := b.own[target]
	dead := s != nil && s.kind == kindDead
	b.mu.Unlock()
	if dead {
		b.ReportStaying(target)
	}
}

// SuspectedDead are the targets that some daemon found dead lately. Daemons look at
// idle targets every few seconds by turns; those that may be dead need a look
// by all at once, or a third would not have seen it within three seconds.
func (b *Tracker) SuspectedDead() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	now := b.clock.Now()
	for target, by := range b.heard {
		for _, v := range by {
			if v.Kind == kindDead && now.Sub(v.at) < deadLasts {
				out[target] = true
			}
		}
	}
	return out
}

// ReportStaying takes back what this daemon said of a target.
func (b *Tracker) ReportStaying(target string) {
	b.mu.Lock()
	s := b.own[target]
	delete(b.own, target)
	if s != nil && !s.told.IsZero() {
		b.say(target, kindBack, "")
	}
	b.mu.Unlock()
	b.peers.Flush()
}

func (b *Tracker) see(target, kind, why string) {
	b.mu.Lock()
	s := b.own[target]
	if s == nil || s.kind == kindDead && kind == kindLeaving {
		s = &sight{kind: kind, why: why}
		b.own[target] = s
	}
	if s.kind != kind {
		// A target that drains is gone soon; its own word says more.
		b.mu.Unlock()
		return
	}
	s.seen = b.clock.Now()
	said := b.repeat(target, s)
	b.mu.Unlock()
	if said {
		b.peers.Flush()
	}
}

// repeat tells what was seen if it is due, and if no other daemon's word of the
// same stands: a draining target is seen by all, and one word is enough. The
// caller holds mu.
func (b *Tracker) repeat(target string, s *sight) bool {
	now := b.clock.Now()
	v := voice{Evidence: peer.Evidence{Kind: s.kind}}
	if !s.told.IsZero() && now.Sub(s.told) < v.lasts()/repeats {
		return false
	}
	if s.kind == kindLeaving {
		for by, o := range b.heard[target] {
			if by != b.self && o.Kind == kindLeaving && now.Sub(o.at) < o.lasts()*2/repeats {
				return false
			}
		}
	}
	s.told = now
	b.say(target, s.kind, s.why)
	return true
}

// say adds this daemon's word. The caller holds mu.
func (b *Tracker) say(target, kind, why string) {
	b.number++
	b.count.told.Inc(1)
	b.take(peer.Evidence{Target: target, Observer: b.self, Sequence: b.number, Kind: kind, Reason: why})
}

// take keeps evidence that is newer than the daemon's word before, and queues
// it for the peers. The caller holds mu.
func (b *Tracker) take(e peer.Evidence) bool {
	by := b.heard[e.Target]
	if by == nil {
		if len(b.heard) >= maxTargets {
			return false
		}
		by = map[string]voice{}
		b.heard[e.Target] = by
	}
	if old, ok := by[e.Observer]; ok && old.Sequence >= e.Sequence {
		return false
	}
	by[e.Observer] = voice{Evidence: e, at: b.clock.Now()}
	b.news = append(b.news, e)
	if drop := len(b.news) - kept; drop > 0 {
		b.news = append(b.news[:0:0], b.news[drop:]...)
		b.first += uint64(drop)
	}
	return true
}

// judge tells the route if the sum of the evidence changed for a target.
func (b *Tracker) judge(target string) {
	b.telling.Lock()
	defer b.telling.Unlock()
	b.mu.Lock()
	why := b.verdict(target)
	was := b.out[target]
	if why != "" {
		b.out[target] = true
	} else {
		delete(b.out, target)
	}
	b.mu.Unlock()
	switch {
	case why != "" && !was:
		b.leaving(target, why)
	case why == "" && was:
		b.count.back.Inc(1)
		b.back(target)
	}
}

// verdict is why peers' evidence takes a target out, or empty. One daemon that
// heard it from the target is enough; that it did not answer must be the
// experience of several. The caller holds mu.
func (b *Tracker) verdict(target string) string {
	now := b.clock.Now()
	dead := 0
	for by, v := range b.heard[target] {
		if now.Sub(v.at) >= v.lasts() {
			continue
		}
		switch v.Kind {
		case kindLeaving:
			if by != b.self {
				return fmt.Sprintf("%s, seen by %s", v.Reason, by)
			}
		case kindDead:
			dead++
		}
	}
	if need := max(leastVoices, (b.mates()+voicePart-1)/voicePart); dead >= need {
		return fmt.Sprintf("does not answer %d daemons", dead)
	}
	return ""
}

// step repeats what is due, forgets what is old and judges again.
func (b *Tracker) step() {
	b.mu.Lock()
	now := b.clock.Now()
	said := false
	for target, s := range b.own {
		if s.kind == kindDead && now.Sub(s.seen) >= deadLasts {
			delete(b.own, target)
			continue
		}
		said = b.repeat(target, s) || said
	}
	var look []string
	for target, by := range b.heard {
		look = append(look, target)
		for name, v := range by {
			if now.Sub(v.at) >= leavingLasts {
				delete(by, name)
			}
		}
		if len(by) == 0 {
			delete(b.heard, target)
		}
	}
	b.mu.Unlock()
	if said {
		b.peers.Flush()
	}
	for _, target := range look {
		b.judge(target)
	}
}

func (b *Tracker) tell(to string, beat *peer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := max(b.cursors[to], b.first)
	until := min(from+perBeat, b.first+uint64(len(b.news)))
	beat.Evidence = append(beat.Evidence, b.news[from-b.first:until-b.first]...)
	b.cursors[to] = until
}

func (b *Tracker) hear(_ string, beat *peer.Heartbeat) {
	if len(beat.Evidence) == 0 {
		return
	}
	var changed []string
	b.mu.Lock()
	for _, e := range beat.Evidence {
		if e.Observer != b.self && e.Target != "" && b.take(e) {
			changed = append(changed, e.Target)
			b.count.heard.Inc(1)
		}
	}
	b.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	b.peers.Flush()
	for _, t := range changed {
		b.judge(t)
	}
}

// met has a new connection told all that is kept.
func (b *Tracker) met(m fireflypath.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cursors[m.Name] = 0
}
