// Package soak runs daemons as real processes between callers and targets, harms all of them at random, and checks the promises meanwhile.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

const (
	host = "soak.example"
	// settleTime is what the fleet has after the last fault to serve again.
	settleTime = 6 * time.Second
	// afterTime is how long service is measured then, and afterPart the part of
	// requests that must be whole.
	afterTime = 3 * time.Second
	afterPart = 0.9
	// startTime bounds the start of the daemons.
	startTime = 20 * time.Second
)

// Options choose a run.
type Options struct {
	// Program is the daemon's program.
	Program string
	// Seed decides the faults and their times.
	Seed uint64
	// Duration is how long faults strike.
	Duration time.Duration
	// Daemons, Targets and Callers are numbers.
	Daemons, Targets, Callers int
	// Dir takes settings and logs; it is kept if a promise is broken.
	Dir string
	// NoFaults leaves the faults out, to see the load alone.
	NoFaults bool
	// PoisonRequest has a caller send a request that ends targets, and others one and the same.
	PoisonRequest bool
}

// Result is what a run came to.
type Result struct {
	Seed       uint64
	Requests   int
	Faults     map[string]int
	Checked    map[string]int
	Violations []string
}

// keyring holds the keys in use.
type keyring struct {
	mu   sync.Mutex
	keys []string
	// stale are keys that were taken away and that some callers still use.
	stale []string
}

// pick is a key; one in twenty callers uses one that was taken away.
func (k *keyring) pick(r *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.stale) > 0 && r.IntN(staleOf) == 0 {
		return k.stale[r.IntN(len(k.stale))]
	}
	return k.keys[r.IntN(len(k.keys))]
}

// staleOf is one in how many requests carries a key that was taken away.
const staleOf = 20

// run is one run.
type run struct {
	o       Options
	rnd     *rand.Rand
	ledger  *ledger
	ports   *ports
	store   *standin.Store
	storeLn net.Listener
	daemons []*process
	mu      sync.Mutex
	targets []*target
	// leaving are targets that said that they leave.
	leaving []*target
	lives   int
	version uint64
	keys    *keyring
	routes  []fireflypath.Route
	// harms counts the faults of the store, and of ways to it, that are in force
	// or were a little before.
	harms  atomic.Int32
	prober *prober
	deadly deadly
	faults map[string]int
	tried  atomic.Int64
	whole  atomic.Int64
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{
		o: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), ledger: newLedger(), ports: newPorts(), store: standin.New(),
		keys: &keyring{keys: []string{"k0", "k1", "k2"}}, faults: map[string]int{}, routes: routes(),
	}
	r.prober = &prober{
		ledger: r.ledger, names: platform.Codec{}.Headers(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := r.setUp(ctx); err != nil {
		r.close()
		return Result{}, err
	}
	r.play(ctx)
	r.close()
	return r.result(), nil
}

func routes() []fireflypath.Route {
	route := func(name string, form fireflypath.Form, repeat fireflypath.Repeat) fireflypath.Route {
		return fireflypath.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Form: form, Repeat: repeat, Attempts: 3,
			Resumable: form == fireflypath.FormEvents && repeat == fireflypath.RepeatSafe,
			Timeout:   fireflypath.Duration(3 * time.Second), Goal: fireflypath.Duration(500 * time.Millisecond),
			Gap: fireflypath.Duration(250 * time.Millisecond), Split: []fireflypath.Split{{Pool: "p"}},
		}
	}
	return []fireflypath.Route{
		route("once", fireflypath.FormWhole, fireflypath.RepeatNever),
		route("safe", fireflypath.FormWhole, fireflypath.RepeatSafe),
		route("stream", fireflypath.FormEvents, fireflypath.RepeatNever),
		route("resume", fireflypath.FormEvents, fireflypath.RepeatSafe),
	}
}

func (r *run) setUp(ctx context.Context) error {
	ln, err := r.ports.listen()
	if err != nil {
		return err
	}
	r.storeLn = ln
	go func() { _ = (&http.Server{Handler: r.store, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	for range r.o.Targets {
		if err := r.addTarget(); err != nil {
			return err
		}
	}
	if err := r.configure(); err != nil {
		return err
	}
	ports, release, err := r.ports.reserve(r.o.Daemons)
	if err != nil {
		return err
	}
	defer release()
	var seeds []string
	for _, p := range ports {
		seeds = append(seeds, fmt.Sprintf("%s:%d", loopback.Addr(), p[2]))
	}
	var made []*process
	for i, p := range ports {
		d, err := newProcess(r.o.Dir, r.o.Program, fmt.Sprintf("d%d", i), ln.Addr().String(), seeds[:min(3, len(seeds))], p, r.ports)
		if err != nil {
			return err
		}
		d.note = r.noteErr
		made = append(made, d)
	}
	release()
	for _, d := range made {
		if err := d.start(); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return r.await(ctx, startTime)
}

// await waits until all daemons take callers.
func (r *run) await(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range r.daemons {
		for !d.up() {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready; its log ends with %s", d.name, d.lastWords())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *run) addTarget() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives++
	return r.startTarget(fmt.Sprintf("t%d", r.lives))
}

// startAgain starts a target that crashed under the name that it had. Its
// registration was there all the while.
func (r *run) startAgain(t *target) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives++
	return r.startTarget(t.name)
}

// startTarget starts the next life under the name. The caller holds mu.
func (r *run) startTarget(name string) error {
	t, err := newTarget(name, "p", r.lives, r.ledger, r.ports, r.o.Seed+uint64(r.lives))
	if err != nil {
		return err
	}
	t.dies = func() { r.endDeadly(t) }
	r.targets = append(r.targets, t)
	return r.store.PutTarget(t.registration())
}

// configure writes the next version.
func (r *run) configure() error {
	r.version += 1 + uint64(r.rnd.IntN(3))
	return r.store.PutConfig(r.version, append(r.routes[:len(r.routes):len(r.routes)], r.prober.next()), []fireflypath.Pool{{Name: "p"}}, []standin.Team{{Name: "red", Keys: r.keys.keys}})
}

// play lets callers send while faults strike, and looks at service afterwards.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	for i := range r.o.Callers {
		c := &caller{
			n: i, names: platform.Codec{}.Headers(), ledger: r.ledger, daemons: r.daemons, keys: r.keys,
			client: &http.Client{Transport: &http.Transport{}},
			rnd:    rand.New(rand.NewPCG(r.o.Seed, uint64(100+i))), tried: &r.tried, whole: &r.whole, hot: r.o.PoisonRequest,
		}
		wg.Go(func() { c.run(ctx) })
	}
	if r.o.PoisonRequest {
		wg.Go(func() { r.sendDeadly(ctx) })
	}
	for _, d := range r.daemons {
		wg.Go(func() { r.prober.run(ctx, d, func() bool { return r.harms.Load() == 0 && d.calm() }) })
	}
	if !r.o.NoFaults {
		r.strike(ctx)
	}
	sleep(ctx, settleTime)
	tried, whole := r.tried.Load(), r.whole.Load()
	sleep(ctx, afterTime)
	tried, whole = r.tried.Load()-tried, r.whole.Load()-whole
	r.ledger.check(promiseRecover, tried > 0 && float64(whole) >= afterPart*float64(tried),
		"%d of %d requests were whole after the faults", whole, tried)
	cancel()
	wg.Wait()
	if r.o.PoisonRequest {
		r.judgeDeadly()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *run) result() Result {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Result{Seed: r.o.Seed, Requests: len(l.requests), Faults: r.faults, Checked: map[string]int{}}
	for _, p := range promises {
		out.Checked[string(p)] = l.checked[p]
	}
	for _, b := range l.broken {
		out.Violations = append(out.Violations, string(b.promise)+": "+b.detail)
	}
	return out
}

func (r *run) close() {
	for _, d := range r.daemons {
		r.noteErr(d.kill())
	}
	for _, t := range r.targets {
		t.crash()
	}
	if r.storeLn != nil {
		r.storeLn.Close()
	}
}

// Invariants lists what is checked, in the order of reports.
func Invariants() []string {
	var out []string
	for _, p := range promises {
		out = append(out, string(p))
	}
	return out
}
