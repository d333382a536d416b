package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath/platform/standin"
)

// fault is a kind of fault. Its function injects the fault for about the duration d and
// then removes it.
type fault struct {
	name   string
	inject func(r *run, ctx context.Context, d time.Duration)
}

// faults lists the faults that are injected. Changing their order changes the meaning of
// a seed.
var faults = []fault{
	{"daemon killed", func(r *run, ctx context.Context, d time.Duration) { r.restartDaemon(syscall.SIGKILL, d) }},
	{"daemon stopped", func(r *run, ctx context.Context, d time.Duration) { r.restartDaemon(syscall.SIGTERM, d/4) }},
	{"daemon paused", func(r *run, ctx context.Context, d time.Duration) {
		r.pause(ctx, r.daemons[r.randN(len(r.daemons))], d)
	}},
	{"settings reloaded", func(r *run, ctx context.Context, d time.Duration) {
		for range 3 {
			r.reportError(r.daemons[r.randN(len(r.daemons))].signal(syscall.SIGHUP))
			sleep(ctx, d/3)
		}
	}},
	{"store down", func(r *run, ctx context.Context, d time.Duration) {
		r.injectStoreFault(ctx, d, standin.Fault{Down: true})
	}},
	{"store silent", func(r *run, ctx context.Context, d time.Duration) {
		r.injectStoreFault(ctx, d, standin.Fault{Silent: true})
	}},
	{"store slow", func(r *run, ctx context.Context, d time.Duration) {
		r.injectStoreFault(ctx, d, standin.Fault{Delay: 200 * time.Millisecond})
	}},
	{"store loses responses", func(r *run, ctx context.Context, d time.Duration) {
		r.injectStoreFault(ctx, d, standin.Fault{DropWriteResponses: true})
	}},
	{"history dropped", func(r *run, _ context.Context, _ time.Duration) { r.store.Compact() }},
	{"daemon partitioned", func(r *run, ctx context.Context, d time.Duration) {
		p := r.daemons[r.randN(len(r.daemons))]
		r.addDisturbance(1) // other daemons may receive store updates through this one
		p.store.dropTo.Store(true)
		p.store.dropFrom.Store(r.randN(2) == 0) // in one direction or both
		sleep(ctx, 2*d)
		p.store.clearFaults()
		p.markDisturbed()
		r.addDisturbance(-1)
	}},
	{"connections reset", func(r *run, _ context.Context, _ time.Duration) {
		p := r.daemons[r.randN(len(r.daemons))]
		p.markDisturbed()
		p.store.resetAll()
		if t := r.randomTarget(); t != nil {
			t.proxy.resetAll()
		}
	}},
	{"target crashed", func(r *run, ctx context.Context, d time.Duration) {
		t := r.removeRandomTarget()
		if t == nil {
			return
		}
		t.crash()
		sleep(ctx, d)
		if t.incarnation%2 == 0 {
			r.reportError(r.restartTarget(t))
			return
		}
		r.store.RemoveTarget(t.name)
		r.addReplacement()
	}},
	{"target leaves", func(r *run, ctx context.Context, _ time.Duration) {
		t := r.removeRandomTarget()
		if t == nil {
			return
		}
		r.checkLeaving(t)
		r.retire(ctx, t)
	}},
	{"target silent", func(r *run, ctx context.Context, d time.Duration) {
		if t := r.randomTarget(); t != nil {
			t.proxy.dropFrom.Store(true)
			sleep(ctx, d)
			t.proxy.clearFaults()
			t.proxy.resetAll()
		}
	}},
	{"target slow to reach", func(r *run, ctx context.Context, d time.Duration) {
		if t := r.randomTarget(); t != nil {
			t.proxy.delay.Store(int64(50 * time.Millisecond))
			sleep(ctx, d)
			t.proxy.clearFaults()
		}
	}},
	{"responses truncated", func(r *run, ctx context.Context, d time.Duration) {
		if t := r.randomTarget(); t != nil {
			t.truncateRate.Store(300)
			t.dropRate.Store(100)
			sleep(ctx, d)
			t.truncateRate.Store(0)
			t.dropRate.Store(0)
		}
	}},
	{"configuration changed", func(r *run, _ context.Context, _ time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reportError(r.configure())
	}},
	{"key revoked", func(r *run, _ context.Context, _ time.Duration) { r.revokeOldestKey() }},
}

// pause stops a daemon for a time, unless another fault has it. The daemon resumes with an outdated view
// of the fleet and with the requests that callers sent meanwhile.
func (r *run) pause(ctx context.Context, p *process, d time.Duration) {
	if !p.acquire() {
		return
	}
	r.addDisturbance(1)
	r.reportError(p.signal(syscall.SIGSTOP))
	sleep(ctx, d)
	r.reportError(p.signal(syscall.SIGCONT))
	p.markDisturbed()
	p.release()
	r.receiveReturns(p)
	sleep(ctx, drainTime)
	r.addDisturbance(-1)
}

// checkLeaving has a target check that it gets nothing more. A daemon that cannot reach the store does
// not learn that the target is leaving, so the invariant is not checked during store faults.
func (r *run) checkLeaving(t *target) {
	r.mu.Lock()
	r.leaving = append(r.leaving, t)
	r.mu.Unlock()
	if r.disturbances.Load() == 0 {
		t.leavingSince.Store(time.Now().UnixNano())
	}
}

// retire has the registration of a target say that it is leaving, ends the target later and
// replaces it.
func (r *run) retire(ctx context.Context, t *target) {
	reg := t.registration()
	reg.Drained = true
	r.reportError(r.store.PutTarget(reg))
	sleep(ctx, drainTime+time.Second)
	r.history.check(invariantDrained, true, "")
	t.leavingSince.Store(0)
	r.store.RemoveTarget(t.name)
	sleep(ctx, drainTime+time.Second)
	t.crash()
	r.addReplacement()
}

// injectFaults starts random faults at random intervals. Faults may overlap.
func (r *run) injectFaults(ctx context.Context) {
	var wg conc.WaitGroup
	end := time.Now().Add(r.options.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.mu.Lock()
		f := faults[r.rnd.IntN(len(faults))]
		pause := time.Duration(100+r.rnd.IntN(900)) * time.Millisecond
		duration := time.Duration(300+r.rnd.IntN(3000)) * time.Millisecond
		r.faults[f.name]++
		r.mu.Unlock()
		wg.Go(func() { f.inject(r, ctx, duration) })
		sleep(ctx, pause)
	}
	wg.Wait()
	r.store.SetFault(standin.Fault{})
	for _, d := range r.daemons {
		d.store.clearFaults()
	}
}

// randN returns a random number in [0, n) from the seeded source of the run.
func (r *run) randN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

// restartDaemon restarts a random daemon, unless another fault is restarting or pausing
// it. This prevents a signal from reaching the wrong process.
func (r *run) restartDaemon(s syscall.Signal, down time.Duration) {
	r.restartProcess(r.daemons[r.randN(len(r.daemons))], s, down)
}

func (r *run) restartProcess(p *process, s syscall.Signal, down time.Duration) {
	if !p.acquire() {
		return
	}
	defer p.release()
	if s == syscall.SIGKILL {
		r.history.recordKill(p)
	}
	r.reportError(p.restart(s, down))
	r.receiveReturns(p)
}

func (r *run) injectStoreFault(ctx context.Context, d time.Duration, f standin.Fault) {
	r.addDisturbance(1)
	r.store.SetFault(f)
	sleep(ctx, d)
	r.store.SetFault(standin.Fault{})
	sleep(ctx, drainTime)
	r.addDisturbance(-1)
}

// addDisturbance counts a fault of the store that starts (1) or has ended (-1). When a
// fault starts, targets that are leaving are no longer checked, because daemons may not
// have been informed.
func (r *run) addDisturbance(n int32) {
	if n > 0 {
		r.mu.Lock()
		for _, t := range r.leaving {
			t.leavingSince.Store(0)
		}
		r.mu.Unlock()
	}
	r.disturbances.Add(n)
}

func (r *run) randomTarget() *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.targets) == 0 {
		return nil
	}
	return r.targets[r.rnd.IntN(len(r.targets))]
}

// removeRandomTarget removes a random target from the list. It returns nil if only two
// are left.
func (r *run) removeRandomTarget() *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.targets) <= 2 {
		return nil
	}
	i := r.rnd.IntN(len(r.targets))
	t := r.targets[i]
	r.targets = append(r.targets[:i], r.targets[i+1:]...)
	return t
}

func (r *run) addReplacement() { r.reportError(r.addTarget()) }

// reportError reports an error of the test itself as a violation.
func (r *run) reportError(err error) {
	if err != nil {
		r.history.check(invariantRecovery, false, "the soak test itself failed: %v", err)
	}
}

// revokeOldestKey revokes the oldest key. Some callers continue to use it.
func (r *run) revokeOldestKey() {
	r.mu.Lock()
	key := r.keys.rotate(fmt.Sprintf("k%d", r.version+1000))
	err := r.configure()
	r.mu.Unlock()
	r.reportError(err)
	r.history.recordRevocation(key)
}

// rotate replaces the oldest key with next and returns the oldest.
func (k *keyring) rotate(next string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.keys[0]
	k.keys = append(append([]string(nil), k.keys[1:]...), next)
	k.revoked = append(k.revoked, old)
	return old
}

// Faults returns the names of the faults.
func Faults() []string {
	var out []string
	for _, f := range faults {
		out = append(out, f.name)
	}
	return append(out, "routes moved", "version released", "killed in answer", "killed in tunnelled answer")
}
