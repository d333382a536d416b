package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath/platform/standin"
)

// fault harms something for a time and takes the harm back.
type fault struct {
	name string
	do   func(r *run, ctx context.Context, d time.Duration)
}

// faults are what strikes; their order is part of a seed.
var faults = []fault{
	{"daemon killed", func(r *run, ctx context.Context, d time.Duration) { r.restart(syscall.SIGKILL, d) }},
	{"daemon stopped", func(r *run, ctx context.Context, d time.Duration) { r.restart(syscall.SIGTERM, d/4) }},
	{"daemon paused", func(r *run, ctx context.Context, d time.Duration) {
		p := r.daemons[r.pick(len(r.daemons))]
		if !p.claim() {
			return
		}
		// It wakes with the view that it had, and with what callers sent meanwhile.
		r.harm(1)
		r.noteErr(p.signal(syscall.SIGSTOP))
		sleep(ctx, d)
		r.noteErr(p.signal(syscall.SIGCONT))
		p.hurt()
		p.release()
		sleep(ctx, drainTime)
		r.harm(-1)
	}},
	{"settings reloaded", func(r *run, ctx context.Context, d time.Duration) {
		for range 3 {
			r.noteErr(r.daemons[r.pick(len(r.daemons))].signal(syscall.SIGHUP))
			sleep(ctx, d/3)
		}
	}},
	{"store down", func(r *run, ctx context.Context, d time.Duration) { r.harmStore(ctx, d, standin.Fault{Down: true}) }},
	{"store silent", func(r *run, ctx context.Context, d time.Duration) { r.harmStore(ctx, d, standin.Fault{Silent: true}) }},
	{"store slow", func(r *run, ctx context.Context, d time.Duration) {
		r.harmStore(ctx, d, standin.Fault{Delay: 200 * time.Millisecond})
	}},
	{"store loses answers", func(r *run, ctx context.Context, d time.Duration) {
		r.harmStore(ctx, d, standin.Fault{DropWriteResponses: true})
	}},
	{"history dropped", func(r *run, _ context.Context, _ time.Duration) { r.store.Compact() }},
	{"daemon cut off", func(r *run, ctx context.Context, d time.Duration) {
		p := r.daemons[r.pick(len(r.daemons))]
		r.harm(1) // others may follow it
		p.store.silentTo.Store(true)
		p.store.silentBack.Store(r.pick(2) == 0) // one way or both
		sleep(ctx, 2*d)
		p.store.heal()
		p.hurt()
		r.harm(-1)
	}},
	{"connections reset", func(r *run, _ context.Context, _ time.Duration) {
		p := r.daemons[r.pick(len(r.daemons))]
		p.hurt()
		p.store.resetAll()
		if t := r.anyTarget(); t != nil {
			t.proxy.resetAll()
		}
	}},
	{"target crashed", func(r *run, ctx context.Context, d time.Duration) {
		t := r.takeTarget()
		if t == nil {
			return
		}
		t.crash()
		sleep(ctx, d)
		if t.life%2 == 0 {
			r.noteErr(r.startAgain(t))
			return
		}
		r.store.RemoveTarget(t.name)
		r.addOrNote()
	}},
	{"target leaves", func(r *run, ctx context.Context, _ time.Duration) {
		t := r.takeTarget()
		if t == nil {
			return
		}
		// A host that is cut off from the store cannot know; the promise holds for
		// the others, so nothing is checked then.
		r.mu.Lock()
		r.leaving = append(r.leaving, t)
		r.mu.Unlock()
		if r.harms.Load() == 0 {
			t.left.Store(time.Now().UnixNano())
		}
		reg := t.registration()
		reg.Drained = true
		r.noteErr(r.store.PutTarget(reg))
		sleep(ctx, drainTime+time.Second)
		r.ledger.check(promiseDrained, true, "")
		t.left.Store(0)
		r.store.RemoveTarget(t.name)
		sleep(ctx, drainTime+time.Second)
		t.crash()
		r.addOrNote()
	}},
	{"target silent", func(r *run, ctx context.Context, d time.Duration) {
		if t := r.anyTarget(); t != nil {
			t.proxy.silentBack.Store(true)
			sleep(ctx, d)
			t.proxy.heal()
			t.proxy.resetAll()
		}
	}},
	{"target slow to reach", func(r *run, ctx context.Context, d time.Duration) {
		if t := r.anyTarget(); t != nil {
			t.proxy.delay.Store(int64(50 * time.Millisecond))
			sleep(ctx, d)
			t.proxy.heal()
		}
	}},
	{"answers broken off", func(r *run, ctx context.Context, d time.Duration) {
		if t := r.anyTarget(); t != nil {
			t.cut.Store(300)
			t.lose.Store(100)
			sleep(ctx, d)
			t.cut.Store(0)
			t.lose.Store(0)
		}
	}},
	{"configuration changed", func(r *run, _ context.Context, _ time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.noteErr(r.configure())
	}},
	{"key taken away", func(r *run, _ context.Context, _ time.Duration) { r.revokeOne() }},
}

// strike lets faults begin one after the other, at random times; they overlap.
func (r *run) strike(ctx context.Context) {
	var wg conc.WaitGroup
	end := time.Now().Add(r.o.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.mu.Lock()
		f := faults[r.rnd.IntN(len(faults))]
		pause := time.Duration(100+r.rnd.IntN(900)) * time.Millisecond
		lasts := time.Duration(300+r.rnd.IntN(3000)) * time.Millisecond
		r.faults[f.name]++
		r.mu.Unlock()
		wg.Go(func() { f.do(r, ctx, lasts) })
		sleep(ctx, pause)
	}
	wg.Wait()
	r.store.SetFault(standin.Fault{})
	for _, d := range r.daemons {
		d.store.heal()
	}
}

// pick draws from the run's one source of chance.
func (r *run) pick(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

// restart ends one daemon. Only one at a time is restarted, so that a signal
// never meets a process of another life.
func (r *run) restart(s syscall.Signal, down time.Duration) {
	p := r.daemons[r.pick(len(r.daemons))]
	if !p.claim() {
		return
	}
	defer p.release()
	r.noteErr(p.restart(s, down))
}

func (r *run) harmStore(ctx context.Context, d time.Duration, f standin.Fault) {
	r.harm(1)
	r.store.SetFault(f)
	sleep(ctx, d)
	r.store.SetFault(standin.Fault{})
	sleep(ctx, drainTime)
	r.harm(-1)
}

// harm counts a fault of the store that begins (1) or is over (-1). From its
// begin on, targets that leave are not checked any more: nobody may have heard.
func (r *run) harm(n int32) {
	if n > 0 {
		r.mu.Lock()
		for _, t := range r.leaving {
			t.left.Store(0)
		}
		r.mu.Unlock()
	}
	r.harms.Add(n)
}

func (r *run) anyTarget() *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.targets) == 0 {
		return nil
	}
	return r.targets[r.rnd.IntN(len(r.targets))]
}

// takeTarget takes a target out, but not the last two.
func (r *run) takeTarget() *target {
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

func (r *run) addOrNote() { r.noteErr(r.addTarget()) }

// noteErr shows a failure of the soak itself as a broken run.
func (r *run) noteErr(err error) {
	if err != nil {
		r.ledger.check(promiseRecover, false, "the soak itself failed: %v", err)
	}
}

// revokeOne takes a key away that callers go on using for a while.
func (r *run) revokeOne() {
	r.mu.Lock()
	key := r.keys.rotate(fmt.Sprintf("k%d", r.version+1000))
	err := r.configure()
	r.mu.Unlock()
	r.noteErr(err)
	r.ledger.revoke(key)
}

// rotate puts a new key in the place of the oldest and returns that.
func (k *keyring) rotate(next string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.keys[0]
	k.keys = append(append([]string(nil), k.keys[1:]...), next)
	k.stale = append(k.stale, old)
	return old
}

// Faults lists the kinds of fault.
func Faults() []string {
	var out []string
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}
