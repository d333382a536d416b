package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/ratewindow"
)

const (
	// namedLimit is in requests per second.
	namedLimit = 2.0
	// limitedTarget is the target that names the limit.
	limitedTarget = "t0"
)

// notices returns what the targets have declared, as a daemon passes it on.
func notices() []fireflypath.TargetNotice {
	return []fireflypath.TargetNotice{{Target: limitedTarget, Notice: fireflypath.Notice{Limit: namedLimit, Limited: true}}}
}

// Guards against a rate limit that holds for a few daemons and not for many: all send to the
// target, through one dispatcher or, while there is none, each for itself.
func TestRateLimitHoldsInFleetOfAnySize(t *testing.T) {
	for _, daemons := range []int{9, 86, 986} {
		for _, alone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d daemons, alone: %v", daemons, alone), func(t *testing.T) {
				is := is.New(t)
				var sent []time.Time
				if alone {
					sent = sendAlone(daemons)
				} else {
					sent = sendThroughDispatcher(daemons)
				}
				var c ratewindow.Counter
				for _, at := range sent {
					c.Add(at)
				}
				is.True(c.Most() <= ratewindow.Allowed(namedLimit))
			})
		}
	}
}

const (
	// limitPlayTime is how long requests are offered, offerInterval the time between them.
	limitPlayTime = 12 * time.Second
	offerInterval = 5 * time.Millisecond
)

// sendThroughDispatcher returns when requests are sent to the limited target by a dispatcher
// that half of the way is replaced by another one.
func sendThroughDispatcher(daemons int) []time.Time {
	p, targets := servicePool()
	var sent []time.Time
	var d *dispatcher.Dispatcher
	open := map[uint64]string{}
	n := uint64(0)
	for at := startTime; at.Before(startTime.Add(limitPlayTime)); at = at.Add(offerInterval) {
		if d == nil || at.Equal(startTime.Add(limitPlayTime/2)) {
			d = dispatcher.New("p", slots.New(p, 1, slots.ServiceDispatcherTuning()))
			clear(open)
			d.SetTargets(at, targets)
			d.SetShare(at, fireflypath.Share{Default: 1, Senders: daemons})
			for i := range daemons {
				d.OpenSession(at, fmt.Sprint(i), 1)
			}
			d.Apply(at, "0", &fireflypath.DispatchUpdate{Notices: notices()})
		}
		n++
		from := fmt.Sprint(n % uint64(daemons))
		d.Apply(at, from, &fireflypath.DispatchUpdate{Offers: []fireflypath.Offer{{
			Number: n, Prompt: 1, Goal: fireflypath.MicrosOf(serviceGoal), Deadline: fireflypath.MicrosOf(serviceDeadline),
		}}})
		for _, dec := range d.TakeDecisions(from) {
			if dec.Target == limitedTarget {
				sent = append(sent, at)
			}
			if dec.Target != "" {
				open[dec.Number] = from
			}
		}
		for number, name := range open {
			d.Apply(at, name, &fireflypath.DispatchUpdate{Progress: []fireflypath.Progress{{Number: number, Kind: fireflypath.EventDone}}})
			delete(open, number)
		}
	}
	return sent
}

// sendAlone returns when requests are sent to the limited target by daemons that decide for
// themselves.
func sendAlone(daemons int) []time.Time {
	p, targets := servicePool()
	var sent []time.Time
	var fleet []*slots.Scheduler
	for i := range daemons {
		s := slots.New(p, uint64(i+1), slots.StandaloneTuning())
		s.SetTargets(startTime, targets)
		s.SetShare(startTime, fireflypath.Share{Default: 1, UnknownSenders: true, Senders: daemons, Index: i})
		s.ApplyNotices(startTime, notices())
		fleet = append(fleet, s)
	}
	n := 0
	for at := startTime; at.Before(startTime.Add(limitPlayTime)); at = at.Add(offerInterval) {
		n++
		s := fleet[n%daemons]
		s.Offer(at, serviceWork(at, uint64(n)), nil)
		var placed fireflypath.Placement
		for s.Next(at, &placed) {
			if placed.Target == limitedTarget {
				sent = append(sent, at)
			}
			s.Observe(at, fireflypath.Event{Kind: fireflypath.EventDone, Work: placed.Work, Target: placed.Target, Cached: -1})
		}
	}
	return sent
}
