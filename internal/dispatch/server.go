package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// server is the dispatcher's side of one pool: it places the work of the daemons that
// have a session with this one.
type server struct {
	d    *Dispatch
	pool string

	mu       sync.Mutex
	queue    *dispatcher.Dispatcher
	sessions map[string]*session
	// suspended is how long the host has been suspended, as far as noticed.
	suspended time.Duration
	// cellOnly is true if a dispatcher serves one cell only, and false if it serves all
	// daemons that share the pool's targets.
	cellOnly bool
	// targets is the number of targets of the pool.
	targets int
	// ranking is the last result of candidates.
	ranking ranking
	teams   *teamView
	timer   clockwork.Timer
	wakeAt  time.Time
	// since is when the first of the present sessions began.
	since  time.Time
	owners owners
}

// session is a daemon whose work this one places.
type session struct {
	id        uint64
	lastHeard time.Time
	// synced is true once the daemon has reported its in-flight work.
	synced bool
	lent   sentLoans
	// pushing is true while a goroutine sends decisions to the daemon.
	pushing bool
}

func newServer(d *Dispatch, cfg fireflypath.Pool) *server {
	return &server{
		d: d, pool: cfg.Name, queue: dispatcher.New(cfg.Name, d.newScheduler(cfg)), sessions: map[string]*session{},
		cellOnly: cfg.Kind == fireflypath.KindEngine, teams: newTeamView(cfg.Name, d.scope, d.log),
	}
}

// candidates returns the daemons that use the same dispatcher as this one, in the order in
// which all of them try each other as dispatcher. The caller holds mu.
//
// A pool of plain services has few targets and many short requests. Its targets are shared
// by many cells, so that a dispatcher for each would send them several times what they can
// run. The one dispatcher for all cells handles every request to the pool, which takes a
// host with enough processor time.
func (s *server) candidates() []fireflypath.Member {
	live, layout := s.d.fleet.Live(), s.d.fleet.Layout()
	if s.ranking.matches(live, layout, s.targets) {
		return s.ranking.members
	}
	names := layout.Members(s.d.self)
	if !s.cellOnly {
		names = layout.Sharing(s.d.self, s.targets)
	}
	if len(names) == 0 {
		names = []string{s.d.self}
	}
	s.ranking = ranking{live: live, layout: layout, targets: s.targets, members: rank(live, names, s.d.order(live, !s.cellOnly))}
	return s.ranking.members
}

// ranking is a list of dispatcher candidates and what it was computed from. Without it, each
// daemon would sort its whole fleet many times a second.
type ranking struct {
	live    []fireflypath.Member
	layout  *cell.Layout
	targets int
	members []fireflypath.Member
}

// matches reports whether the ranking was computed from the given values. Views of the
// membership are immutable, so equal slices share their first element.
func (r *ranking) matches(live []fireflypath.Member, layout *cell.Layout, targets int) bool {
	return r.layout == layout && r.targets == targets && len(r.live) == len(live) && len(live) > 0 && &r.live[0] == &live[0]
}

// heartbeatInterval is the longest time between two updates of a daemon that has no work
// waiting. The caller holds mu.
func (s *server) heartbeatInterval() time.Duration {
	return max(idleHeartbeat, time.Duration(len(s.candidates()))*idleHeartbeatPerDaemon)
}

// sessionTimeout is when the session of a silent daemon ends. The caller holds mu.
func (s *server) sessionTimeout() time.Duration {
	return heartbeatsPerSession * s.heartbeatInterval()
}

// processUpdate applies an update of a daemon and returns the decisions for it.
func (s *server) processUpdate(from string, m *updateMessage) (decisionsMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if m.First {
		s.startSession(now, from, m.Session)
		s.adoptLoans(now, m.Lent)
	}
	sess := s.sessions[from]
	if m.First || sess == nil || sess.id != m.Session {
		// What targets declare holds whoever places the daemon's work, and however late it is told.
		s.queue.ApplyNotices(now, m.Notices)
	}
	if sess == nil || sess.id != m.Session {
		return decisionsMessage{}, errNoSession
	}
	sess.lastHeard = now
	if m.End {
		s.endSession(now, from)
		s.pushDecisions(now)
		return decisionsMessage{}, nil
	}
	if !m.First {
		s.queue.SetLease(now, from, s.lease(now, from, m.leaseTerms))
		s.queue.Apply(now, from, &m.DispatchUpdate)
	}
	if !m.First && !sess.synced {
		sess.synced = true
		s.releaseIfSynced(now)
	}
	out := decisionsMessage{Session: m.Session, At: s.sentAt(), Notices: s.queue.TakeNotices(now, from), Decisions: s.queue.TakeDecisions(from), Lent: s.takeLoans(now, sess)}
	s.countDecisions(out.Decisions)
	s.pushDecisions(now)
	return out, nil
}

// startSession starts a session. With the first session the dispatcher knows nothing of
// the rest of its cell, whose daemons are about to start sessions or to report their
// in-flight work. It holds all work back for gatherTimeout.
func (s *server) startSession(now time.Time, from string, id uint64) {
	if len(s.sessions) == 0 {
		s.since = now
		s.queue.PauseUntil(now, now.Add(gatherTimeout))
	}
	s.sessions[from] = &session{id: id}
	s.queue.OpenSession(now, from, id)
	// It has not reported its in-flight work yet.
	s.queue.SetLease(now, from, dispatcher.Lease{Until: now})
}

// lease returns the time in which a daemon's part of what targets bear may be used here. That of this
// daemon itself needs no renewal: its messages are not delayed.
func (s *server) lease(now time.Time, from string, terms leaseTerms) dispatcher.Lease {
	l := dispatcher.Lease{From: now.Add(terms.Held.Std())}
	if from != s.d.self {
		l.Until = now.Add(terms.Received.Std() + terms.Lease.Std() - s.d.boot.Elapsed())
	}
	return l
}

// sentAt returns when a message that is sent now was sent.
func (s *server) sentAt() fireflypath.Micros { return fireflypath.MicrosOf(s.d.boot.Elapsed()) }

// now returns the time. If the host was suspended since the last call, the other daemons' leases end:
// they may have ended meanwhile, and the clock does not show it. The caller holds mu.
func (s *server) now() time.Time {
	elapsed := s.d.boot.Elapsed() // read first: a delay between the two readings is no suspension
	now := s.d.clock.Now()
	suspended := elapsed - now.Sub(s.d.created)
	if suspended-s.suspended > minSuspension {
		s.queue.EndLeases(now, s.d.self)
		s.queue.EndBorrowing()
	}
	s.suspended = max(s.suspended, suspended)
	return now
}

// minSuspension is the shortest time that counts as a suspension of the host. The margin of a lease covers
// shorter ones.
const minSuspension = 20 * time.Millisecond

// releaseIfSynced stops holding work back once the whole cell has reported its in-flight
// work.
func (s *server) releaseIfSynced(now time.Time) {
	if !s.hasPartialView() {
		s.queue.PauseUntil(now, time.Time{})
	}
}

// hasPartialView reports whether this daemon places work without knowing the in-flight
// work of its whole cell. The caller holds mu.
func (s *server) hasPartialView() bool {
	if len(s.sessions) == 0 {
		return false
	}
	for _, m := range s.candidates() {
		if sess := s.sessions[m.Name]; sess == nil || !sess.synced {
			return true
		}
	}
	return false
}

func (s *server) countDecisions(decisions []fireflypath.Decision) {
	for _, t := range decisions {
		if t.Target == "" {
			s.d.metrics.refused.Inc(1)
		} else {
			s.d.metrics.placed.Inc(1)
		}
		if t.Within > 0 {
			s.d.metrics.borrowed.Inc(1)
		}
	}
}

// endSession forgets a daemon. The caller holds mu.
func (s *server) endSession(now time.Time, name string) {
	delete(s.sessions, name)
	s.queue.CloseSession(now, name)
}

// pushDecisions starts sending pending decisions to their daemons and sets the next wake
// time. The caller holds mu.
func (s *server) pushDecisions(now time.Time) {
	s.teams.update(now, s.queue.BusiestTeams)
	s.d.metrics.sessions.Update(float64(len(s.sessions)))
	for name, sess := range s.sessions {
		if sess.pushing || !s.queue.HasDecisions(name) {
			continue
		}
		sess.pushing = true
		s.d.spawn(func() { s.sendPending(name, sess) })
	}
	s.scheduleWake(now)
}

// sendPending sends decisions to one daemon until none are pending.
func (s *server) sendPending(name string, sess *session) {
	for {
		s.mu.Lock()
		if s.sessions[name] != sess || !s.queue.HasDecisions(name) {
			sess.pushing = false
			s.mu.Unlock()
			return
		}
		m := decisionsMessage{
			Pool: s.pool, Session: sess.id, At: s.sentAt(), Notices: s.queue.TakeNotices(s.now(), name), Decisions: s.queue.TakeDecisions(name), Lent: s.takeLoans(s.now(), sess),
		}
		s.countDecisions(m.Decisions)
		s.mu.Unlock()
		if s.send(name, &m) {
			continue
		}
		// The daemon has chosen another dispatcher or is gone.
		s.mu.Lock()
		if s.sessions[name] == sess {
			now := s.now()
			s.endSession(now, name)
			s.pushDecisions(now)
		}
		s.mu.Unlock()
		return
	}
}

// send reports whether the daemon accepted the decisions. One that may only be late is sent them again:
// it applies each decision once.
func (s *server) send(name string, m *decisionsMessage) bool {
	if name == s.d.self {
		return s.d.applyDecisions(m)
	}
	for range pushAttempts {
		known, err := s.call(name, m)
		if err == nil || !errors.Is(err, context.DeadlineExceeded) {
			return known
		}
	}
	return false
}

func (s *server) call(name string, m *decisionsMessage) (known bool, err error) {
	to, ok := fireflypath.FindMember(s.d.fleet.Live(), name)
	if !ok {
		return false, peer.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(s.d.ctx, callTimeout)
	defer cancel()
	var a ack
	err = s.d.peers.Call(ctx, to, methodDecisions, m, &a)
	return err == nil && a.Known, err
}

// scheduleWake sets the timer if the queue has to be woken earlier. The caller holds mu.
func (s *server) scheduleWake(now time.Time) {
	at := now.Add(s.sessionTimeout())
	if due := s.queue.Wake(now); !due.IsZero() && due.Before(at) {
		at = due
	}
	if len(s.sessions) == 0 {
		return
	}
	if earliest := now.Add(minWakeDelay); at.Before(earliest) {
		at = earliest
	}
	if s.wakeAt.After(now) && !at.Before(s.wakeAt) {
		return
	}
	s.wakeAt = at
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = s.d.clock.AfterFunc(at.Sub(now), s.wake)
}

// minWakeDelay prevents a busy loop if the queue asks to be woken at once.
const minWakeDelay = time.Millisecond

// wake ends the sessions of silent daemons and runs what is due in the queue.
func (s *server) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.d.ctx.Err() != nil {
		return
	}
	now := s.now()
	s.wakeAt = time.Time{}
	timeout := s.sessionTimeout()
	for name, sess := range s.sessions {
		if now.Sub(sess.lastHeard) > timeout {
			s.endSession(now, name)
		}
	}
	s.queue.Tick(now)
	s.pushDecisions(now)
}

func (s *server) setTargets(targets []fireflypath.Target) {
	s.change(func(now time.Time) {
		s.targets, s.owners = len(targets), owners{}
		s.queue.SetTargets(now, targets)
	})
}

func (s *server) setShare(share fireflypath.Share) {
	s.change(func(now time.Time) { s.queue.SetShare(now, share) })
}

func (s *server) updatePeers(peers []fireflypath.PeerLoad) {
	s.change(func(now time.Time) { s.queue.UpdatePeers(now, peers) })
}

// change runs fn under the lock and pushes the decisions that result.
func (s *server) change(fn func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	fn(now)
	s.pushDecisions(now)
}
