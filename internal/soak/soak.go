// Package soak runs daemons as real processes between callers and targets, injects random
// faults, and checks that the invariants hold.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	// recoveryTime is how long the fleet may take to recover after the last fault.
	recoveryTime = 6 * time.Second
	// measureTime is how long requests are counted after that. At least the fraction
	// minSuccessRatio of them must receive a complete response.
	measureTime     = 3 * time.Second
	minSuccessRatio = 0.975
	// startTimeout limits the time until all daemons are ready.
	startTimeout = 20 * time.Second
)

// Options configures a run.
type Options struct {
	// Program is the path of the daemon's executable.
	Program string
	// Seed determines the faults and their times.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Daemons, Targets and Callers are the number of each to run.
	Daemons, Targets, Callers int
	// Dir is the directory for the settings and logs of the daemons. Run does not remove
	// them, so that they are available after a violation.
	Dir string
	// NoFaults disables faults, to run only the load.
	NoFaults bool
	// PoisonRequest adds a caller that sends a request that crashes targets, and makes
	// the other callers send a body that they share.
	PoisonRequest bool
	// CrashingParts adds callers whose requests differ and share parts that crash targets.
	CrashingParts bool
	// CrowdCallers has nearly all callers come to one daemon for a while, each request on a
	// connection of its own.
	CrowdCallers bool
	// SlowReaders is the number of additional callers with bodies of the largest size that read a byte
	// now and then.
	SlowReaders int
	// StarveDaemons gives one daemon after the other little processor time.
	StarveDaemons bool
	// MoveRoutes moves routes to a second pool and back, releases new versions there, and kills daemons
	// in the middle of answers without a frame.
	MoveRoutes bool
}

// Result is the result of a run.
type Result struct {
	Seed       uint64
	Requests   int
	Faults     map[string]int
	Checked    map[string]int
	Violations []string
}

// keyring holds the keys that callers use.
type keyring struct {
	mu   sync.Mutex
	keys []string
	// revoked are revoked keys, which some requests still use.
	revoked []string
}

// random returns a random key. One in revokedKeyRatio requests gets a revoked key.
func (k *keyring) random(r *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.revoked) > 0 && r.IntN(revokedKeyRatio) == 0 {
		return k.revoked[r.IntN(len(k.revoked))]
	}
	return k.keys[r.IntN(len(k.keys))]
}

// isRevoked reports whether a key was revoked.
func (k *keyring) isRevoked(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Contains(k.revoked, key)
}

// revokedKeyRatio is the ratio of all requests to those with a revoked key.
const revokedKeyRatio = 20

// run is the state of one run.
type run struct {
	options Options
	rnd     *rand.Rand
	history *history
	ports   *ports
	store   *standin.Store
	storeLn net.Listener
	daemons []*process
	mu      sync.Mutex
	targets []*target
	// leaving are the targets whose registration said that they are leaving.
	leaving      []*target
	incarnations int
	version      uint64
	keys         *keyring
	routes       []fireflypath.Route
	// disturbances counts the faults of the store and of connections to it that are
	// active or ended recently.
	disturbances atomic.Int32
	prober       *prober
	poisons      poisons
	faults       map[string]int
	attempted    atomic.Int64
	succeeded    atomic.Int64
	streams      streamCounts
	// crowd is where most callers are at present, or nil.
	crowd atomic.Pointer[crowd]
	lossState
	moveState
}

// Run executes one run.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{
		options: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), history: newHistory(), ports: newPorts(), store: standin.New(),
		keys: &keyring{keys: []string{"k0", "k1", "k2"}}, faults: map[string]int{}, routes: routes(), poisons: newPoisons(),
	}
	r.prober = &prober{
		history: r.history, headers: platform.Codec{}.Headers(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := r.setUp(ctx); err != nil {
		r.close()
		return Result{}, err
	}
	r.execute(ctx)
	r.close()
	return r.result(), nil
}

func routes() []fireflypath.Route {
	route := func(name string, form fireflypath.Form, repeat fireflypath.Repeat) fireflypath.Route {
		return fireflypath.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Form: form, Repeat: repeat, Attempts: 3,
			Resumable: form == fireflypath.FormEvents && repeat == fireflypath.RepeatSafe,
			Timeout:   fireflypath.Duration(3 * time.Second), Goal: fireflypath.Duration(500 * time.Millisecond),
			Gap: fireflypath.Duration(250 * time.Millisecond), Split: []fireflypath.Split{{Pool: homePool}},
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
	for range r.options.Targets {
		if err := r.addTarget(); err != nil {
			return err
		}
	}
	if r.options.MoveRoutes {
		if err := r.startAwayTargets(); err != nil {
			return err
		}
	}
	if err := r.configure(); err != nil {
		return err
	}
	ports, release, err := r.ports.reserve(r.options.Daemons)
	if err != nil {
		return err
	}
	defer release()
	var seeds []string
	for _, p := range ports {
		seeds = append(seeds, fmt.Sprintf("%s:%d", loopback.Addr(), p[2]))
	}
	var processes []*process
	for i, p := range ports {
		d, err := newProcess(i, r.options.Dir, r.options.Program, fmt.Sprintf("d%d", i), ln.Addr().String(), seeds[:min(3, len(seeds))], p, r.ports)
		if err != nil {
			return err
		}
		d.onError = r.reportError
		processes = append(processes, d)
	}
	release()
	for _, d := range processes {
		if err := d.start(); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return r.waitReady(ctx, startTimeout)
}

// waitReady waits until all daemons are ready for callers.
func (r *run) waitReady(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range r.daemons {
		for !d.isReady() {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready; its log ends with %s", d.name, d.logTail())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *run) addTarget() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations++
	return r.startTarget(fmt.Sprintf("t%d", r.incarnations), homePool, versionOfIncarnation(r.incarnations), r.incarnations)
}

// restartTarget restarts a crashed target under the same name. Its registration was not
// removed in the meantime.
func (r *run) restartTarget(t *target) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations++
	return r.startTarget(t.name, homePool, versionOfIncarnation(r.incarnations), r.incarnations)
}

// startTarget starts an incarnation of a target. The caller holds mu.
func (r *run) startTarget(name, pool, version string, incarnation int) error {
	t, err := newTarget(name, pool, version, incarnation, r.history, r.ports, r.options.Seed+uint64(incarnation))
	if err != nil {
		return err
	}
	t.findPoison = func(body, prompt string) *poisonCrashes {
		c := r.poisons.find(body, prompt)
		if c != nil {
			c.recordArrival(time.Now(), r.isStable())
		}
		return c
	}
	t.onPoison = func(c *poisonCrashes) { r.crashByPoison(t, c) }
	list := r.listOf(pool)
	*list = append(*list, t)
	return r.store.PutTarget(t.registration())
}

// configure writes the next version of the configuration to the store. The caller holds mu,
// except during setUp.
func (r *run) configure() error {
	r.prober.next()
	return r.putConfig(r.rnd)
}

// putConfig writes the present configuration to the store as a new version. The caller holds mu, except
// during setUp.
func (r *run) putConfig(rnd *rand.Rand) error {
	r.version += 1 + uint64(rnd.IntN(3))
	pools := []fireflypath.Pool{{Name: homePool}, {Name: awayPool}}
	return r.store.PutConfig(r.version, append(r.routes[:len(r.routes):len(r.routes)], r.prober.route(r.prober.newest())), pools, []standin.Team{{Name: "red", Keys: r.keys.keys}})
}

// execute injects faults while callers send requests, and then checks that the fleet has
// recovered.
func (r *run) execute(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	for i := range r.options.Callers {
		c := &caller{
			index: i, headers: platform.Codec{}.Headers(), history: r.history, daemons: r.daemons, keys: r.keys,
			client: &http.Client{Transport: &http.Transport{}},
			rnd:    rand.New(rand.NewPCG(r.options.Seed, uint64(100+i))), attempted: &r.attempted, succeeded: &r.succeeded, sendsSharedBody: r.options.PoisonRequest,
			losses: &r.losses, crowd: &r.crowd, streams: &r.streams, returnsTo: &r.returnsTo,
		}
		wg.Go(func() { c.run(ctx) })
	}
	if r.options.PoisonRequest {
		wg.Go(func() { r.sendPoisonRequests(ctx) })
	}
	if r.options.CrashingParts {
		for i, part := range crashingParts {
			wg.Go(func() { r.sendCrashingPart(ctx, part, uint64(1_000_000*(i+1))) })
		}
	}
	for _, d := range r.daemons {
		wg.Go(func() { r.prober.run(ctx, d, func() bool { return r.disturbances.Load() == 0 && d.isStable() }) })
	}
	if r.options.SlowReaders > 0 {
		for n := range r.options.SlowReaders {
			wg.Go(func() { r.sendSlowRequests(ctx, n) })
		}
		wg.Go(func() { r.watchMemory(ctx) })
	}
	if r.options.CrowdCallers {
		r.moveCallers(ctx)
	}
	if !r.options.NoFaults {
		wg.Go(func() { r.announceNotices(ctx) })
		wg.Go(func() { r.injectLosses(ctx) })
		if r.options.MoveRoutes {
			wg.Go(func() { r.moveRoutes(ctx) })
			wg.Go(func() { r.killInAnswers(ctx) })
		}
		if r.options.StarveDaemons {
			wg.Go(func() { r.starveDaemons(ctx) })
		}
		r.injectFaults(ctx)
	}
	sleep(ctx, recoveryTime)
	attempted, succeeded := r.attempted.Load(), r.succeeded.Load()
	r.streams.reset()
	sleep(ctx, measureTime)
	attempted, succeeded = r.attempted.Load()-attempted, r.succeeded.Load()-succeeded
	r.history.check(invariantRecovery, attempted > 0 && float64(succeeded) >= minSuccessRatio*float64(attempted),
		"%d of %d requests succeeded after the faults", succeeded, attempted)
	if r.fewestOfVersion() > 1 {
		r.streams.check(r.history)
	}
	r.checkRecords()
	cancel()
	wg.Wait()
	if r.options.PoisonRequest || r.options.CrashingParts {
		r.checkPoisonCrashes()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *run) result() Result {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Result{Seed: r.options.Seed, Requests: len(h.requests), Faults: r.faults, Checked: map[string]int{}}
	for _, inv := range invariants {
		out.Checked[string(inv)] = h.checked[inv]
	}
	for _, v := range h.violations {
		out.Violations = append(out.Violations, string(v.invariant)+": "+v.detail)
	}
	return out
}

func (r *run) close() {
	for _, d := range r.daemons {
		r.reportError(d.kill())
	}
	for _, t := range append(r.currentTargets(), r.awayTargets()...) {
		t.crash()
	}
	if r.storeLn != nil {
		r.storeLn.Close()
	}
}

// Invariants returns the descriptions of the invariants in the order of reports.
func Invariants() []string {
	var out []string
	for _, inv := range invariants {
		out = append(out, string(inv))
	}
	return out
}
