package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

const (
	// cutTime is how long daemons are without paths to targets, cutSettleTime how long after the loss
	// they need not serve like the others.
	cutTime       = 9 * time.Second
	cutSettleTime = 3 * time.Second
	// minCutTries is how many requests each group must have been sent for a comparison.
	minCutTries = 20
	// silenceTime is how long a target is silent.
	silenceTime = 1200 * time.Millisecond
	// storeAwayTime is how long the store is away before it is restored, copyAge how old the copy is,
	// and rewriteTime the time until the operator and the targets have written again.
	storeAwayTime = 800 * time.Millisecond
	copyAge       = 2 * time.Second
	rewriteTime   = 500 * time.Millisecond
	// brittleTime is how long a target is brittle, after brittleNotice it has no more room to wait.
	brittleTime   = 9 * time.Second
	brittleNotice = 3 * time.Second
	// fallTime is how long a target that fell over is down, maxFalls how often one may fall in a time
	// in which it is brittle.
	fallTime = 1500 * time.Millisecond
	maxFalls = 2
	// maxLossPause is the longest time between two losses.
	maxLossPause = 4 * time.Second
)

// injectLosses takes paths from daemons, silences targets, makes them brittle and restores the store
// from a copy, while other faults are injected. Its random numbers are its own, so that it does not
// change the meaning of a seed.
func (r *run) injectLosses(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 4))
	losses := []func(context.Context, *rand.Rand){r.cutPaths, r.silenceTarget, r.makeBrittle, r.restoreStore}
	end := time.Now().Add(r.options.Duration)
	var wg conc.WaitGroup
	for i := rnd.IntN(len(losses)); time.Now().Before(end) && ctx.Err() == nil; i++ {
		own := rand.New(rand.NewPCG(r.options.Seed, rnd.Uint64()))
		wg.Go(func() { losses[i%len(losses)](ctx, own) })
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxLossPause))))
	}
	wg.Wait()
}

// currentTargets returns the running targets.
func (r *run) currentTargets() []*target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.targets)
}

// lossWindow counts the requests that callers send while some daemons have no paths.
type lossWindow struct {
	cut map[*process]bool
	// disturbed reports whether a fault of the store disturbs all daemons.
	disturbed func() bool

	mu          sync.Mutex
	counting    bool
	in, outside struct{ sent, served int }
}

// record counts a request to a daemon, unless another fault of the daemon or of the store disturbed it.
func (l *lossWindow) record(d *process, served bool) {
	if !d.isStable() || l.disturbed() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.counting {
		return
	}
	n := &l.outside
	if l.cut[d] {
		n = &l.in
	}
	n.sent++
	if served {
		n.served++
	}
}

func (l *lossWindow) setCounting(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counting = on
}

// cutPaths takes the paths to all targets from some daemons, but not from all. Their connections hang,
// are reset, or live on.
func (r *run) cutPaths(ctx context.Context, rnd *rand.Rand) {
	if !r.cutting.CompareAndSwap(false, true) {
		return
	}
	defer r.cutting.Store(false)
	l := &lossWindow{cut: map[*process]bool{}, disturbed: func() bool { return r.disturbances.Load() > 0 }}
	var sources []net.IP
	for _, i := range rnd.Perm(len(r.daemons))[:1+rnd.IntN(max(len(r.daemons)-1, 1))] {
		l.cut[r.daemons[i]] = true
		sources = append(sources, r.daemons[i].source)
	}
	how := rnd.IntN(3)
	targets := append(r.currentTargets(), r.awayTargets()...)
	for _, t := range targets {
		r.reportError(t.proxy.cut(how, sources))
	}
	sleep(ctx, cutSettleTime)
	l.setCounting(true)
	r.losses.Store(l)
	sleep(ctx, cutTime-cutSettleTime)
	r.losses.Store(nil)
	l.setCounting(false)
	for _, t := range targets {
		r.restorePaths(t)
	}
	r.checkCut(l)
}

// checkCut checks that daemons without paths served about as often as the others.
func (r *run) checkCut(l *lossWindow) {
	in, out := l.in, l.outside
	if in.sent < minCutTries || out.sent < minCutTries {
		return
	}
	r.history.check(invariantPaths, 3*in.served*out.sent >= 2*out.served*in.sent,
		"daemons without paths served %d of %d, the others %d of %d", in.served, in.sent, out.served, out.sent)
}

// silenceTarget makes a target silent for a moment. Nothing is lost.
func (r *run) silenceTarget(ctx context.Context, rnd *rand.Rand) {
	targets := r.currentTargets()
	if len(targets) == 0 {
		return
	}
	t := targets[rnd.IntN(len(targets))]
	var sources []net.IP
	for _, d := range r.daemons {
		sources = append(sources, d.source)
	}
	r.reportError(t.proxy.ln.Drop(sources...))
	sleep(ctx, silenceTime)
	r.restorePaths(t)
}

// restorePaths ends all losses of a target's packets.
func (r *run) restorePaths(t *target) {
	r.reportError(t.proxy.ln.Restore())
	t.notices.setRestored(time.Now())
}

// restoreStore has the store go away and come back from a copy. What the operator and the targets have
// written since is written again.
func (r *run) restoreStore(ctx context.Context, _ *rand.Rand) {
	if !r.restoring.CompareAndSwap(false, true) {
		return
	}
	defer r.restoring.Store(false)
	backup := r.store.Copy()
	sleep(ctx, copyAge)
	r.addDisturbance(1)
	r.store.SetFault(standin.Fault{Down: true})
	sleep(ctx, storeAwayTime)
	rewrite := r.store.RestoreFrom(backup)
	r.store.SetFault(standin.Fault{})
	sleep(ctx, rewriteTime)
	rewrite()
	r.restored.Store(true)
	sleep(ctx, drainTime)
	r.addDisturbance(-1)
}

// checkRecords checks that each daemon has a record in the store again.
func (r *run) checkRecords() {
	if r.restored.Load() {
		records := len(r.store.Keys("members/"))
		r.history.check(invariantRecords, records >= len(r.daemons), "%d of %d daemons have a record in the restored store", records, len(r.daemons))
	}
}

// room counts the requests at a target and turns some away while the target is brittle.
type room struct {
	mu      sync.Mutex
	running int
	// bears is how many requests the target may turn away in a second, or -1 if it is not brittle
	// or still has room.
	bears      int
	turnedAway []turnedAway
	falls      int
}

// turnedAway is a request that was turned away.
type turnedAway struct {
	at time.Time
	// stable is true if its daemon had no fault recently.
	stable bool
}

// enter takes room for a request. It reports whether there is some, and whether the target falls over.
func (m *room) enter(now time.Time, stable bool) (entered, falls bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bears < 0 || m.running < targetSlots {
		m.running++
		return true, false
	}
	m.turnedAway = append(m.turnedAway, turnedAway{now, stable})
	m.turnedAway = slices.DeleteFunc(m.turnedAway, func(t turnedAway) bool { return now.Sub(t.at) > time.Second })
	if len(m.turnedAway) <= m.bears {
		return false, false
	}
	n := 0
	for _, t := range m.turnedAway {
		if t.stable {
			n++
		}
	}
	if 2*n > len(m.turnedAway) {
		m.falls++
	}
	m.turnedAway = nil
	return false, true
}

func (m *room) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

// setBears starts or ends the time in which the target may fall over, and returns how often it did.
func (m *room) setBears(n int) (falls int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	falls = m.falls
	m.bears, m.falls, m.turnedAway = n, 0, nil
	return falls
}

// takeRoom takes room for a request that a caller sent to a daemon, or turns it away.
func (t *target) takeRoom(w http.ResponseWriter, d *process) bool {
	entered, falls := t.room.enter(time.Now(), d != nil && d.isStable())
	if falls {
		t.proxy.refuse.Store(true)
		t.proxy.resetAll()
		time.AfterFunc(fallTime, func() { t.proxy.refuse.Store(false) })
		panic(http.ErrAbortHandler)
	}
	if !entered {
		w.Header().Set(platform.Codec{}.Headers().NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return entered
}

// makeBrittle makes a target brittle: it says so, and later lets no request wait.
func (r *run) makeBrittle(ctx context.Context, rnd *rand.Rand) {
	t := r.claimTarget()
	if t == nil {
		return
	}
	bears := rnd.IntN(4)
	t.SetBrittle(bears)
	sleep(ctx, brittleNotice)
	t.room.setBears(bears)
	sleep(ctx, brittleTime-brittleNotice)
	falls := t.room.setBears(-1)
	t.SetBrittle(-1)
	r.history.check(invariantBrittle, falls <= maxFalls, "%s bears %d refusals a second and fell over %d times", t.name, bears, falls)
	t.claimed.Store(false)
}

// lossState is the state of the losses of a run.
type lossState struct {
	// losses is the window in which requests are counted, or nil.
	losses             atomic.Pointer[lossWindow]
	cutting, restoring atomic.Bool
	// restored is true once the store was restored from a copy.
	restored atomic.Bool
}
