package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/ratewindow"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// requestTime is how long a target takes for a request unless a test sets another time.
const requestTime = 50 * time.Millisecond

// noticeFleet is a cluster whose targets declare something in their answers.
type noticeFleet struct {
	*cluster
	mu sync.Mutex
	// notices holds what each target declares.
	notices map[string]fireflypath.Notice
	// arrivals holds the requests that reached each target, with the daemon that sent them.
	arrivals map[string][]noticeArrival
	// running counts the requests at each target, mostRunning is its highest value.
	running, mostRunning map[string]int
	// requestTime is how long a target takes for a request.
	requestTime time.Duration
	served      int
	// refusedAfter holds how long each request that was refused had waited.
	refusedAfter []time.Duration
}

type noticeArrival struct {
	at     time.Time
	daemon string
	// backoff is the time that the target asked for when it turned the request away, or 0.
	backoff time.Duration
}

func startNoticeFleet(t *testing.T, daemons, targets int) *noticeFleet {
	t.Helper()
	f := &noticeFleet{
		cluster: start(t, daemons, targets), notices: map[string]fireflypath.Notice{}, arrivals: map[string][]noticeArrival{},
		running: map[string]int{}, mostRunning: map[string]int{}, requestTime: requestTime,
	}
	for i := range daemons {
		d := f.nodes[fmt.Sprint("d", i)]
		share := fireflypath.Share{Default: 1, Senders: daemons, Index: i}
		d.pool.SetShare(share)
		time.Sleep(time.Second / time.Duration(daemons)) // daemons start one after the other
		d.dispatch.SetShare("p", share)
	}
	return f
}

// declare sets what a target declares from now on.
func (f *noticeFleet) declare(target string, n fireflypath.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices[target] = n
}

// request has a daemon serve a request. Its target answers with what it declares.
func (f *noticeFleet) request(d *node, id string) {
	now := time.Now()
	r := &request.Request{
		Work: fireflypath.Work{
			ID: id, Pool: "p", Weight: 1, Arrived: now, Deadline: now.Add(5 * time.Second), Goal: now.Add(time.Second),
			Cost: fireflypath.Cost{Prompt: 100, MaxOutput: 10},
		},
		Config: &fireflypath.Config{}, WaitResult: make(chan request.WaitResult, 1),
	}
	r.Owner = d.pool
	if err := d.pool.Wait(context.Background(), r); err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refusedAfter = append(f.refusedAfter, time.Since(now))
		return
	}
	name := r.Target.Name
	f.mu.Lock()
	notice := f.notices[name]
	f.arrivals[name] = append(f.arrivals[name], noticeArrival{time.Now(), d.name, notice.Backoff})
	f.mu.Unlock()
	if notice.Backoff > 0 {
		d.pool.Observe(fireflypath.Event{Kind: fireflypath.EventNotice, Target: name, Sent: r.Sent, Notice: notice, Cached: -1})
		d.pool.Notify(r, fireflypath.EventRefused, -1)
		return
	}
	f.mu.Lock()
	f.running[name]++
	f.mostRunning[name] = max(f.mostRunning[name], f.running[name])
	f.mu.Unlock()
	time.Sleep(f.requestTime)
	f.mu.Lock()
	f.running[name]--
	notice = f.notices[name]
	f.served++
	f.mu.Unlock()
	d.pool.Observe(fireflypath.Event{Kind: fireflypath.EventNotice, Target: name, Sent: r.Sent, Notice: notice, Cached: -1})
	d.pool.Notify(r, fireflypath.EventFirstOutput, -1)
	d.pool.Notify(r, fireflypath.EventDone, -1)
}

// run sends requests to the daemons that are not killed, in turn and at an even pace.
func (f *noticeFleet) run(perSecond int, duration time.Duration) (sent int) {
	var wg sync.WaitGroup
	for i := range perSecond * int(duration/time.Second) {
		d := f.nodes[fmt.Sprint("d", i%len(f.nodes))]
		if !f.isKilled(d.name) {
			sent++
			wg.Go(func() { f.request(d, fmt.Sprint(time.Now().UnixNano(), "-", i)) })
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return sent
}

// mostInWindow returns the most requests that reached a target in a span since the given time.
func (f *noticeFleet) mostInWindow(target string, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c ratewindow.Counter
	for _, a := range f.arrivals[target] {
		if !a.at.Before(from) {
			c.Add(a.at)
		}
	}
	return c.Most()
}

const noticeDaemons = 9

// disturbances are what happens to the daemons after a target has declared something.
var disturbances = map[string]func(f *noticeFleet){
	"none":    func(*noticeFleet) {},
	"killed":  func(f *noticeFleet) { f.killed["d0"] = true },
	"silent":  func(f *noticeFleet) { f.silent["d0"] = true },
	"leaves":  func(f *noticeFleet) { f.leaving["d0"] = true },
	"all cut": func(f *noticeFleet) { f.cutPairs(func(int, int) bool { return true }) },
	"half cut": func(f *noticeFleet) {
		f.cutPairs(func(i, j int) bool { return i >= noticeDaemons/2 && j < noticeDaemons/2 })
	},
}

// cutPairs cuts the pairs of daemons for which cut reports true. The first number is the larger.
func (f *noticeFleet) cutPairs(cut func(i, j int) bool) {
	for i := range noticeDaemons {
		for j := range i {
			f.cut[[2]string{fmt.Sprint("d", i), fmt.Sprint("d", j)}] = cut(i, j)
		}
	}
}

// disturb applies a disturbance.
func (f *noticeFleet) disturb(name string) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	disturbances[name](f)
}

// Guards against a target that gets several times the rate it names: in the moments when the
// dispatcher is lost or another one decides, or while each daemon decides for itself.
func TestRateLimitHoldsWhileDispatcherMoves(t *testing.T) {
	const targets, perSecond = 6, 90
	for name := range disturbances {
		for _, limit := range []float64{0.4, 1.2, 5} {
			t.Run(fmt.Sprintf("%s at %v a second", name, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := startNoticeFleet(t, noticeDaemons, targets)
					f.declare("t0", fireflypath.Notice{Limit: limit, Limited: true})
					sent := f.run(perSecond, 2*time.Second)
					from := time.Now().Add(500 * time.Millisecond)
					sent += f.run(perSecond, 6*time.Second)
					f.disturb(name)
					sent += f.run(perSecond, 10*time.Second)
					is.True(f.mostInWindow("t0", from) <= ratewindow.Allowed(limit))
					is.True(float64(f.served) >= 0.99*float64(sent))
				})
			})
		}
	}
}

// Guards against requests that are cut off at a target that is shutting down: a daemon has read
// that in an answer, and another dispatcher, or another daemon, does not know it.
func TestLeavingTargetGetsNothingWhileDispatcherMoves(t *testing.T) {
	const targets, perSecond = 2, 90 // three quarters of what the targets can run
	for name := range disturbances {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startNoticeFleet(t, noticeDaemons, targets)
				f.run(perSecond, time.Second)
				f.declare("t0", fireflypath.Notice{Leaving: true})
				declaredAt := time.Now()
				f.run(perSecond, 2*time.Second)
				from := time.Now()
				is.True(f.mostInWindow("t0", declaredAt) > 0) // some daemons have such an answer
				f.disturb(name)
				f.declare("t0", fireflypath.Notice{}) // an answer that was begun before changes nothing
				sent := f.run(perSecond, 5*time.Second)
				is.Equal(f.mostInWindow("t0", from), 0)
				is.True(sent > 0)
			})
		})
	}
}

// Guards against a target that is pressed while it recovers: the dispatcher that knew of its backoff
// is lost, or the daemon decides for itself.
func TestBackoffHoldsWhileDispatcherMoves(t *testing.T) {
	const targets, perSecond, backoff = 2, 90, 3 * time.Second
	for name := range disturbances {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startNoticeFleet(t, noticeDaemons, targets)
				f.run(perSecond, time.Second)
				f.declare("t0", fireflypath.Notice{Backoff: backoff})
				f.run(perSecond, time.Second)
				f.declare("t0", fireflypath.Notice{})
				f.disturb(name)
				f.run(perSecond, 4*time.Second)
				turnedAway := 0
				for i, a := range f.arrivals["t0"] {
					if a.backoff == 0 {
						continue
					}
					turnedAway++
					for _, o := range f.arrivals["t0"][i+1:] {
						is.True(o.daemon != a.daemon || o.at.Sub(a.at) >= backoff || o.at.Sub(a.at) < 500*time.Millisecond)
					}
				}
				is.True(turnedAway > 0)
			})
		})
	}
}

// Guards against work that waits for nothing: a target that no longer names a limit is used
// again by all daemons.
func TestRateLimitEndsWithAnswerWithoutIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startNoticeFleet(t, 3, 2)
		f.declare("t0", fireflypath.Notice{Limit: 1, Limited: true})
		f.run(40, 5*time.Second)
		f.declare("t0", fireflypath.Notice{})
		f.run(40, 2*time.Second)
		before := len(f.arrivals["t0"])
		f.run(40, 2*time.Second)
		is.True(len(f.arrivals["t0"])-before >= 20) // half of the requests or so
	})
}

// Guards against requests that are held until their callers give up: when all targets name
// limits, what they cannot take is refused at once, with a time to come back.
func TestRequestsAboveAllRateLimitsAreRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startNoticeFleet(t, 3, 2)
		for _, target := range []string{"t0", "t1"} {
			f.declare(target, fireflypath.Notice{Limit: 2, Limited: true})
		}
		f.run(10, 5*time.Second)
		from := time.Now()
		f.served, f.refusedAfter = 0, nil
		is.Equal(f.run(10, 20*time.Second), 200)
		is.True(f.served >= 70) // of the 80 that the targets take
		slices.Sort(f.refusedAfter)
		is.True(len(f.refusedAfter) >= 100)
		is.True(f.refusedAfter[len(f.refusedAfter)*9/10] < 100*time.Millisecond)
		for _, target := range []string{"t0", "t1"} {
			is.True(f.mostInWindow(target, from) <= ratewindow.Allowed(2))
		}
	})
}
