package dispatch_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// setDelay delays the calls of a daemon and those to it.
func (f *noticeFleet) setDelay(daemon string, delay time.Duration) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	f.delay[daemon] = delay
}

// requestBurst sends requests to all daemons at once.
func (f *noticeFleet) requestBurst(perDaemon int) {
	var wg sync.WaitGroup
	for _, d := range f.nodes {
		for i := range perDaemon {
			wg.Go(func() { f.request(d, fmt.Sprint(d.name, "-", time.Now().UnixNano(), "-", i)) })
		}
	}
	wg.Wait()
}

// separations are ways in which a daemon and its dispatcher stop hearing of each other in time.
var separations = map[string]func(f *noticeFleet){
	"cut off from its dispatcher": func(f *noticeFleet) { f.isolate("d2", true, "d0") },
	"cut off from all": func(f *noticeFleet) {
		for name := range f.nodes {
			f.isolate("d2", true, name)
		}
	},
	"dispatcher cut off from all": func(f *noticeFleet) {
		for name := range f.nodes {
			f.isolate("d0", true, name)
			f.isolate(name, true, "d0")
		}
	},
	"late":            func(f *noticeFleet) { f.setDelay("d2", 250*time.Millisecond) },
	"very late":       func(f *noticeFleet) { f.setDelay("d2", 900*time.Millisecond) },
	"late dispatcher": func(f *noticeFleet) { f.setDelay("d0", 300*time.Millisecond) },
	"none":            func(*noticeFleet) {},
}

// Guards against brittle targets that fall over because a daemon takes its dispatcher for lost and
// uses its part of their slots while the dispatcher still uses them all.
func TestTwoThatDecideExceedNoBrittleTarget(t *testing.T) {
	for name, separate := range separations {
		for _, daemons := range []int{3, 4, 9} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := startNoticeFleet(t, daemons, 3)
					f.requestTime = 200 * time.Millisecond
					for i := range 3 {
						f.declare(fmt.Sprint("t", i), fireflypath.Notice{Brittle: true})
					}
					for range 4 {
						f.requestBurst(2)
					}
					time.Sleep(2 * time.Second)
					clear(f.mostRunning)
					separate(f)
					time.Sleep(50 * time.Millisecond)
					served := f.served
					for range 8 { // some of them while its dispatcher does not know that it is lost
						f.requestBurst(4)
						time.Sleep(150 * time.Millisecond)
					}
					for target, most := range f.mostRunning {
						if most > slotsPerTarget {
							t.Errorf("%d requests at once at %s, which has %d slots", most, target, slotsPerTarget)
						}
					}
					is.True(f.served-served >= 8*3) // the targets are used all the same
				})
			})
		}
	}
}

// Guards against requests that are cut off at a target that is shutting down: the daemons hear of each
// other too late for one to place the work of the others, and what one of them has read in an answer is
// lost with the messages that come too late.
func TestLateMessagesCarryNotices(t *testing.T) {
	for _, informed := range []string{"d0", "d2"} {
		t.Run("answer to "+informed, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startNoticeFleet(t, 3, 2)
				f.run(30, time.Second)
				for name := range f.nodes {
					f.setDelay(name, 200*time.Millisecond)
				}
				f.run(30, 2*time.Second)
				f.declare("t0", fireflypath.Notice{Leaving: true})
				declaredAt := time.Now()
				f.requestAtOnce(informed, 6)
				is.True(f.mostInWindow("t0", declaredAt) > 0) // it has such an answer
				time.Sleep(5 * time.Second)
				from := time.Now()
				for name := range f.nodes {
					f.requestAtOnce(name, 6)
				}
				is.Equal(f.mostInWindow("t0", from), 0)
			})
		})
	}
}
