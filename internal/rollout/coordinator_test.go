package rollout_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/rollout"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/internal/writeback"
)

// codec stores orders and statuses as JSON.
type codec struct{ testkit.Codec }

func (codec) RolloutPrefixes() (orders, status string) { return "orders/", "results/" }

func (codec) RolloutOrder(value []byte) (o fireflypath.RolloutOrder, err error) {
	return o, json.Unmarshal(value, &o)
}

func (codec) RolloutStatus(pool string, value []byte) (fireflypath.RolloutStatus, error) {
	s := fireflypath.RolloutStatus{Pool: pool}
	return s, json.Unmarshal(value, &s)
}

func (codec) EncodeRolloutStatus(s fireflypath.RolloutStatus) ([]byte, error) { return json.Marshal(s) }

// fleet is a fixed list of daemons.
type fleet []string

func (f fleet) Live() []fireflypath.Member {
	var out []fireflypath.Member
	for _, name := range f {
		out = append(out, fireflypath.Member{Name: name})
	}
	return out
}

// feed reads a MapStore as a whole at each call.
type feed struct{ *testkit.MapStore }

func (f feed) Snapshot(ctx context.Context, prefix string) (fireflypath.Listing, error) {
	entries, err := f.List(ctx, prefix)
	l := fireflypath.Listing{Entries: entries}
	for _, e := range entries {
		l.Revision = max(l.Revision, e.Revision)
	}
	return l, err
}

func (f feed) Follow(context.Context, string, uint64, time.Duration) (fireflypath.Listing, error) {
	return fireflypath.Listing{}, fireflypath.ErrCompacted // the next step reads everything
}

// daemon is a view of the store and what answers orders from it.
type daemon struct {
	dir         *directory.Directory
	coordinator *rollout.Coordinator
}

type world struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	store   *testkit.MapStore
	daemons []daemon
}

func newWorld(t *testing.T, names ...string) *world {
	w := &world{t: t, clock: clockwork.NewFakeClock()}
	w.store = testkit.NewMapStore(w.clock)
	for _, name := range names {
		d := directory.New(feed{w.store}, codec{}, w.clock, boottime.System{}, tally.NoopScope, zap.NewNop())
		lost := writeback.New(w.store, w.clock, tally.NoopScope, zap.NewNop())
		d.OnRestore(lost.Write)
		go lost.Run(t.Context())
		w.daemons = append(w.daemons, daemon{d, rollout.New(rollout.Deps{
			Self: name, Members: fleet(names), Store: w.store, Codec: codec{}, Configs: d,
			Clock: w.clock, Scope: tally.NoopScope, Log: zap.NewNop(),
		})})
	}
	return w
}

func (w *world) put(key string, value any) {
	w.t.Helper()
	b, err := json.Marshal(value)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.store.Put(w.t.Context(), key, b, fireflypath.AnyRevision, 0); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) register(name, version string) {
	w.put("targets/"+name, fireflypath.Target{Name: name, Pool: "p", Addr: "127.0.0.1:1", Version: version, Slots: 5})
}

func (w *world) order(version string) {
	w.put("orders/p", fireflypath.RolloutOrder{Version: version, Duration: 12 * time.Second})
}

// settle lets every daemon read the store and answer, for some seconds.
func (w *world) settle() {
	for range 24 {
		for _, d := range w.daemons {
			_ = d.dir.Step(w.t.Context()) // a store that is down fails the step
			d.coordinator.Step(w.t.Context())
		}
		w.clock.Advance(500 * time.Millisecond)
	}
}

// status returns the stored state and version.
func (w *world) status() string {
	e, err := w.store.Get(w.t.Context(), "results/p")
	if err != nil {
		return ""
	}
	s, err := codec{}.RolloutStatus("p", e.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return string(s.State) + " " + s.Version
}

// serving returns the targets that a daemon may use.
func (d daemon) serving() string {
	var names []string
	for _, t := range d.dir.Current().Targets {
		names = append(names, t.Name)
	}
	return strings.Join(names, " ")
}

// A version is ordered whose targets are bad. No daemon may send it anything, whether it saw
// the order or starts later, and the operator must read a result.
func TestOrderedVersionIsRolledBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b", "c")
	w.register("old", "v1")
	w.order("v2")
	w.register("new", "v2")
	w.settle()
	is.Equal(w.status(), "rolled-back v2")
	w.order("v3")
	w.register("newer", "v3")
	w.settle()
	is.Equal(w.status(), "rolled-back v3")
	late := directory.New(feed{w.store}, codec{}, w.clock, boottime.System{}, tally.NoopScope, zap.NewNop())
	is.NoErr(late.Step(t.Context()))
	is.Equal(daemon{dir: late}.serving(), "old")
	for _, d := range w.daemons {
		is.Equal(d.serving(), "old")
	}
}

// The operator orders the version that serves already. Its targets must go on serving.
func TestOrderOfServingVersionIsCompleted(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.register("old", "v1")
	w.order("v1")
	w.settle()
	is.Equal(w.status(), "completed v1")
	is.Equal(w.daemons[0].serving(), "old")
}

// The store loses answers or is down while an order is answered. The result must be written
// once, and a version must not become available in between.
func TestOrderIsAnsweredAfterStoreFaults(t *testing.T) {
	for name, fault := range map[string]testkit.Fault{
		"answer lost": {After: fireflypath.ErrUnknown},
		"down":        {Before: fireflypath.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, "a", "b", "c")
			w.register("old", "v1")
			w.order("v2")
			w.register("new", "v2")
			faults := 0
			w.store.SetFault(func(op, key string) testkit.Fault {
				if op != "put" || faults >= 3 {
					return testkit.Fault{}
				}
				faults++
				return fault
			})
			w.settle()
			is.Equal(faults, 3)
			is.Equal(w.status(), "rolled-back v2")
			is.Equal(w.daemons[2].serving(), "old")
		})
	}
}

// The daemon that would answer first cannot reach the store. Another one must answer.
func TestBackupAnswersOrder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b", "c")
	w.register("old", "v1")
	w.order("v2")
	w.daemons = w.daemons[:1] // not the one whose turn it is first
	w.settle()
	is.Equal(w.status(), "rolled-back v2")
}

// Guards against a version that was rolled back and receives work again, or an order that gets another
// result, because the store came back from a copy that lacks both.
func TestResultOutlivesRestoredStore(t *testing.T) {
	for _, orderInCopy := range []bool{false, true} {
		is := is.New(t)
		w := newWorld(t, "a", "b", "c")
		w.register("old", "v1")
		backup := w.store.Copy()
		w.order("v2")
		if orderInCopy {
			backup = w.store.Copy()
		}
		w.register("new", "v2")
		w.settle()
		is.Equal(w.status(), "rolled-back v2")
		w.store.RestoreCopy(backup)
		for _, d := range w.daemons {
			is.NoErr(d.dir.Step(t.Context()))
			is.Equal(d.serving(), "old")
		}
		w.awaitWrites()
		w.order("v2") // is written again, as is the registration
		w.register("new", "v2")
		w.settle()
		is.Equal(w.status(), "rolled-back v2")
		late := directory.New(feed{w.store}, codec{}, w.clock, boottime.System{}, tally.NoopScope, zap.NewNop())
		is.NoErr(late.Step(t.Context()))
		is.Equal(daemon{dir: late}.serving(), "old")
		for _, d := range w.daemons {
			is.Equal(d.serving(), "old")
			is.True(d.dir.Current().Rollouts[0].Decided)
		}
	}
}

// awaitWrites waits until the daemons have written again what the store lost: the result and the list
// of versions.
func (w *world) awaitWrites() {
	w.t.Helper()
	for range 1000 {
		_, err := w.store.Get(w.t.Context(), directory.RefusedPrefix+"p")
		if err == nil && w.status() != "" {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatal("the daemons do not write")
}
