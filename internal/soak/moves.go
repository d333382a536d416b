package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
)

const (
	// homePool serves all routes except while they are moved to awayPool.
	homePool, awayPool = "p", "q"
	// firstAwayIncarnation is above the incarnations of the first pool, so that these do not depend on it.
	firstAwayIncarnation = 1_000_000
	// maxMovePause is the longest time between two series of moves, maxMoves the number of moves away and
	// back in one. Half of the moves are undone within shortStay, the others within longStay.
	maxMovePause = 2500 * time.Millisecond
	maxMoves     = 3
	shortStay    = 600 * time.Millisecond
	longStay     = 2500 * time.Millisecond
	// maxFreeze is the longest time that a daemon is paused during a move.
	maxFreeze = 1200 * time.Millisecond
	// returnTime is how long most callers that come back do so at a daemon that was paused or has started.
	returnTime = 1200 * time.Millisecond
	// maxReleaseStep is the longest time until a target of the old version leaves, and quickNotice how
	// long before its end one says so that does not stay for drainTime.
	maxReleaseStep = 300 * time.Millisecond
	quickNotice    = 50 * time.Millisecond
	// minUnframed is the number of answers without a frame in which a daemon is killed.
	minUnframed = 2
	// maxKillPause is the longest time between two daemons that are killed in answers, killWait how long
	// the fault waits for an answer without a frame, and maxKillDown how long the daemon is down.
	maxKillPause = 4 * time.Second
	killWait     = 3 * time.Second
	maxKillDown  = time.Second
)

// moveState is the state of the second pool of a run.
type moveState struct {
	// away are the targets of the second pool, of one version unless it is being released.
	away                 []*target
	awayStarted, release int
	// returnsTo is the daemon at which most callers come back at present, or nil.
	returnsTo atomic.Pointer[process]
}

// listOf returns the list of the targets of a pool. The caller holds mu.
func (r *run) listOf(pool string) *[]*target {
	if pool == awayPool {
		return &r.away
	}
	return &r.targets
}

func (r *run) awayTargets() []*target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.away)
}

// replace starts a target in place of one that has ended.
func (r *run) replace(t *target) error {
	if t.pool != awayPool {
		return r.addTarget()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startAwayTarget()
}

// startAwayTarget starts a target of the second pool. The caller holds mu.
func (r *run) startAwayTarget() error {
	r.awayStarted++
	return r.startTarget(fmt.Sprintf("u%d", r.awayStarted), awayPool, fmt.Sprintf("r%d", r.release), firstAwayIncarnation+r.awayStarted)
}

// startAwayTargets starts as many targets of the next version of the second pool as the first has.
func (r *run) startAwayTargets() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release++
	for range r.options.Targets {
		if err := r.startAwayTarget(); err != nil {
			return err
		}
	}
	return nil
}

// receiveReturns has most callers come back at a daemon for returnTime.
func (r *run) receiveReturns(d *process) {
	r.returnsTo.Store(d)
	time.AfterFunc(returnTime, func() { r.returnsTo.CompareAndSwap(d, nil) })
}

// moveRoutes moves routes to the second pool and back while streams last, several times in series. Its
// random numbers are its own, so that it does not change the meaning of a seed.
func (r *run) moveRoutes(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 6))
	var wg conc.WaitGroup
	for end := time.Now().Add(r.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxMovePause))))
		wg.Go(r.drawCompanion(ctx, rand.New(rand.NewPCG(r.options.Seed, rnd.Uint64()))))
		r.moveSeries(ctx, end, rand.New(rand.NewPCG(r.options.Seed, rnd.Uint64())))
	}
	wg.Wait()
}

// drawCompanion returns what happens while routes move: a daemon is paused, one is killed and starts at
// once, a new version is released, or nothing.
func (r *run) drawCompanion(ctx context.Context, rnd *rand.Rand) func() {
	d := r.daemons[rnd.IntN(len(r.daemons))]
	switch rnd.IntN(4) {
	case 0:
		return func() { r.pause(ctx, d, maxFreeze/8+time.Duration(rnd.Int64N(int64(maxFreeze)))) }
	case 1:
		return func() { r.restartProcess(d, syscall.SIGKILL, 0) }
	case 2:
		return func() { r.releaseAway(ctx, rnd) }
	}
	return func() {}
}

// moveSeries moves the route of streams that may be resumed, and some others, away and back, and once
// more until the end.
func (r *run) moveSeries(ctx context.Context, end time.Time, rnd *rand.Rand) {
	names := []string{"resume"}
	for _, name := range []string{"once", "safe", "stream"} {
		if rnd.IntN(2) == 0 {
			names = append(names, name)
		}
	}
	for n := 1 + rnd.IntN(maxMoves); n > 0 && time.Now().Before(end); n-- {
		for _, pool := range []string{awayPool, homePool} {
			stay := longStay
			if rnd.IntN(2) == 0 {
				stay = shortStay
			}
			r.moveTo(pool, names, rnd)
			sleep(ctx, time.Duration(rnd.Int64N(int64(stay))))
		}
	}
}

// moveTo moves routes to a pool.
func (r *run) moveTo(pool string, names []string, rnd *rand.Rand) {
	r.countFault("routes moved")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes = slices.Clone(r.routes)
	for i := range r.routes {
		if slices.Contains(names, r.routes[i].Name) {
			r.routes[i].Split = []fireflypath.Split{{Pool: pool}}
		}
	}
	r.reportError(r.putConfig(rnd))
}

// releaseAway registers targets of a new version in the second pool, and has those of the old one leave.
func (r *run) releaseAway(ctx context.Context, rnd *rand.Rand) {
	r.countFault("version released")
	old := r.awayTargets()
	r.reportError(r.startAwayTargets())
	sleep(ctx, time.Duration(rnd.Int64N(int64(maxReleaseStep))))
	var wg conc.WaitGroup
	for _, t := range old {
		quick := rnd.IntN(2) == 0
		wg.Go(func() { r.withdraw(ctx, t, quick) })
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxReleaseStep))))
	}
	wg.Wait()
}

// withdraw has a target of the second pool leave without a replacement. A quick one ends right after its
// registration says so, and its streams with it.
func (r *run) withdraw(ctx context.Context, t *target, quick bool) {
	if !r.removeTarget(t) {
		return // it has crashed
	}
	r.checkLeaving(t)
	reg := t.registration()
	reg.Drained = true
	r.reportError(r.store.PutTarget(reg))
	if quick {
		sleep(ctx, quickNotice)
	} else {
		sleep(ctx, drainTime+time.Second)
		r.history.check(invariantDrained, true, "")
	}
	t.crash()
	r.store.RemoveTarget(t.name)
}

// killInAnswers kills daemons in the middle of answers without a frame. While daemons have no paths to
// targets, it waits for one through which an answer of another passes. Its random numbers are its own, so
// that it does not change the meaning of a seed.
func (r *run) killInAnswers(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 8))
	end := time.Now().Add(r.options.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxKillPause))))
		r.killInAnswer(ctx, rnd.Perm(len(r.daemons)), time.Duration(rnd.Int64N(int64(maxKillDown))))
	}
}

// killInAnswer waits for answers without a frame and kills the first daemon in the order that passes enough
// of them on, at the end of the wait also one that passes one on.
func (r *run) killInAnswer(ctx context.Context, order []int, down time.Duration) {
	for end := time.Now().Add(killWait); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, time.Millisecond) {
		for _, i := range order {
			d := r.daemons[i]
			all, tunnelled := r.history.countUnframed(d)
			enough := all >= minUnframed && !r.cutting.Load() || all > 0 && time.Until(end) < killWait/2
			if tunnelled == 0 && !enough || !d.acquire() {
				continue
			}
			defer d.release()
			r.history.recordKill(d)
			if tunnelled > 0 {
				r.countFault("killed in tunnelled answer")
			} else {
				r.countFault("killed in answer")
			}
			r.reportError(d.restart(syscall.SIGKILL, down))
			r.receiveReturns(d)
			return
		}
	}
}
