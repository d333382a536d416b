package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/decide/rollout"
)

var (
	trialPolicy = rollout.Policy{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
	trialStart  = time.Unix(100, 0)
)

// Guards against a daemon that sends work to a version on trial without a fresh permission, or more than
// its share.
func TestCounterKeepsToItsPermission(t *testing.T) {
	is := is.New(t)
	var c rollout.Counter
	now := trialStart
	send := func(n int) (sent int) {
		for range n {
			if c.Allowed(now) {
				c.Start()
				sent++
			}
			c.See()
		}
		return sent
	}
	is.Equal(send(100), 0) // it knows of no permission
	c.Permit(rollout.Permission{Granted: 2, Targets: []string{"t"}}, now.Add(time.Second))
	is.Equal(send(100), 2)
	c.Permit(rollout.Permission{Granted: 2, Share: 0.1, Targets: []string{"t"}}, now.Add(time.Second))
	is.Equal(send(100), 30) // a tenth of 300 requests and the two that were granted
	c.Permit(rollout.Permission{Granted: 1, Share: 0.1, Targets: []string{"t"}}, now.Add(time.Second))
	is.Equal(send(100), 10) // an answer that was overtaken takes nothing back
	c.Permit(rollout.Permission{Granted: 5, Share: 0.1}, now.Add(time.Second))
	is.Equal(send(100), 0) // there is no target
	c.Permit(rollout.Permission{Granted: 50, Share: 0.1, Targets: []string{"t"}}, now.Add(time.Second))
	now = now.Add(time.Second)
	is.Equal(send(100), 0) // it has expired
	c.Permit(rollout.Permission{Granted: 50, Share: 0.1, Targets: []string{"t"}}, now.Add(time.Second))
	c.Revoke()
	is.Equal(send(100), 0)
}

// Guards against permissions that last longer than a bad version may get work.
func TestValidityIsWellBelowRollback(t *testing.T) {
	for _, daemons := range []int{1, 3, 86, 370} {
		if v := trialPolicy.Validity(daemons); v > trialPolicy.Rollback/2 || v < rollout.ReportInterval(daemons) {
			t.Errorf("%d daemons report every %v, permissions last %v", daemons, rollout.ReportInterval(daemons), v)
		}
	}
}

// Guards against coordinators that grant the slack several times over, because each replaces one that has
// failed or was paused.
func TestSlackIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	reserved, granted := 0, 0.0
	for coordinator := range 10 {
		trial := rollout.NewTrial(trialPolicy, trialStart, trialStart, 12*time.Second, reserved)
		trial.SetTargets([]string{"t1", "t2"}, 4)
		own := 0.0
		for i := range 60 {
			if i%10 == 0 {
				reserved = max(reserved, trial.WantReserved())
				trial.Reserved(reserved)
			}
			d := fmt.Sprint(coordinator, "-", i)
			first := trial.Report(trialStart, d, 1, rollout.Report{Seen: 1})
			own += first.Granted
			cells := []rollout.Cell{{Route: "r", Target: "t1", Sample: rollout.Sample{N: 1}}}
			trial.Report(trialStart, d, 1, rollout.Report{Seen: 1, Trial: 1, Granted: first.Granted, Cells: cells})
		}
		granted += own
	}
	is.True(granted <= float64(trialPolicy.Slack))
	is.True(granted >= 10) // the first one has granted what it reserved
	is.Equal(reserved, trialPolicy.Slack)
}

// switchedTrial returns a trial whose version was good and which gets all requests now.
func switchedTrial(is *is.I, daemons ...string) (*rollout.Trial, time.Time) {
	trial := rollout.NewTrial(trialPolicy, trialStart, trialStart, 12*time.Second, 0)
	trial.SetTargets([]string{"t1", "t2"}, 2)
	now := trialStart.Add(8 * time.Second)
	for _, d := range daemons {
		trial.Report(now, d, 1, rollout.Report{Seen: 300, Trial: 30, Old: 1, Cells: []rollout.Cell{
			{Route: "r", Sample: rollout.Sample{N: 270}},
			{Route: "r", Target: "t1", Sample: rollout.Sample{N: 15}},
			{Route: "r", Target: "t2", Sample: rollout.Sample{N: 15}},
		}})
	}
	phase, _ := trial.Decide(now, daemons)
	is.Equal(phase, rollout.PhaseSwitch)
	trial.Switched(now)
	return trial, now
}

// Guards against old targets that stop while a reachable daemon sends them requests, or waits for answers
// of theirs.
func TestCompletionWaitsForAcknowledgements(t *testing.T) {
	is := is.New(t)
	live := []string{"a", "b"}
	trial, now := switchedTrial(is, live...)
	decide := func() rollout.Phase {
		phase, _ := trial.Decide(now, live)
		return phase
	}
	trial.Report(now, "a", 1, rollout.Report{Seen: 301, Stopped: true})
	is.Equal(decide(), rollout.PhaseSwitch) // b has not stopped
	trial.Report(now, "b", 1, rollout.Report{Seen: 301, Stopped: true, Old: 1})
	is.Equal(decide(), rollout.PhaseSwitch) // b has a request at an old target
	trial.Report(now, "b", 1, rollout.Report{Seen: 302, Stopped: true})
	is.Equal(decide(), rollout.PhaseCompleted)
}

// Guards against a rollout that waits for a daemon that is cut off, or that completes before a new
// coordinator has heard of all daemons.
func TestCompletionDoesNotWaitForDaemonsThatAreCutOff(t *testing.T) {
	is := is.New(t)
	live := []string{"a", "b"}
	trial, now := switchedTrial(is, live...)
	trial.Report(now, "a", 1, rollout.Report{Seen: 301, Stopped: true})
	phase, _ := trial.Decide(now.Add(2500*time.Millisecond), live)
	is.Equal(phase, rollout.PhaseSwitch)
	trial.Report(now.Add(2500*time.Millisecond), "a", 1, rollout.Report{Seen: 302, Stopped: true})
	phase, _ = trial.Decide(now.Add(3100*time.Millisecond), live)
	is.Equal(phase, rollout.PhaseCompleted)
	next := rollout.NewTrial(trialPolicy, now, trialStart, 30*time.Second, 50)
	next.SetTargets([]string{"t1", "t2"}, 2)
	next.Switched(now)
	next.Report(now, "a", 1, rollout.Report{Seen: 302, Stopped: true})
	phase, _ = next.Decide(now, live)
	is.Equal(phase, rollout.PhaseSwitch)
	next.Report(now.Add(3100*time.Millisecond), "a", 1, rollout.Report{Seen: 303, Stopped: true})
	phase, _ = next.Decide(now.Add(3100*time.Millisecond), live)
	is.Equal(phase, rollout.PhaseCompleted)
}

// Guards against an order that never gets a result: without targets, without requests, or with too few.
func TestOrderWithoutEvidenceGetsResult(t *testing.T) {
	at := trialStart.Add(11 * time.Second)
	for name, c := range map[string]struct {
		targets []string
		report  rollout.Report
		want    rollout.Phase
	}{
		"no targets": {want: rollout.PhaseRolledBack},
		"idle pool":  {targets: []string{"t"}, want: rollout.PhaseSwitch},
		"nothing on trial": {
			targets: []string{"t"}, want: rollout.PhaseRolledBack,
			report: rollout.Report{Seen: 100, Cells: []rollout.Cell{{Route: "r", Sample: rollout.Sample{N: 100}}}},
		},
		"too few": {
			targets: []string{"t"}, want: rollout.PhaseRolledBack,
			report: rollout.Report{Seen: 100, Trial: 2, Cells: []rollout.Cell{
				{Route: "r", Sample: rollout.Sample{N: 98}}, {Route: "r", Target: "t", Sample: rollout.Sample{N: 2}},
			}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			trial := rollout.NewTrial(trialPolicy, trialStart, trialStart, 12*time.Second, 0)
			trial.SetTargets(c.targets, 1)
			trial.Report(trialStart.Add(7500*time.Millisecond), "a", 1, c.report)
			phase, _ := trial.Decide(trialStart.Add(7500*time.Millisecond), []string{"a"})
			if c.want == rollout.PhaseSwitch {
				is.Equal(phase, rollout.PhaseSwitch)
				return
			}
			is.Equal(phase, rollout.PhaseTrial)
			phase, why := trial.Decide(at, []string{"a"})
			is.Equal(phase, c.want)
			is.True(why != "")
		})
	}
}

// Guards against long requests to the old version that are cut off because the rollout left them no time.
func TestSwitchLeavesTimeForLongRequests(t *testing.T) {
	is := is.New(t)
	trial := rollout.NewTrial(trialPolicy, trialStart, trialStart, 14*time.Second, 0)
	trial.SetTargets([]string{"t1", "t2"}, 2)
	r := rollout.Report{Seen: 400, Trial: 40, Longest: 9000, Cells: []rollout.Cell{
		{Route: "r", Sample: rollout.Sample{N: 360}},
		{Route: "r", Target: "t1", Sample: rollout.Sample{N: 20}},
		{Route: "r", Target: "t2", Sample: rollout.Sample{N: 20}},
	}}
	at := trialStart.Add(3500 * time.Millisecond)
	trial.Report(at, "a", 1, r)
	phase, _ := trial.Decide(at, []string{"a"})
	is.Equal(phase, rollout.PhaseTrial)
	phase, _ = trial.Decide(trialStart.Add(4*time.Second), []string{"a"})
	is.Equal(phase, rollout.PhaseSwitch)
}

// A request that is sent while no rollout is tried must cost nothing.
func BenchmarkAllowed(b *testing.B) {
	var c rollout.Counter
	c.Permit(rollout.Permission{Granted: 1, Share: 0.1, Targets: []string{"t"}}, trialStart.Add(time.Second))
	b.ReportAllocs()
	for b.Loop() {
		if c.Allowed(trialStart) {
			c.Start()
		}
		c.See()
	}
}

// BenchmarkReport measures a report of a daemon with 4 routes and 9 targets at the coordinator.
func BenchmarkReport(b *testing.B) {
	trial := rollout.NewTrial(trialPolicy, trialStart, trialStart, 12*time.Second, 0)
	var c rollout.Counter
	var targets []string
	for i := range 9 {
		targets = append(targets, fmt.Sprint("t", i))
	}
	trial.SetTargets(targets, 60)
	now := trialStart
	b.ReportAllocs()
	for i := range b.N {
		for route := range 4 {
			c.First(fmt.Sprint(route), "", 80*time.Millisecond)
			c.End(fmt.Sprint(route), "", rollout.Result{Took: time.Second})
			c.First(fmt.Sprint(route), targets[i%9], 80*time.Millisecond)
			c.End(fmt.Sprint(route), targets[i%9], rollout.Result{Took: time.Second})
		}
		c.See()
		now = now.Add(4 * time.Millisecond)
		trial.Report(now, "d", 1, c.Report())
	}
}

// Guards against a trial without slack that never begins.
func TestTrialWithoutSlackUsesItsShare(t *testing.T) {
	is := is.New(t)
	trial := rollout.NewTrial(rollout.Policy{Share: 0.1, Rollback: 5 * time.Second}, trialStart, trialStart, 12*time.Second, 0)
	trial.SetTargets([]string{"t"}, 1)
	is.Equal(trial.Report(trialStart, "a", 1, rollout.Report{Seen: 10}).Share, 0.0)
	p := trial.Report(trialStart.Add(3*time.Second), "a", 1, rollout.Report{Seen: 100})
	is.Equal(p.Share, 0.1)
	is.Equal(p.Granted, 0.0)
}
