// Package quarantine shares with the other daemons which requests end targets, and holds those back.
package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	decide "github.com/fireflypath/fireflypath/internal/decide/quarantine"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// hearing is how long a suspect is served on before it is held: news cross a large
	// fleet in well under that, and daemons that served it say so.
	hearing = 500 * time.Millisecond
	// backupDelay is how much longer each further keeper waits: it decides only if
	// those before it did not.
	backupDelay = 300 * time.Millisecond
	// busyEvery is the pause between two steps while something is to be told or decided,
	// saveEvery between two attempts to write, idleEvery while there is nothing to do.
	busyEvery = 100 * time.Millisecond
	saveEvery = time.Second
	idleEvery = 30 * time.Second
	// keepers is how many daemons are told what ends targets: one may be lost with it.
	keepers = 2
)

// Peers is what Quarantine needs of the endpoint.
type Peers interface {
	Handle(method string, m peer.Method)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
	AddSource(peer.Source)
	AddSink(peer.Sink)
	AddUp(func(fireflypath.Member))
	Flush()
}

// Deps is what a Quarantine needs.
type Deps struct {
	// Self is this daemon's name.
	Self string
	// Peers and Members are nil for a daemon alone.
	Peers   Peers
	Members fireflypath.Members
	// Store keeps what is held over the end of all daemons.
	Store fireflypath.Store
	// PoolSize counts the targets of a pool.
	PoolSize func(pool string) int
	Clock    clockwork.Clock
	Scope    tally.Scope
	Log      *zap.Logger
}

// Quarantine knows the requests that are held. Each daemon reports the targets that end
// under its requests to the keepers, which decide; what they decide passes from daemon
// to daemon, and into the store for those that start later.
type Quarantine struct {
	deps  Deps
	count counters

	// list is what is known of requests, replaced as a whole: it is read by each request.
	list atomic.Pointer[map[digest.Digest]entry]
	// wake has Run make a step, unsavedWake has it save.
	wake, unsavedWake chan struct{}

	mu     sync.Mutex
	ledger *decide.Detector
	// judged is true while the ledger waits for nothing.
	judged bool
	// changes numbers what changed in the list here; told is up to where each peer knows.
	changes uint64
	told    map[string]uint64
	// unsaved are entries that the store does not hold yet as they are.
	unsaved map[digest.Digest]bool
	// failing is true while the store does not take what is to be written.
	failing bool
	reports reports
	answers memory
}

type counters struct {
	held, suspects               tally.Gauge
	refused, lost, failed, saved tally.Counter
}

// New connects to the endpoint before that serves.
func New(cfg decide.Config, deps Deps) *Quarantine {
	scope := deps.Scope.SubScope("quarantine")
	q := &Quarantine{
		deps: deps, ledger: decide.New(cfg), judged: true, wake: make(chan struct{}, 1), unsavedWake: make(chan struct{}, 1),
		told: map[string]uint64{}, unsaved: map[digest.Digest]bool{}, reports: newReports(), answers: newMemory(),
		count: counters{
			held: scope.Gauge("held"), suspects: scope.Gauge("suspects"), refused: scope.Counter("refused"),
			lost: scope.Counter("lost_targets"), failed: scope.Counter("reports_failed"), saved: scope.Counter("saved"),
		},
	}
	q.list.Store(&map[digest.Digest]entry{})
	if deps.Peers != nil {
		deps.Peers.Handle(methodReport, q.handle)
		deps.Peers.AddSource(q.tell)
		deps.Peers.AddSink(q.hear)
		deps.Peers.AddUp(q.met)
	}
	return q
}

// Held is how long the request is held, and whether it is.
func (q *Quarantine) Held(d digest.Digest) (time.Duration, bool) {
	e, ok := (*q.list.Load())[d]
	if !ok || e.State != decide.Held {
		return 0, false
	}
	left := e.Until.Sub(q.deps.Clock.Now())
	if left <= 0 {
		return 0, false
	}
	q.count.refused.Inc(1)
	return left, true
}

// TargetCrashed takes in that a target's connection ended while it ran a request that was sent
// at the given time.
func (q *Quarantine) TargetCrashed(d digest.Digest, t fireflypath.Target, began time.Time) {
	now := q.deps.Clock.Now()
	q.count.lost.Inc(1)
	q.mu.Lock()
	q.reports.lost(now, decide.Crash{
		Digest: d, Pool: t.Pool, Target: t.Identity(), PoolSize: q.deps.PoolSize(t.Pool), Started: began, Ended: now,
	})
	q.mu.Unlock()
	q.rouse()
}

// Served takes in that a target answered a request whole that was sent at the given time.
func (q *Quarantine) Served(d digest.Digest, t fireflypath.Target, began time.Time) {
	now := q.deps.Clock.Now()
	e, ok := (*q.list.Load())[d]
	listed := ok && e.State != decide.Cleared
	q.mu.Lock()
	q.answers.add(now, d)
	news := q.reports.alive(now, t.Identity(), began)
	news = q.reports.served(now, d, listed) || news
	q.mu.Unlock()
	if news {
		q.rouse()
	}
}

// rouse has Run make a step at once.
func (q *Quarantine) rouse() { signal(q.wake) }

func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run reports, decides and saves until the context ends. It saves beside the rest: a
// store that does not answer must not hold up what daemons tell each other.
func (q *Quarantine) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { q.loop(ctx, q.unsavedWake, saveEvery, q.Save) })
	q.loop(ctx, q.wake, busyEvery, q.Step)
	return ctx.Err()
}

// loop makes steps until the context ends: when it is woken, after a pause while a step
// leaves something to do, and seldom else.
func (q *Quarantine) loop(ctx context.Context, wake <-chan struct{}, pause time.Duration, step func(context.Context) bool) {
	for {
		wait := idleEvery
		if step(ctx) {
			wait = pause
		}
		t := q.deps.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.Chan():
		case <-wake:
			t.Stop()
		}
	}
}

// Step reports what is new to the keepers and decides what is due here. It tells whether
// something is left to do.
func (q *Quarantine) Step(ctx context.Context) bool {
	ks := q.keepers()
	left := q.report(ctx, ks)
	return q.judge(place(ks, q.deps.Self)) || left
}

// judge decides what is due. A keeper waits the longer the later its place is.
func (q *Quarantine) judge(place int) bool {
	q.mu.Lock()
	if q.judged {
		q.mu.Unlock()
		return false
	}
	now := q.deps.Clock.Now()
	verdicts, hearings := q.ledger.Evaluate(now, hearing+time.Duration(place)*backupDelay, nil)
	q.judged = !hearings
	for _, v := range verdicts {
		q.decided(v)
	}
	q.mu.Unlock()
	if len(verdicts) > 0 {
		q.flush()
	}
	return hearings
}

// flush tells the peers soon.
func (q *Quarantine) flush() {
	if q.deps.Peers != nil {
		q.deps.Peers.Flush()
	}
}
