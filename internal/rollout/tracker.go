package rollout

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	decide "github.com/fireflypath/fireflypath/internal/decide/rollout"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodReport = "rollout.report"
	// reportTimeout is how long an answer to a report is waited for.
	reportTimeout = 400 * time.Millisecond
	// urgentInterval is the least time between reports when there are bad responses.
	urgentInterval = 100 * time.Millisecond
	// settleTime is how long after a switch the pools may still place requests at the old version.
	// Such requests are sent to the new version, so that this only avoids detours.
	settleTime = 200 * time.Millisecond
	// ripeTime is the time after which a response that goes on counts as one that has not failed.
	ripeTime = 1200 * time.Millisecond
	// maxVersions bounds the versions of pools that are remembered without requests.
	maxVersions = 1024
	// durationMemory is for how long the longest time of requests is remembered at least.
	durationMemory = 30 * time.Second
)

// Peers is the part of the peer endpoint that Tracker uses.
type Peers interface {
	Handle(method string, m peer.Handler)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// reportMessage is a daemon's report to the holder of a trial.
type reportMessage struct {
	Pool string `json:"p"`
	ID   uint64 `json:"i"`
	Boot uint64 `json:"b"`
	decide.Report
}

// permissionMessage is the holder's answer.
type permissionMessage struct {
	Term uint64 `json:"f"`
	decide.Permission
}

// TrackerDeps are the dependencies of a Tracker.
type TrackerDeps struct {
	Self    string
	Members fireflypath.Members
	Peers   Peers
	Configs fireflypath.Configs
	Policy  decide.Policy
	Clock   clockwork.Clock
	Scope   tally.Scope
	Log     *zap.Logger
}

// Tracker decides which requests of this daemon go to versions on trial, and reports their results to the
// daemon that holds the trial.
type Tracker struct {
	deps  TrackerDeps
	scope tally.Scope
	boot  uint64
	// trials holds the pools whose order has no final result or whose old version is about to stop.
	trials atomic.Pointer[map[string]*poolTrial]
	wake   chan struct{}
	// receive handles reports to this daemon.
	receive func(from string, m *reportMessage) (permissionMessage, bool)

	mu       sync.RWMutex
	versions map[versionKey]*versionState
}

type versionKey struct{ pool, version string }

// versionState is what is known of the requests of this daemon at a version, ordered or not.
type versionState struct {
	inFlight atomic.Int64
	// longest and before are the longest times in milliseconds of this and the last period.
	longest, before atomic.Int64
	rotated         atomic.Int64
}

// recordDuration records how long a request took.
func (s *versionState) recordDuration(now time.Time, took time.Duration) {
	if last := s.rotated.Load(); now.UnixMilli()-last > durationMemory.Milliseconds() && s.rotated.CompareAndSwap(last, now.UnixMilli()) {
		s.before.Store(s.longest.Swap(0))
	}
	for ms := took.Milliseconds(); ; {
		longest := s.longest.Load()
		if ms <= longest || s.longest.CompareAndSwap(longest, ms) {
			return
		}
	}
}

// versionCounters count the requests of a pool while an order has no result.
type versionCounters struct{ requests, failed tally.Counter }

// newVersionCounters returns the counters of the old or the new version.
func (t *Tracker) newVersionCounters(pool, version string) versionCounters {
	s := t.scope.Tagged(map[string]string{"pool": pool, "version": version})
	return versionCounters{s.Counter("requests"), s.Counter("failed")}
}

// poolTrial is the trial of one pool.
type poolTrial struct {
	// old counts the requests to the old version, next those to the new one.
	old, next versionCounters
	phase     atomic.Pointer[fireflypath.Rollout]

	mu      sync.Mutex
	counter decide.Counter
	// inFlight counts the requests at each target of the new version.
	inFlight map[string]int
	term     uint64
	// id is the ID of the trial, switchedAt when all requests went to the new version.
	id         uint64
	switchedAt time.Time
	reportedAt time.Time
	urgent     bool
}

// NewTracker returns a tracker. It must be called before the endpoint of Peers serves.
func NewTracker(deps TrackerDeps) *Tracker {
	t := &Tracker{
		deps: deps, scope: deps.Scope.SubScope("rollout"), boot: rand.Uint64(), wake: make(chan struct{}, 1), versions: map[versionKey]*versionState{},
	}
	t.trials.Store(&map[string]*poolTrial{})
	deps.Peers.Handle(methodReport, t.handleReport)
	return t
}

// handleReport receives the report of another daemon.
func (t *Tracker) handleReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m reportMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode a report on a trial")
	}
	if t.receive == nil {
		return nil, errors.New("this daemon tries no versions")
	}
	p, ok := t.receive(from, &m)
	if !ok {
		return nil, errors.New("this daemon does not hold the trial")
	}
	return p, nil
}

// Apply adopts the orders of a configuration.
func (t *Tracker) Apply(cfg *fireflypath.Config) {
	old := *t.trials.Load()
	next := make(map[string]*poolTrial, len(cfg.Rollouts))
	now := t.deps.Clock.Now()
	for i := range cfg.Rollouts {
		r := &cfg.Rollouts[i]
		p := old[r.Pool]
		if p == nil || p.phase.Load().Version != r.Version || p.id != 0 && r.Tried && p.id != r.Record.ID {
			p = &poolTrial{inFlight: map[string]int{}, old: t.newVersionCounters(r.Pool, "old"), next: t.newVersionCounters(r.Pool, r.Version)}
		}
		p.mu.Lock()
		if r.Tried {
			p.id = r.Record.ID
		}
		p.phase.Store(r)
		if !isTrial(r) {
			p.counter.Revoke()
		}
		if hasSwitched(r) && p.switchedAt.IsZero() {
			p.switchedAt, p.urgent = now, true
		}
		p.mu.Unlock()
		next[r.Pool] = p
	}
	t.trials.Store(&next)
	t.prune()
	notify(t.wake)
}

// prune forgets versions without requests if there are many.
func (t *Tracker) prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.versions) > maxVersions {
		maps.DeleteFunc(t.versions, func(_ versionKey, s *versionState) bool { return s.inFlight.Load() == 0 })
	}
}

func isTrial(r *fireflypath.Rollout) bool {
	return !r.Decided && r.Tried && r.Record.Phase == fireflypath.RolloutTrial
}

// hasSwitched reports whether all requests go to the new version.
func hasSwitched(r *fireflypath.Rollout) bool {
	return r.Tried && (r.Record.Phase == fireflypath.RolloutSwitch || r.Record.Phase == fireflypath.RolloutAccepted)
}

func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Attempt is a request at a target whose result is tracked. The zero value tracks nothing.
type Attempt struct {
	t       *Tracker
	version *versionState
	// trial is nil if the result is not compared.
	trial *poolTrial
	// route and target are those of the sample; target is empty at the old version.
	route, target string
	// isNew is true at a target of the new version.
	isNew bool
	// tried is true if the request counts as one on trial.
	tried bool
	// ripe is true once the response has been counted before its end.
	ripe    bool
	started time.Time
	first   time.Time
}

// Try returns a target of a version on trial if the request may go there. version is the one that the
// request needs, or empty.
func (t *Tracker) Try(pool, route, version string, compare bool) (fireflypath.Target, Attempt, bool) {
	p := (*t.trials.Load())[pool]
	if p == nil {
		return fireflypath.Target{}, Attempt{}, false
	}
	r := p.phase.Load()
	if !isTrial(r) || version != "" && version != r.Version {
		return fireflypath.Target{}, Attempt{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.counter.Allowed(t.deps.Clock.Now()) {
		return fireflypath.Target{}, Attempt{}, false
	}
	target, ok := findTarget(r.Targets, decide.Pick(p.counter.Targets(), func(name string) int { return p.inFlight[name] }))
	if !ok {
		return fireflypath.Target{}, Attempt{}, false
	}
	p.counter.Start()
	a := t.start(p, r, route, target, compare)
	a.tried = true
	return target, a, true
}

func findTarget(targets []fireflypath.Target, name string) (fireflypath.Target, bool) {
	for _, t := range targets {
		if t.Name == name {
			return t, true
		}
	}
	return fireflypath.Target{}, false
}

// Begin records that a request is about to be sent to a target that its pool has chosen. If the target's
// version gets no more work, it returns one of the new version instead, and true. compare is false for
// requests whose results say nothing of the version, such as those that another target has failed.
func (t *Tracker) Begin(route string, target fireflypath.Target, compare bool) (fireflypath.Target, Attempt, bool) {
	version := t.version(target)
	version.inFlight.Add(1) // before the phase is read: what is reported as stopped must stay so
	p := (*t.trials.Load())[target.Pool]
	if p == nil {
		return target, Attempt{t: t, version: version, started: t.deps.Clock.Now()}, false
	}
	r := p.phase.Load()
	redirected := false
	if hasSwitched(r) && target.Version != r.Version && len(r.Targets) > 0 {
		version.inFlight.Add(-1)
		target, redirected = r.Targets[rand.IntN(len(r.Targets))], true
		version = t.version(target)
		version.inFlight.Add(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a := t.start(p, r, route, target, compare)
	version.inFlight.Add(-1) // start has counted it
	return target, a, redirected
}

// start counts a request that is sent to a target. The caller holds the lock of the trial.
func (t *Tracker) start(p *poolTrial, r *fireflypath.Rollout, route string, target fireflypath.Target, compare bool) Attempt {
	a := Attempt{t: t, version: t.version(target), trial: p, route: route, started: t.deps.Clock.Now()}
	a.version.inFlight.Add(1)
	p.counter.See()
	if target.Version == r.Version {
		a.isNew, a.target = true, target.Name
		p.inFlight[target.Name]++
	}
	if !compare {
		a.route = ""
	}
	return a
}

// version returns the state of a target's version.
func (t *Tracker) version(target fireflypath.Target) *versionState {
	key := versionKey{target.Pool, target.Version}
	t.mu.RLock()
	s := t.versions[key]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.versions[key]; s == nil {
		s = &versionState{}
		t.versions[key] = s
	}
	return s
}

// First records the first byte of the response.
func (a *Attempt) First() {
	if a.t == nil || !a.first.IsZero() {
		return
	}
	a.first = a.t.deps.Clock.Now()
	if a.trial != nil && a.route != "" {
		a.trial.mu.Lock()
		defer a.trial.mu.Unlock()
		a.trial.counter.First(a.route, a.target, a.first.Sub(a.started))
	}
}

// Progress records that the response goes on.
func (a *Attempt) Progress(now time.Time) {
	if a.trial == nil || a.ripe || a.route == "" || now.Sub(a.started) < ripeTime {
		return
	}
	a.ripe = true
	a.trial.mu.Lock()
	defer a.trial.mu.Unlock()
	a.trial.counter.Ripen(a.route, a.target)
}

// End records the end of the response, which had the given number of events. Canceled is true if the result
// says nothing of the target.
func (a *Attempt) End(failed, canceled bool, events int) {
	if a.t == nil {
		return
	}
	now := a.t.deps.Clock.Now()
	a.version.inFlight.Add(-1)
	if !canceled && !failed {
		a.version.recordDuration(now, now.Sub(a.started))
	}
	if a.trial == nil {
		return
	}
	result := decide.Result{Failed: failed, Ripe: a.ripe, Took: now.Sub(a.started)}
	if events > 1 && !a.first.IsZero() {
		result.Pace = now.Sub(a.first) / time.Duration(events-1)
	}
	p := a.trial
	p.mu.Lock()
	if a.isNew {
		p.inFlight[a.target]--
	}
	if a.route != "" && !canceled {
		p.counter.End(a.route, a.target, result)
	}
	counters := p.old
	if a.isNew {
		counters = p.next
	}
	counters.requests.Inc(1)
	if failed && !canceled {
		counters.failed.Inc(1)
	}
	urgent := a.isNew && failed
	p.urgent = p.urgent || urgent
	p.mu.Unlock()
	if urgent {
		notify(a.t.wake)
	}
}

// Unsent records that nothing was sent.
func (a *Attempt) Unsent() {
	if a.t == nil {
		return
	}
	if a.trial != nil {
		a.trial.mu.Lock()
		a.trial.counter.Cancel(a.tried)
		a.trial.mu.Unlock()
	}
	a.End(false, true, 0)
	*a = Attempt{}
}

// Run reports to the holders of trials until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { t.follow(ctx) })
	for {
		wait := t.Step(ctx)
		timer := t.deps.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		case <-t.wake:
			timer.Stop()
		}
	}
}

// follow applies each new configuration.
func (t *Tracker) follow(ctx context.Context) {
	for {
		cfg := t.deps.Configs.Current()
		t.Apply(cfg)
		select {
		case <-ctx.Done():
			return
		case <-t.deps.Configs.Changed(cfg.Generation):
		}
	}
}

// Step sends the reports that are due and returns the time until the next one.
func (t *Tracker) Step(ctx context.Context) time.Duration {
	wait := 30 * time.Second
	members := t.deps.Members.Live()
	interval := decide.ReportInterval(len(members))
	for pool, p := range *t.trials.Load() {
		r := p.phase.Load()
		if r.Decided || !r.Tried || r.Record.Phase.Final() {
			continue
		}
		due := t.untilDue(p, interval)
		if due <= 0 {
			t.report(ctx, pool, p, r, members)
			due = min(interval, urgentInterval)
		}
		wait = min(wait, due)
	}
	return wait
}

// untilDue returns the time until the next report.
func (t *Tracker) untilDue(p *poolTrial, interval time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.urgent {
		interval = min(interval, urgentInterval)
	}
	if !p.switchedAt.IsZero() {
		interval = min(interval, max(urgentInterval, interval/2))
	}
	return interval - t.deps.Clock.Since(p.reportedAt)
}

// report sends one report and adopts the permission in the answer. The permission counts from the time of
// the report, so that an answer that comes late permits nothing.
func (t *Tracker) report(ctx context.Context, pool string, p *poolTrial, r *fireflypath.Rollout, members []fireflypath.Member) {
	now := t.deps.Clock.Now()
	m := reportMessage{Pool: pool, ID: r.Record.ID, Boot: t.boot}
	p.mu.Lock()
	p.reportedAt, p.urgent = now, false
	m.Report = p.counter.Report()
	m.Stopped = !p.switchedAt.IsZero() && hasSwitched(r) && now.Sub(p.switchedAt) >= settleTime
	p.mu.Unlock()
	running, longest := t.others(r)
	m.Old, m.Longest = int(running), max(m.Longest, int(longest))
	var answer permissionMessage
	if r.Record.Holder == t.deps.Self {
		if t.receive == nil {
			return
		}
		var ok bool
		if answer, ok = t.receive(t.deps.Self, &m); !ok {
			return
		}
	} else if err := t.call(ctx, r.Record.Holder, members, m, &answer); err != nil {
		t.scope.Counter("report_failures").Inc(1)
		t.deps.Log.Debug("report on a trial failed", zap.String("pool", pool), logs.Err(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.phase.Load(); answer.Term < p.term || !isTrial(current) || current.Record.ID != r.Record.ID {
		return
	}
	p.term = answer.Term
	p.counter.Permit(answer.Permission, now.Add(t.deps.Policy.Validity(len(members))))
}

// call sends a report to another daemon.
func (t *Tracker) call(ctx context.Context, holder string, members []fireflypath.Member, m reportMessage, answer *permissionMessage) error {
	for _, to := range members {
		if to.Name == holder {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			return t.deps.Peers.Call(ctx, to, methodReport, m, answer)
		}
	}
	return errors.New("the holder of the trial is not known")
}

// others returns the number of requests in flight at other versions of the pool, and the longest time in
// milliseconds that they took.
func (t *Tracker) others(r *fireflypath.Rollout) (running, longest int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for key, s := range t.versions {
		if key.pool == r.Pool && key.version != r.Version {
			running += s.inFlight.Load()
			longest = max(longest, s.longest.Load(), s.before.Load())
		}
	}
	return running, longest
}
