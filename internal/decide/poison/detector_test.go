package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
)

const (
	tick  = 10 * time.Millisecond
	slots = 5
	// confirmation is how long a suspect is still served before it may be held.
	confirmation = 500 * time.Millisecond
	// detectionDelay is how long after the third crash a request may still be sent freely;
	// maxLateCrashes is how many targets it may crash after that.
	detectionDelay = 3 * time.Second
	maxLateCrashes = 3
)

// run is a request running on a target.
type run struct {
	digest   digest.Digest
	parts    []digest.Digest
	started  time.Time
	endsAt   time.Time
	poison   bool
	attempts int
}

func (r run) causes() []digest.Digest { return append([]digest.Digest{r.digest}, r.parts...) }

// pool simulates requests on targets and reports to the detector as daemons do.
type pool struct {
	is  *is.I
	rnd *rand.Rand
	now time.Time
	// restartTime is how long a crashed target is unavailable.
	restartTime  time.Duration
	targets      []target
	incarnations int
	detector     *poison.Detector
	// attempts is how often a request is sent to targets, including its caller's retries.
	attempts int
	retries  []run
	served   map[digest.Digest]time.Time
	states   map[digest.Digest]poison.State
	held     map[digest.Digest]time.Time
	// holds are the members of the sets that are held. refused counts the requests that they hold.
	holds   map[digest.Digest][]digest.Digest
	refused map[digest.Digest]int
	crashes map[digest.Digest][]time.Time
}

type target struct {
	incarnation string
	// readyAt is when the target accepts requests.
	readyAt time.Time
	runs    []run
}

func newPool(t *testing.T, targets int, seed uint64) *pool {
	t.Helper()
	p := &pool{
		is: is.New(t), rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), restartTime: 2 * time.Second, attempts: 4,
		targets:  make([]target, targets),
		detector: newWarm(),
		served:   map[digest.Digest]time.Time{}, states: map[digest.Digest]poison.State{},
		held: map[digest.Digest]time.Time{}, holds: map[digest.Digest][]digest.Digest{}, refused: map[digest.Digest]int{}, crashes: map[digest.Digest][]time.Time{},
	}
	for i := range p.targets {
		p.restart(i, p.now)
	}
	return p
}

func (p *pool) restart(i int, from time.Time) {
	p.incarnations++
	p.targets[i] = target{incarnation: fmt.Sprint("t", p.incarnations), readyAt: from}
}

// send runs the request on a random target with a free slot, and drops it if there is
// none.
func (p *pool) send(r run, takes time.Duration) {
	if p.isHeld(r) {
		p.refused[r.digest]++
		return
	}
	for _, i := range p.rnd.Perm(len(p.targets)) {
		t := &p.targets[i]
		if p.now.Before(t.readyAt) || len(t.runs) >= slots {
			continue
		}
		r.started, r.endsAt, r.attempts = p.now, p.now.Add(takes), r.attempts+1
		t.runs = append(t.runs, r)
		return
	}
}

func (p *pool) isHeld(r run) bool {
	for _, members := range p.holds {
		all := true
		for _, m := range members {
			all = all && slices.Contains(r.causes(), m)
		}
		if all {
			return true
		}
	}
	return false
}

// sendHealthy sends a request that takes as long as most streams.
func (p *pool) sendHealthy(d digest.Digest) {
	p.send(run{digest: d}, 200*time.Millisecond+time.Duration(p.rnd.IntN(3000))*time.Millisecond)
}

// crash ends a target and everything that runs on it.
func (p *pool) crash(i int) {
	t := p.targets[i]
	p.restart(i, p.now.Add(p.restartTime))
	for _, r := range t.runs {
		p.detector.RecordCrash(p.now, poison.Crash{Causes: r.causes(), Pool: "p", Target: t.incarnation, PoolSize: len(p.targets), Started: r.started, Ended: p.now})
		for _, d := range r.causes() {
			p.crashes[d] = append(p.crashes[d], p.now)
		}
		if r.attempts < p.attempts {
			p.retries = append(p.retries, r)
		}
	}
}

// step advances time by one tick: runs end, verdicts are applied, and completed suspects
// are reported.
func (p *pool) step() {
	p.now = p.now.Add(tick)
	for i := range p.targets {
		t := &p.targets[i]
		running := t.runs[:0]
		crashed := false
		for _, r := range t.runs {
			switch {
			case p.now.Before(r.endsAt):
				running = append(running, r)
			case r.poison:
				crashed = true
				running = append(running, r)
			default:
				for _, d := range r.causes() {
					p.complete(d)
				}
			}
		}
		t.runs = running
		if crashed {
			p.crash(i)
		}
	}
	retries := p.retries
	p.retries = nil
	for _, r := range retries {
		if r.poison {
			p.send(r, 100*time.Millisecond)
		} else {
			p.send(r, time.Second)
		}
	}
	verdicts, _ := p.detector.Evaluate(p.now, confirmation, nil)
	p.apply(verdicts)
	for _, v := range verdicts {
		if at, ok := p.served[v.Digest]; ok && v.State == poison.Suspect && p.now.Sub(at) < time.Minute {
			p.reportSuccess(v.Digest)
		}
	}
}

func (p *pool) apply(verdicts []poison.Verdict) {
	for _, v := range verdicts {
		p.states[v.Digest] = v.State
		delete(p.holds, v.Digest)
		if v.State != poison.Held {
			continue
		}
		p.held[v.Digest] = p.now
		p.holds[v.Digest] = v.Members
		for _, m := range v.Members {
			p.states[m] = v.State
		}
	}
}

func (p *pool) complete(d digest.Digest) {
	p.served[d] = p.now
	if p.states[d] != "" {
		p.reportSuccess(d)
	}
}

func (p *pool) reportSuccess(d digest.Digest) {
	delete(p.states, d)
	p.apply(p.detector.RecordSuccess(d))
}

// lateCrashes counts the targets that a request crashed after all daemons could know of
// it.
func (p *pool) lateCrashes(d digest.Digest) int {
	crashes := p.crashes[d]
	if len(crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range crashes[3:] {
		if at.Sub(crashes[2]) > detectionDelay {
			n++
		}
	}
	return n
}

const (
	poisonRequest = digest.Digest(1)
	other         = digest.Digest(2)
	hotRequest    = digest.Digest(3)
	firstHealthy  = digest.Digest(100)
)

// A poison request crashes every target that runs it: at any rate, alone or several in
// parallel, beside healthy requests and unrelated crashes. Undetected, it crashes all
// targets of the pool one after the other.
func TestPoisonRequestIsHeld(t *testing.T) {
	for _, c := range []struct {
		name          string
		interval      time.Duration
		perInterval   int
		distinct      int
		crashInterval time.Duration
		timeToCrash   time.Duration
		targets       int
		// attempts is how often a request is sent, including retries by daemons.
		attempts       int
		withHotRequest bool
	}{
		{name: "once a second", interval: time.Second, perInterval: 1, distinct: 1, timeToCrash: 100 * time.Millisecond, targets: 12},
		{name: "rarely", interval: 6 * time.Second, perInterval: 1, distinct: 1, timeToCrash: 100 * time.Millisecond, targets: 12},
		{name: "often", interval: 100 * time.Millisecond, perInterval: 1, distinct: 1, timeToCrash: 50 * time.Millisecond, targets: 12},
		{name: "three at a time", interval: time.Second, perInterval: 3, distinct: 1, timeToCrash: 100 * time.Millisecond, targets: 12},
		{name: "two poison requests", interval: time.Second, perInterval: 1, distinct: 2, timeToCrash: 100 * time.Millisecond, targets: 12},
		{name: "long runs", interval: 2 * time.Second, perInterval: 1, distinct: 1, timeToCrash: 1500 * time.Millisecond, targets: 12},
		{name: "unrelated crashes", interval: 4 * time.Second, perInterval: 1, distinct: 1, crashInterval: 3 * time.Second, timeToCrash: 100 * time.Millisecond, targets: 12},
		{name: "three targets", interval: 3 * time.Second, perInterval: 1, distinct: 1, timeToCrash: 60 * time.Millisecond, targets: 3},
		{name: "beside a hot request", interval: time.Second, perInterval: 1, distinct: 1, timeToCrash: 100 * time.Millisecond, targets: 12, withHotRequest: true},
		{name: "retried immediately", interval: 2 * time.Second, perInterval: 1, distinct: 1, timeToCrash: 20 * time.Millisecond, targets: 6, attempts: 3},
		{name: "many targets", interval: time.Second, perInterval: 1, distinct: 2, crashInterval: 2 * time.Second, timeToCrash: 100 * time.Millisecond, targets: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(8) {
				p := newPool(t, c.targets, seed)
				p.attempts = max(c.attempts, 1)
				next := firstHealthy
				for i := range 6000 {
					if i%int(c.interval/tick) == 0 {
						for range c.perInterval {
							for d := range c.distinct {
								p.send(run{digest: poisonRequest + digest.Digest(d), poison: true}, c.timeToCrash)
							}
						}
					}
					if c.crashInterval > 0 && i%int(c.crashInterval/tick) == int(c.crashInterval/tick)/2 {
						p.crash(p.rnd.IntN(len(p.targets)))
					}
					if i%4 == 0 {
						p.sendHealthy(next)
						next++
					}
					if c.withHotRequest && i%8 == 0 {
						p.sendHealthy(hotRequest)
					}
					p.step()
				}
				for d := range c.distinct {
					p.is.True(!p.held[poisonRequest+digest.Digest(d)].IsZero())
					p.is.True(p.lateCrashes(poisonRequest+digest.Digest(d)) <= maxLateCrashes)
				}
				p.is.Equal(len(p.held), c.distinct) // no healthy request is held
			}
		})
	}
}

// A failure domain or the whole pool is lost, so many requests break at once and their
// retries may meet the next crashes. If they were held, healthy callers would be refused
// for an hour.
func TestFailureDomainLossHoldsNoRequest(t *testing.T) {
	for seed := range uint64(12) {
		p := newPool(t, 12, seed)
		next := firstHealthy
		for i := range 3000 {
			if i%600 == 300 {
				domain := p.rnd.IntN(3)
				for k := range p.targets {
					if k%3 == domain || i == 2100 {
						p.crash(k)
					}
				}
			}
			if i%5 == 0 {
				p.sendHealthy(next)
				next++
				p.sendHealthy(hotRequest)
			}
			p.step()
		}
		p.is.Equal(len(p.held), 0)
	}
}

// Targets crash one after the other, at any rate, under many requests whose retries may
// meet further crashes.
func TestUnrelatedCrashesHoldNoRequest(t *testing.T) {
	for _, every := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			for seed := range uint64(12) {
				p := newPool(t, 12, seed)
				next := firstHealthy
				for i := range 3000 {
					if i%int(every/tick) == 0 {
						p.crash(p.rnd.IntN(len(p.targets)))
					}
					if i%4 == 0 {
						p.sendHealthy(next)
						next++
					}
					p.step()
				}
				p.is.Equal(len(p.held), 0)
			}
		})
	}
}

// One request makes up most of the load, so it is running on every target that crashes.
func TestHotRequestIsNotHeld(t *testing.T) {
	for _, every := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			for seed := range uint64(12) {
				p := newPool(t, 12, seed)
				next := firstHealthy
				for i := range 3000 {
					if i%int(every/tick) == 0 {
						p.crash(p.rnd.IntN(len(p.targets)))
					}
					if i%4 == 0 {
						p.sendHealthy(hotRequest)
					}
					if i%20 == 0 {
						p.sendHealthy(next)
						next++
					}
					p.step()
				}
				p.is.Equal(len(p.held), 0)
			}
		})
	}
}

// crashTargets reports n crashes, one per second, each on a target that had just started
// the poison request and ran nothing else.
func crashTargets(detector *poison.Detector, now time.Time, n int, from string) time.Time {
	for i := range n {
		now = now.Add(time.Second)
		started := now.Add(-100 * time.Millisecond)
		detector.RecordCrash(now, poison.Crash{Causes: []digest.Digest{poisonRequest}, Pool: "p", Target: fmt.Sprint(from, i), PoolSize: 12, Started: started, Ended: now})
	}
	return now
}

func evaluate(detector *poison.Detector, now time.Time) (poison.Verdict, time.Time) {
	var last poison.Verdict
	for range 100 {
		now = now.Add(tick)
		verdicts, _ := detector.Evaluate(now, confirmation, nil)
		if len(verdicts) > 0 {
			last = verdicts[len(verdicts)-1]
		}
	}
	return last, now
}

func TestRepeatedHoldLastsLonger(t *testing.T) {
	is := is.New(t)
	detector := newWarm()
	now := crashTargets(detector, time.Unix(1000, 0), 3, "a")
	v, now := evaluate(detector, now)
	is.Equal(v.State, poison.Held)
	is.Equal(v.Crashes, 3)
	is.True(v.Until.After(now.Add(59 * time.Minute)))

	now = crashTargets(detector, now, 2, "late") // sent before the hold took effect
	_, now = evaluate(detector, now)
	now = crashTargets(detector, now.Add(time.Hour), 1, "b") // one more is enough, even if another request ran there
	detector.RecordCrash(now, poison.Crash{Causes: []digest.Digest{other}, Pool: "p", Target: "b0", PoolSize: 12, Started: now.Add(-time.Second), Ended: now})
	v, now = evaluate(detector, now)
	is.Equal(v.Digest, poisonRequest)
	is.Equal(v.State, poison.Held)
	is.Equal(v.Holds, 2)
	is.True(v.Until.After(now.Add(119 * time.Minute)))
}

// A healthy request that ran beside a poison request is retried together with it and meets
// it three times. It used to be held for an hour.
func TestRequestRetriedWithPoisonIsNotHeld(t *testing.T) {
	is := is.New(t)
	detector := newWarm()
	now := time.Unix(1000, 0)
	crash := func(target string, requests ...digest.Digest) {
		started := now
		now = now.Add(20 * time.Millisecond)
		for _, d := range requests {
			detector.RecordCrash(now, poison.Crash{Causes: []digest.Digest{d}, Pool: "p", Target: target, PoolSize: 12, Started: started, Ended: now})
		}
	}
	for _, target := range []string{"t1", "t2", "t3"} {
		crash(target, poisonRequest, other)
	}
	v, evaluated := evaluate(detector, now)
	is.Equal(v.State, poison.Suspect) // either one may be the poison request
	now = evaluated
	crash("t4", poisonRequest)
	v, now = evaluate(detector, now)
	is.Equal(v.State, poison.Held)
	is.Equal(v.Digest, poisonRequest)
	crash("t5", other, poisonRequest) // sent before the hold took effect
	v, _ = evaluate(detector, now)
	is.True(v.State != poison.Held)
}

// A target breaks its responses without crashing, for example because connections are
// reset.
func TestRetractedCrashIsNotCounted(t *testing.T) {
	is := is.New(t)
	detector := newWarm()
	now := crashTargets(detector, time.Unix(1000, 0), 3, "a")
	detector.RetractCrash("a1")
	v, _ := evaluate(detector, now)
	is.Equal(v.State, poison.Suspect)
}

func TestCompletedRequestIsCleared(t *testing.T) {
	is := is.New(t)
	detector := newWarm()
	now := crashTargets(detector, time.Unix(1000, 0), 3, "a")
	v, _ := evaluate(detector, now)
	is.Equal(v.State, poison.Held)
	verdicts := detector.RecordSuccess(poisonRequest) // sent before the hold took effect
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Digest, poisonRequest)
	is.Equal(verdicts[0].State, poison.Cleared)
	is.Equal(len(detector.RecordSuccess(poisonRequest)), 0)
}

// Another daemon held a request before this one restarted: its verdict still applies.
func TestVerdictOfAnotherDaemonApplies(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	detector := newWarm()
	detector.ApplyVerdict(now, poison.Verdict{Digest: poisonRequest, Pool: "p", State: poison.Held, Until: now.Add(time.Hour), Holds: 2})
	now = crashTargets(detector, now, 3, "a")
	v, now := evaluate(detector, now)
	is.Equal(v.State, poison.State("")) // it is held already
	now = crashTargets(detector, now.Add(time.Hour), 1, "b")
	v, _ = evaluate(detector, now)
	is.Equal(v.Holds, 3)
}

// Whatever daemons report, a held verdict counts at least one crash and ends in the
// future.
func TestHeldVerdictsAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := poison.New(poison.Config{MinCrashes: 2, HoldTime: time.Minute})
		now := time.Unix(1000, 0)
		for i := range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			d := digest.Digest(rapid.Uint64Range(0, 5).Draw(t, "digest"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				detector.RecordSuccess(d)
			case 1:
				detector.RetractCrash(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "target")))
			default:
				detector.RecordCrash(now, poison.Crash{Causes: []digest.Digest{d}, Pool: "p", Target: fmt.Sprint(i), Started: now.Add(-time.Second), Ended: now})
			}
			verdicts, _ := detector.Evaluate(now, confirmation, nil)
			for _, v := range verdicts {
				if v.State == poison.Held && (v.Crashes < 1 || !v.Until.After(now)) {
					t.Fatalf("%+v", v)
				}
			}
		}
	})
}

func BenchmarkFailureDomainLoss(b *testing.B) {
	for b.Loop() {
		detector := newWarm()
		now := time.Unix(1000, 0)
		for i := range 600 {
			detector.RecordCrash(now, poison.Crash{
				Causes: []digest.Digest{digest.Digest(i + 1)}, Pool: "p", Target: fmt.Sprint(i / 8), Started: now.Add(-time.Second), Ended: now,
			})
		}
		detector.Evaluate(now, confirmation, nil)
	}
}

// newWarm returns a detector of daemons that have answered requests.
func newWarm() *poison.Detector {
	det := poison.New(poison.Config{MinCrashes: 3, HoldTime: time.Hour})
	det.SetWarm()
	return det
}
