package dispatcher_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

// The pool of a plain service: a few targets with a bounded queue, for a whole fleet.
const (
	serviceTargets  = 3
	serviceSlots    = 6
	serviceMaxQueue = 24
	serviceTime     = 60 * time.Millisecond
	serviceGoal     = 300 * time.Millisecond
	serviceDeadline = 3 * time.Second
	// serviceCapacity is the number of requests a second that the pool can answer.
	serviceCapacity = serviceTargets * serviceSlots * float64(time.Second) / float64(serviceTime)
	// playTime is how long requests arrive.
	playTime = 2 * time.Second
	// messageDelay is the time of a message between two daemons.
	messageDelay = 3 * time.Millisecond
)

// placer decides for the daemons of a simulated fleet.
type placer interface {
	offer(now time.Time, daemon int, number uint64)
	// take returns the placements decided since the last call.
	take(now time.Time) []placedRequest
	complete(now time.Time, daemon int, number uint64, kind fireflypath.EventKind)
}

type placedRequest struct {
	daemon int
	number uint64
	target string
}

// servicePool is the pool of a plain service.
func servicePool() (fireflypath.Pool, []fireflypath.Target) {
	p := fireflypath.Pool{Name: "p", Kind: fireflypath.KindService}
	var list []fireflypath.Target
	for i := range serviceTargets {
		list = append(list, fireflypath.Target{Name: fmt.Sprintf("t%d", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: serviceSlots})
	}
	return p, list
}

func serviceWork(now time.Time, number uint64) *fireflypath.Work {
	return &fireflypath.Work{
		ID: fmt.Sprint(number), Pool: "p", Weight: 1, Arrived: now, Goal: now.Add(serviceGoal), Deadline: now.Add(serviceDeadline),
		Cost: fireflypath.Cost{Prompt: 1},
	}
}

// alone is a fleet in which each daemon decides for itself.
type alone struct {
	schedulers []*slots.Scheduler
	works      []map[uint64]*fireflypath.Work
	targetOf   map[uint64]string
}

func newAlone(daemons int) *alone {
	a := &alone{targetOf: map[uint64]string{}}
	p, targets := servicePool()
	for i := range daemons {
		s := slots.New(p, uint64(i+1), slots.StandaloneTuning())
		s.SetTargets(startTime, targets)
		s.SetShare(startTime, fireflypath.Share{Default: 1, UnknownSenders: true})
		a.schedulers = append(a.schedulers, s)
		a.works = append(a.works, map[uint64]*fireflypath.Work{})
	}
	return a
}

func (a *alone) offer(now time.Time, daemon int, number uint64) {
	w := serviceWork(now, number)
	a.works[daemon][number] = w
	a.schedulers[daemon].Offer(now, w, nil)
}

func (a *alone) take(now time.Time) []placedRequest {
	var out []placedRequest
	for i, s := range a.schedulers {
		s.Expire(now, nil)
		var p fireflypath.Placement
		for s.Next(now, &p) {
			p.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched)
			var n uint64
			_, _ = fmt.Sscan(p.Work.ID, &n)
			a.targetOf[n] = p.Target
			out = append(out, placedRequest{i, n, p.Target})
		}
	}
	return out
}

func (a *alone) complete(now time.Time, daemon int, number uint64, kind fireflypath.EventKind) {
	w := a.works[daemon][number]
	delete(a.works[daemon], number)
	a.schedulers[daemon].Observe(now, fireflypath.Event{Kind: kind, Work: w, Target: a.targetOf[number], Cached: -1})
}

// report passes the load in a target's answer to the daemon that received it.
func (a *alone) report(now time.Time, daemon int, target string, running, waiting int) {
	a.schedulers[daemon].Observe(now, fireflypath.Event{
		Kind: fireflypath.EventReport, Target: target, Cached: -1,
		Report: fireflypath.Report{MeasuredAt: now, Running: running, Waiting: waiting, MaxRunning: serviceSlots},
	})
}

// together is a fleet in which one dispatcher decides for all daemons.
type together struct {
	d       *dispatcher.Dispatcher
	daemons int
}

func newTogether(daemons int) *together {
	p, targets := servicePool()
	d := dispatcher.New("p", slots.New(p, 1, slots.ServiceDispatcherTuning()))
	d.SetTargets(startTime, targets)
	for i := range daemons {
		d.OpenSession(startTime, fmt.Sprint(i), 1)
	}
	return &together{d, daemons}
}

func (f *together) offer(now time.Time, daemon int, number uint64) {
	f.d.Apply(now, fmt.Sprint(daemon), &fireflypath.DispatchUpdate{Offers: []fireflypath.Offer{{
		Number: number, Prompt: 1, Goal: fireflypath.MicrosOf(serviceGoal), Deadline: fireflypath.MicrosOf(serviceDeadline),
	}}})
}

func (f *together) take(now time.Time) []placedRequest {
	f.d.Tick(now)
	var out []placedRequest
	for i := range f.daemons {
		for _, dec := range f.d.TakeDecisions(fmt.Sprint(i)) {
			if dec.Target != "" {
				out = append(out, placedRequest{i, dec.Number, dec.Target})
			}
		}
	}
	return out
}

func (f *together) complete(now time.Time, daemon int, number uint64, kind fireflypath.EventKind) {
	f.d.Apply(now, fmt.Sprint(daemon), &fireflypath.DispatchUpdate{Progress: []fireflypath.Progress{{Number: number, Kind: kind}}})
}

// serviceTarget runs a few requests at a time and queues a few more.
type serviceTarget struct {
	running int
	queue   []placedRequest
}

// event is something that happens at a time.
type event struct {
	at time.Time
	fn func()
}

// smallPoolFleet plays callers, daemons and targets in virtual time.
type smallPoolFleet struct {
	now     time.Time
	events  []event
	rng     *rand.Rand
	placer  placer
	delay   time.Duration
	targets map[string]*serviceTarget
	arrived map[uint64]time.Time
	// punctual counts the answers within the goal, refused the requests that a full target
	// refused.
	punctual, refused int
}

// playSmallPool offers the given number of requests a second at random daemons for
// playTime. decisionDelay is the time from a daemon to what decides for it.
func playSmallPool(p placer, daemons int, perSecond float64, decisionDelay time.Duration) *smallPoolFleet {
	f := &smallPoolFleet{
		now: startTime, rng: rand.New(rand.NewPCG(1, 2)), placer: p, delay: decisionDelay,
		targets: map[string]*serviceTarget{}, arrived: map[uint64]time.Time{},
	}
	for i := range serviceTargets {
		f.targets[fmt.Sprintf("t%d", i)] = &serviceTarget{}
	}
	at := startTime
	for n := uint64(1); at.Sub(startTime) < playTime; n++ {
		at = at.Add(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)))
		daemon := f.rng.IntN(daemons)
		f.arrived[n] = at
		f.at(at.Add(decisionDelay), func() { f.placer.offer(f.now, daemon, n) })
	}
	for len(f.events) > 0 {
		next := f.events[0]
		f.events = f.events[1:]
		f.now = next.at
		next.fn()
		for _, r := range f.placer.take(f.now) {
			f.at(f.now.Add(f.delay+messageDelay), func() { f.reach(r) })
		}
	}
	return f
}

func (f *smallPoolFleet) at(t time.Time, fn func()) {
	i, _ := slices.BinarySearchFunc(f.events, t, func(e event, t time.Time) int { return cmp.Or(e.at.Compare(t), -1) })
	f.events = slices.Insert(f.events, i, event{t, fn})
}

func (f *smallPoolFleet) reach(r placedRequest) {
	t := f.targets[r.target]
	switch {
	case t.running < serviceSlots:
		f.run(t, r)
	case len(t.queue) < serviceMaxQueue:
		t.queue = append(t.queue, r)
	default:
		f.refused++
		f.answer(t, r, fireflypath.EventRefused)
	}
}

func (f *smallPoolFleet) run(t *serviceTarget, r placedRequest) {
	t.running++
	took := time.Duration((0.5 + f.rng.Float64()) * float64(serviceTime))
	f.at(f.now.Add(took), func() {
		t.running--
		if f.now.Add(messageDelay).Sub(f.arrived[r.number]) <= serviceGoal {
			f.punctual++
		}
		f.answer(t, r, fireflypath.EventDone)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			f.run(t, next)
		}
	})
}

// answer passes an answer to the daemon, with the load of the target at that moment.
func (f *smallPoolFleet) answer(t *serviceTarget, r placedRequest, kind fireflypath.EventKind) {
	running, waiting := t.running, len(t.queue)
	f.at(f.now.Add(messageDelay+f.delay), func() {
		f.placer.complete(f.now, r.daemon, r.number, kind)
		if a, ok := f.placer.(*alone); ok {
			a.report(f.now, r.daemon, r.target, running, waiting)
		}
	})
}

// Many daemons share the few targets of a plain service. If each decides for itself, none
// knows what the others send: the targets' own queues fill up, and at capacity nearly all
// answers are late. With one dispatcher for all of them, as many requests are answered in
// time as the targets can run.
func TestSmallPoolOfManyDaemons(t *testing.T) {
	for _, tt := range []struct {
		daemons int
		load    float64
		// gain is the least ratio of answers in time to those of daemons on their own.
		gain float64
	}{
		{9, 0.7, 0.98}, {9, 2, 1.5}, {86, 1, 0.98}, {86, 1.3, 1.2}, {86, 2, 1.5}, {370, 0.7, 0.98}, {370, 1.3, 1.05},
	} {
		t.Run(fmt.Sprintf("%d daemons at %v of capacity", tt.daemons, tt.load), func(t *testing.T) {
			is := is.New(t)
			perSecond := tt.load * serviceCapacity
			separate := playSmallPool(newAlone(tt.daemons), tt.daemons, perSecond, 0)
			shared := playSmallPool(newTogether(tt.daemons), tt.daemons, perSecond, messageDelay)
			possible := playTime.Seconds() * min(perSecond, serviceCapacity)
			t.Logf("in time: %d of %.0f, each daemon alone %d; refused by full targets: %d, alone %d",
				shared.punctual, possible, separate.punctual, shared.refused, separate.refused)
			is.True(float64(shared.punctual) >= 0.92*possible) // one slot in twelve may be idle or busy with late work
			is.True(float64(shared.punctual) >= tt.gain*float64(separate.punctual))
			is.Equal(shared.refused, 0)
		})
	}
}
