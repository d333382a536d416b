package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// starveTime is how long a daemon gets little processor time: it runs for runSlice between pauses of
	// up to maxStarvePause, which are longer than a call between daemons may take.
	starveTime     = 3 * time.Second
	runSlice       = 60 * time.Millisecond
	minStarvePause = 100 * time.Millisecond
	maxStarvePause = 600 * time.Millisecond
	// maxStarveGap is the longest time between two daemons that are starved.
	maxStarveGap = 3 * time.Second
)

// starveDaemons gives daemons little processor time, one after the other, while other faults are
// injected. A daemon that is late is not excused: what targets declare, and all else that is checked of a
// daemon without faults, holds for it. The random numbers are its own, so that it does not change the
// meaning of a seed.
func (r *run) starveDaemons(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.options.Seed, 5))
	for end := time.Now().Add(r.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxStarveGap))))
		r.starve(ctx, r.daemons[rnd.IntN(len(r.daemons))], rnd)
	}
}

// starve pauses a daemon again and again, unless another fault restarts or pauses it.
func (r *run) starve(ctx context.Context, p *process, rnd *rand.Rand) {
	if !p.acquire() {
		return
	}
	defer p.release()
	p.starved.Store(true)
	defer p.starved.Store(false)
	r.countFault("daemon starved")
	for end := time.Now().Add(starveTime); time.Now().Before(end) && ctx.Err() == nil; {
		r.reportError(p.signal(syscall.SIGSTOP))
		sleep(ctx, minStarvePause+time.Duration(rnd.Int64N(int64(maxStarvePause-minStarvePause))))
		r.reportError(p.signal(syscall.SIGCONT))
		sleep(ctx, runSlice)
	}
}

// countFault counts a fault by its name.
func (r *run) countFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[name]++
}
