package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

// newVersions returns a scheduler with a target of five slots for each version given.
func newVersions(versions ...string) *slots.Scheduler {
	s := slots.New(fireflypath.Pool{Name: "p", Stride: 3}, 7, slots.DispatcherTuning())
	s.SetTargets(start, versionTargets(versions...))
	return s
}

func versionTargets(versions ...string) []fireflypath.Target {
	out := newTargets(len(versions))
	for i := range out {
		out[i].Version = versions[i]
	}
	return out
}

func newVersionWork(id, version string, now time.Time) *fireflypath.Work {
	w := newWork(id, 1, now)
	w.Version = version
	return w
}

// Guards against work that only some targets can take and that holds up what waits behind it.
func TestWorkOfOneVersionBlocksNothing(t *testing.T) {
	is := is.New(t)
	s := newVersions("v1", "v2")
	for i := range 8 {
		is.Equal(len(s.Offer(start, newVersionWork(fmt.Sprint("a", i), "v1", start), nil)), 0)
	}
	for i := range 5 {
		is.Equal(len(s.Offer(start, newVersionWork(fmt.Sprint("b", i), "", start.Add(time.Millisecond)), nil)), 0)
	}
	byTarget := map[string]int{}
	for _, p := range dispatchAll(s, start.Add(time.Millisecond)) {
		byTarget[p.Target]++
		is.True(p.Work.Version == "" || p.Target == "t0")
	}
	is.Equal(byTarget, map[string]int{"t0": 5, "t1": 5})
}

// Guards against work of one version that starves because work which could go elsewhere takes each slot
// of its targets.
func TestOtherWorkLeavesNeededTargets(t *testing.T) {
	is := is.New(t)
	s := newVersions("v1", "v2")
	for i := range 5 { // goes first
		is.Equal(len(s.Offer(start, newVersionWork(fmt.Sprint("any", i), "", start.Add(-time.Millisecond)), nil)), 0)
	}
	for i := range 5 {
		is.Equal(len(s.Offer(start, newVersionWork(fmt.Sprint("v1-", i), "v1", start), nil)), 0)
	}
	is.Equal(len(dispatchAll(s, start)), 10)
}

// Guards against callers that wait to their deadline for a version that has gone.
func TestWorkOfLostVersionIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newVersions("v1", "v2")
	is.Equal(len(s.Offer(start, newVersionWork("unknown", "v3", start), nil)), 1)
	for i := range 6 {
		is.Equal(len(s.Offer(start, newVersionWork(fmt.Sprint(i), "v1", start), nil)), 0)
	}
	is.Equal(len(dispatchAll(s, start)), 5)
	s.SetTargets(start, versionTargets("v2", "v2")) // the last target of v1 started again as v2
	is.Equal(s.Wake(start), start)
	is.Equal(len(s.Expire(start, nil)), 1)
	is.Equal(len(s.Expire(start, nil)), 0)
}

// Guards against work of one version that waits for a faster target of another one.
func TestWorkOfOneVersionAwaitsNoOtherTarget(t *testing.T) {
	is := is.New(t)
	s := newVersions("v1", "v2")
	now := start
	for i := range 20 { // the target of v2 is ten times as fast
		version, took := "v1", 10*time.Second
		if i%2 == 0 {
			version, took = "v2", time.Second
		}
		is.Equal(len(s.Offer(now, newVersionWork(fmt.Sprint("learn", i), version, now), nil)), 0)
		for _, p := range dispatchAll(s, now) {
			now = now.Add(took)
			complete(s, now, p, took)
		}
	}
	w := newVersionWork("resumed", "v1", now)
	is.Equal(len(s.Offer(now, w, nil)), 0)
	is.Equal(len(dispatchAll(s, now)), 1)
}

// Guards against a stream that nobody goes on with because the targets of its version serve another
// group of daemons.
func TestVersionOfAnotherGroupIsUsed(t *testing.T) {
	is := is.New(t)
	s := newVersions("v1", "v2")
	s.SetShare(start, fireflypath.Share{Fractions: map[string]float64{"t1": 1}})
	is.Equal(len(s.Offer(start, newVersionWork("any", "", start), nil)), 0)
	is.Equal(dispatchAll(s, start)[0].Target, "t1")
	is.Equal(len(s.Offer(start, newVersionWork("resumed", "v1", start), nil)), 0)
	is.Equal(dispatchAll(s, start)[0].Target, "t0")
}

// Guards against work of one version that is accepted although its targets cannot take it in time,
// because those of other versions could.
func TestWorkOfFullVersionIsRefusedEarly(t *testing.T) {
	is := is.New(t)
	s := newVersions("v1", "v2", "v2", "v2", "v2", "v2")
	now := start
	for i := range 60 { // learns how long requests last
		is.Equal(len(s.Offer(now, newVersionWork(fmt.Sprint("learn", i), "", now), nil)), 0)
		for _, p := range dispatchAll(s, now) {
			now = now.Add(500 * time.Millisecond)
			complete(s, now, p, 500*time.Millisecond)
		}
	}
	refused := 0
	for i := range 100 {
		refused += len(s.Offer(now, newVersionWork(fmt.Sprint("r", i), "v1", now), nil))
		dispatchAll(s, now)
	}
	is.True(refused > 0)
}
