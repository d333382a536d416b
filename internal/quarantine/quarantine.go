// Package quarantine holds poison requests, which crash the targets that run them, at all
// daemons: a request that is sent again, or all requests that share a part. Package poison decides
// which requests these are; this package collects the crashes that daemons observe, and spreads and
// stores the verdicts.
//
// A request is identified by its causes: the digest of the request itself, followed by those of the
// parts that it shares with others.
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
	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// confirmationPeriod is how long a suspect is still served before it is held. Entries
	// cross a large fleet in well under that, and daemons that served the request report it.
	confirmationPeriod = 500 * time.Millisecond
	// backupDelay is how much longer each further coordinator waits, so that it decides only
	// if those before it did not.
	backupDelay = 300 * time.Millisecond
	// busyInterval is the time between steps while there is something to report or decide,
	// saveRetryInterval between attempts to save, idleInterval while there is nothing to do.
	busyInterval      = 100 * time.Millisecond
	saveRetryInterval = time.Second
	idleInterval      = 30 * time.Second
	// warmUpAnswers is after how many answers of this daemon bursts of crashes are evidence. What
	// many requests share has been answered somewhere by then.
	warmUpAnswers = 32
	// coordinatorCount is the number of daemons that receive all reports, so that one may be
	// lost with what it received.
	coordinatorCount = 2
)

// Peers is the part of the peer endpoint that Quarantine uses.
type Peers interface {
	Handle(method string, m peer.Handler)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
	AddSource(peer.Source)
	AddSink(peer.Sink)
	OnConnect(func(fireflypath.Member))
	Flush()
}

// Deps are the dependencies of a Quarantine.
type Deps struct {
	// Self is this daemon's name.
	Self string
	// Peers and Members are nil for a standalone daemon.
	Peers   Peers
	Members fireflypath.Members
	// Store keeps held requests across a restart of all daemons.
	Store fireflypath.Store
	// PoolSize returns the number of targets of a pool.
	PoolSize func(pool string) int
	Clock    clockwork.Clock
	Scope    tally.Scope
	Log      *zap.Logger
}

// Quarantine holds poison requests. Each daemon reports target crashes during its requests to
// the coordinators, which decide. Verdicts spread from daemon to daemon in heartbeats, and
// are saved to the store for daemons that start later.
type Quarantine struct {
	deps    Deps
	metrics metrics

	// entries holds what is known. It is replaced as a whole, as every request reads it.
	entries atomic.Pointer[table]
	// stepWake and saveWake make Run take a step or save at once.
	stepWake, saveWake chan struct{}

	mu       sync.Mutex
	detector *poison.Detector
	// detectorIdle is true while the detector has nothing to evaluate.
	detectorIdle bool
	// lastSeq numbers the changes of entries; sentSeq is the last change sent to each peer.
	lastSeq uint64
	sentSeq map[string]uint64
	// unsaved are the requests whose entries differ from those in the store.
	unsaved map[digest.Digest]bool
	// saveFailing is true while writes to the store fail.
	saveFailing bool
	reports     reportLog
	// answeredRequests and answeredParts are kept apart: requests differ far more than parts and
	// would displace them.
	answeredRequests, answeredParts answerSet
	// answers is the number of complete answers, up to warmUpAnswers.
	answers int
}

type metrics struct {
	held, suspects                tally.Gauge
	crashes, failedReports, saved tally.Counter
	// refused counts refused requests by what is held.
	refused map[poison.Kind]tally.Counter
}

// New returns a quarantine connected to the endpoint, which must not be serving yet.
func New(cfg poison.Config, deps Deps) *Quarantine {
	scope := deps.Scope.SubScope("quarantine")
	q := &Quarantine{
		deps: deps, detector: poison.New(cfg), detectorIdle: true, stepWake: make(chan struct{}, 1), saveWake: make(chan struct{}, 1),
		sentSeq: map[string]uint64{}, unsaved: map[digest.Digest]bool{}, reports: newReportLog(), answeredRequests: newAnswerSet(), answeredParts: newAnswerSet(),
		metrics: metrics{
			held: scope.Gauge("held"), suspects: scope.Gauge("suspects"), crashes: scope.Counter("lost_targets"),
			failedReports: scope.Counter("reports_failed"), saved: scope.Counter("saved"), refused: map[poison.Kind]tally.Counter{},
		},
	}
	for _, k := range []poison.Kind{poison.KindRequest, poison.KindPart} {
		q.metrics.refused[k] = scope.Tagged(map[string]string{"kind": string(k)}).Counter("refused")
	}
	q.entries.Store(newTable(map[digest.Digest]entry{}))
	if deps.Peers != nil {
		deps.Peers.Handle(methodReport, q.handleReport)
		deps.Peers.AddSource(q.addToHeartbeat)
		deps.Peers.AddSink(q.receiveHeartbeat)
		deps.Peers.OnConnect(q.peerConnected)
	}
	return q
}

// Held returns the digest of what holds a request with the causes, and for how much longer the
// request is refused. It reports false if the request is not held.
func (q *Quarantine) Held(causes []digest.Digest) (held digest.Digest, remaining time.Duration, ok bool) {
	t := q.entries.Load()
	if len(t.holds) == 0 {
		return 0, 0, false
	}
	now := q.deps.Clock.Now()
	for _, d := range causes {
		for _, e := range t.holds[d] {
			if remaining := e.Until.Sub(now); remaining > 0 && e.coversAll(causes) {
				q.metrics.refused[e.Kind].Inc(1)
				return e.Digest, remaining, true
			}
		}
	}
	return 0, 0, false
}

// TargetCrashed records that a target's connection ended while it ran a request with the causes that
// was sent at the given time.
func (q *Quarantine) TargetCrashed(causes []digest.Digest, t fireflypath.Target, sent time.Time) {
	now := q.deps.Clock.Now()
	q.metrics.crashes.Inc(1)
	q.mu.Lock()
	q.reports.recordCrash(now, poison.Crash{
		Causes: causes, Pool: t.Pool, Target: t.Identity(), PoolSize: q.deps.PoolSize(t.Pool), Started: sent, Ended: now,
	})
	q.mu.Unlock()
	q.wakeStep()
}

// Served records that a target answered a request with the causes completely that was sent at the
// given time.
func (q *Quarantine) Served(causes []digest.Digest, t fireflypath.Target, sent time.Time) {
	now := q.deps.Clock.Now()
	known := q.entries.Load()
	q.mu.Lock()
	q.answeredRequests.add(now, causes[:1])
	q.answeredParts.add(now, causes[1:])
	changed := false
	if q.answers++; q.answers == warmUpAnswers {
		q.detector.SetWarm()
		q.detectorIdle, changed = false, true
	}
	changed = q.reports.retractCrashes(now, t.Identity(), sent) || changed
	for _, d := range causes {
		changed = q.reports.recordServed(now, d, known.watched[d]) || changed
	}
	q.mu.Unlock()
	if changed {
		q.wakeStep()
	}
}

// Alive records that a target answered a request that was sent at the given time, although it is not
// known whether the answer was complete.
func (q *Quarantine) Alive(t fireflypath.Target, sent time.Time) {
	q.mu.Lock()
	changed := q.reports.retractCrashes(q.deps.Clock.Now(), t.Identity(), sent)
	q.mu.Unlock()
	if changed {
		q.wakeStep()
	}
}

// wakeStep makes Run take a step at once.
func (q *Quarantine) wakeStep() { notify(q.stepWake) }

func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run reports, decides and saves until the context ends. Saving runs concurrently, so that an
// unresponsive store does not delay reports.
func (q *Quarantine) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { q.runLoop(ctx, q.saveWake, saveRetryInterval, q.Save) })
	q.runLoop(ctx, q.stepWake, busyInterval, q.Step)
	return ctx.Err()
}

// runLoop repeats a step until the context ends: when woken, after the pause while the step
// reports more to do, and every idleInterval otherwise.
func (q *Quarantine) runLoop(ctx context.Context, wake <-chan struct{}, pause time.Duration, step func(context.Context) bool) {
	for {
		wait := idleInterval
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

// Step sends new observations to the coordinators and makes the decisions that are due. It
// reports whether there is more to do.
func (q *Quarantine) Step(ctx context.Context) bool {
	coordinators := q.coordinators()
	more := q.sendReports(ctx, coordinators)
	return q.evaluate(coordinatorIndex(coordinators, q.deps.Self)) || more
}

// evaluate makes the decisions that are due and reports whether some are pending. The
// confirmation period is longer for coordinators with a higher index.
func (q *Quarantine) evaluate(index int) bool {
	q.mu.Lock()
	if q.detectorIdle {
		q.mu.Unlock()
		return false
	}
	now := q.deps.Clock.Now()
	verdicts, pending := q.detector.Evaluate(now, confirmationPeriod+time.Duration(index)*backupDelay, nil)
	q.detectorIdle = !pending
	for _, v := range verdicts {
		q.recordVerdict(v)
		q.reportAnswered(now, entry{Verdict: v}.causes())
	}
	q.mu.Unlock()
	if len(verdicts) > 0 {
		q.flushPeers()
	}
	return pending
}

// flushPeers makes the peers' next heartbeats go out soon.
func (q *Quarantine) flushPeers() {
	if q.deps.Peers != nil {
		q.deps.Peers.Flush()
	}
}
