package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	decide "github.com/fireflypath/fireflypath/internal/decide/rollout"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/rollout"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

var policy = decide.Policy{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// trialWorld is a fleet that tries versions. Time moves in steps.
type trialWorld struct {
	*world
	is      *is.I
	daemons map[string]*trialDaemon
	names   []string
	// failing is true while the new version fails.
	failing bool
	// tried counts the requests at the new version, all those at the pool.
	tried, all int
	states     []string
}

type trialDaemon struct {
	w           *trialWorld
	name        string
	dir         *directory.Directory
	tracker     *rollout.Tracker
	coordinator *rollout.Coordinator
	handlers    map[string]peer.Handler
	// cut is true while the daemon reaches neither the store nor others; paused while it does nothing.
	cut, paused bool
	// tried counts its requests at the new version.
	tried int
}

func (d *trialDaemon) Handle(method string, h peer.Handler) { d.handlers[method] = h }

func (d *trialDaemon) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	other := d.w.daemons[to.Name]
	if d.cut || other.cut || other.paused {
		return peer.ErrUnreachable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := other.handlers[method](ctx, d.name, b)
	if err != nil {
		return err
	}
	if b, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

// newTrialWorld starts daemons in a pool with a target of v1.
func newTrialWorld(t *testing.T, names ...string) *trialWorld {
	t.Helper()
	clock := clockwork.NewFakeClock()
	w := &trialWorld{world: &world{t: t, clock: clock, store: testkit.NewMapStore(clock)}, is: is.New(t), daemons: map[string]*trialDaemon{}, names: names}
	w.register("old", "v1")
	for _, name := range names {
		w.start(name)
	}
	return w
}

// start starts a daemon, or starts it again without what it knew.
func (w *trialWorld) start(name string) {
	d := &trialDaemon{w: w, name: name, handlers: map[string]peer.Handler{}}
	d.dir = directory.New(feed{w.store}, codec{}, w.clock, boottime.System{}, tally.NoopScope, zap.NewNop())
	d.dir.EnableTrials()
	d.tracker = rollout.NewTracker(rollout.TrackerDeps{
		Self: name, Members: fleet(w.names), Peers: d, Configs: d.dir, Policy: policy, Clock: w.clock, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	d.coordinator = rollout.New(rollout.Deps{
		Self: name, Members: fleet(w.names), Store: w.store, Codec: codec{}, Configs: d.dir,
		Tracker: d.tracker, Policy: policy, Clock: w.clock, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	w.daemons[name] = d
}

// run lets the fleet work for a time, with two requests at each daemon in each step.
func (w *trialWorld) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for range d / step {
		for _, name := range w.names {
			d := w.daemons[name]
			if d.paused {
				continue
			}
			if !d.cut {
				_ = d.dir.Step(w.t.Context()) // a store that is down fails the step
				d.tracker.Apply(d.dir.Current())
				d.coordinator.Step(w.t.Context())
			}
			d.tracker.Step(w.t.Context())
			for range 2 {
				d.request()
			}
		}
		w.clock.Advance(step)
		if s := w.status(); len(w.states) == 0 || w.states[len(w.states)-1] != s {
			w.states = append(w.states, s)
		}
	}
}

// request sends one request.
func (d *trialDaemon) request() {
	target, a, ok := d.tracker.Try("p", "r", "", true)
	if !ok {
		for _, t := range d.dir.Current().Targets {
			if !t.Drained {
				target, a, _ = d.tracker.Begin("r", t, true)
				break
			}
		}
	}
	d.w.all++
	if ok = target.Version == "v2"; ok {
		d.w.tried++
		d.tried++
	}
	a.First()
	a.End(ok && d.w.failing, false, 0)
}

func (w *trialWorld) record() (r fireflypath.RolloutRecord) {
	e, err := w.store.Get(w.t.Context(), directory.RolloutPrefix+"p")
	if err != nil {
		return r
	}
	w.is.NoErr(json.Unmarshal(e.Value, &r))
	return r
}

func (w *trialWorld) orderV2() {
	w.order("v2")
	w.register("new", "v2")
}

// Guards against an order without a result, or with two, and against a bad version that gets too much.
func TestTrialHasOneResult(t *testing.T) {
	for failing, want := range map[bool]string{true: "rolled-back v2", false: "completed v2"} {
		w := newTrialWorld(t, "a", "b", "c")
		w.run(time.Second)
		w.failing = failing
		w.orderV2()
		w.run(12 * time.Second)
		w.is.Equal(w.states, []string{"", "running v2", want})
		if failing {
			w.is.True(w.tried <= 50+w.all/10)
		}
		w.run(5 * time.Second)
		w.is.Equal(w.status(), want)
	}
}

// Guards against a daemon that sends work to a version on trial although it is cut off or was paused for
// longer than its permission lasts.
func TestDaemonThatIsCutOffSendsNothing(t *testing.T) {
	w := newTrialWorld(t, "a", "b", "c", "d", "e", "f", "g")
	w.run(time.Second)
	w.orderV2()
	w.run(3 * time.Second)
	w.is.Equal(w.status(), "running v2")
	cut := w.daemons["a"]
	if w.record().Holder == "a" {
		cut = w.daemons["b"]
	}
	w.is.True(cut.tried > 0)
	cut.cut = true
	w.run(policy.Validity(len(w.names)))
	before, all := cut.tried, w.tried
	w.run(3 * time.Second)
	w.is.Equal(cut.tried, before)
	w.is.True(w.tried > all) // the others go on
}

// Guards against a holder that was paused for longer than its lease and still decides, or gives permissions.
func TestPausedHolderDecidesNothing(t *testing.T) {
	w := newTrialWorld(t, "a", "b", "c")
	w.run(time.Second)
	w.orderV2()
	w.run(2 * time.Second)
	first := w.record()
	holder := w.daemons[first.Holder]
	holder.paused = true
	w.run(4 * time.Second)
	second := w.record()
	w.is.True(second.Holder != first.Holder)
	w.is.Equal(second.Term, first.Term+1)
	holder.paused = false
	tried := holder.tried
	holder.coordinator.Step(w.t.Context()) // it does not know yet that it was replaced
	w.is.Equal(w.record(), second)
	for range 100 {
		holder.request()
	}
	w.is.Equal(holder.tried, tried) // its permission has expired
	w.run(6 * time.Second)
	w.is.Equal(w.status(), "completed v2")
	w.is.Equal(w.record().Holder, second.Holder)
}

// Guards against a result that changes because all daemons were started again at some time, and an order
// that never gets one.
func TestTrialOutlivesAllDaemons(t *testing.T) {
	for failing, want := range map[bool]string{true: "rolled-back v2", false: "completed v2"} {
		for after := 100 * time.Millisecond; after < 12*time.Second; after += 900 * time.Millisecond {
			t.Run(fmt.Sprint(want, " after ", after), func(t *testing.T) {
				w := newTrialWorld(t, "a", "b", "c")
				w.run(time.Second)
				w.failing = failing
				w.orderV2()
				w.run(after)
				for _, name := range w.names {
					w.start(name)
				}
				w.run(14*time.Second - after)
				w.is.Equal(w.states[len(w.states)-1], want)
				if failing {
					w.is.True(w.tried <= 50+w.all/10)
				}
				w.is.True(len(w.states) <= 3)
				w.is.True(w.record().Phase.Final())
			})
		}
	}
}

// Guards against a result that is written twice, or lost, because the store fails at some step of the trial.
func TestTrialOutlivesStoreFaults(t *testing.T) {
	for name, fault := range map[string]testkit.Fault{"answer lost": {After: fireflypath.ErrUnknown}, "down": {Before: fireflypath.ErrUnavailable}} {
		for failing, want := range map[bool]string{true: "rolled-back v2", false: "completed v2"} {
			for first := range 14 {
				t.Run(fmt.Sprint(name, " at write ", first, " ", want), func(t *testing.T) {
					w := newTrialWorld(t, "a", "b", "c")
					w.run(time.Second)
					w.failing = failing
					w.orderV2()
					writes := 0
					w.store.SetFault(func(op, _ string) testkit.Fault {
						if op != "put" {
							return testkit.Fault{}
						}
						writes++
						if writes > first && writes <= first+2 {
							return fault
						}
						return testkit.Fault{}
					})
					w.run(14 * time.Second)
					w.is.Equal(w.states[len(w.states)-1], want)
					w.is.True(len(w.states) <= 3)
				})
			}
		}
	}
}

// Guards against an order without targets that is never answered, and one that is answered before its
// targets have started.
func TestOrderWithoutTargets(t *testing.T) {
	w := newTrialWorld(t, "a", "b", "c")
	w.run(time.Second)
	w.order("v2")
	w.run(9 * time.Second)
	w.is.Equal(w.status(), "running v2")
	w.run(3 * time.Second)
	w.is.Equal(w.status(), "rolled-back v2")
}

// Guards against a version that serves all requests because the order to try it was replaced.
func TestReplacedOrder(t *testing.T) {
	w := newTrialWorld(t, "a", "b", "c")
	w.run(time.Second)
	w.orderV2()
	w.run(2 * time.Second)
	w.order("v3")
	w.register("newer", "v3")
	tried := w.tried
	w.run(12 * time.Second)
	w.is.Equal(w.status(), "completed v3")
	w.is.True(w.tried <= tried+6) // as many as before the daemons knew the next order
	w.is.Equal(w.record().Withheld, []string{"v2"})
	late := directory.New(feed{w.store}, codec{}, w.clock, boottime.System{}, tally.NoopScope, zap.NewNop())
	w.is.NoErr(late.Step(t.Context()))
	for _, target := range late.Current().Targets {
		w.is.True(target.Version != "v2")
	}
}

// Guards against targets that serve and are taken out because their order comes again, and a version that
// was rolled back and is tried again.
func TestRepeatedOrderOfTrial(t *testing.T) {
	for failing, want := range map[bool]string{true: "rolled-back v2", false: "completed v2"} {
		w := newTrialWorld(t, "a", "b", "c")
		w.run(time.Second)
		w.failing = failing
		w.orderV2()
		w.run(12 * time.Second)
		w.is.Equal(w.status(), want)
		w.order("v2")
		tried, all := w.tried, w.all
		w.run(5 * time.Second)
		w.is.Equal(w.states, []string{"", "running v2", want})
		if failing {
			w.is.Equal(w.tried, tried)
		} else {
			w.is.Equal(w.tried-tried, w.all-all) // it serves all requests
		}
	}
}
