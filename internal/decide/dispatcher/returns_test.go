package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

// A caller is refused through one daemon and returns through another one of the cell. Its daemon must learn
// from the dispatcher that it kept to its time, and the daemon that refused it that the time was promised.
func TestPromiseHoldsAtOtherDaemon(t *testing.T) {
	is := is.New(t)
	p := fireflypath.Pool{Name: "p", Stride: 3}
	tuning := slots.DispatcherTuning()
	tuning.Returns = true
	d := dispatcher.New("p", slots.New(p, 7, tuning))
	target := fireflypath.Target{Name: "t0", Pool: "p", Addr: "127.0.0.1:1", Slots: 3, Incarnation: 5}
	d.SetTargets(startTime, []fireflypath.Target{target})
	daemons := map[string]*remote.Scheduler{}
	for i, name := range []string{"d0", "d1"} {
		s := remote.New(slots.New(p, uint64(i+1), slots.StandaloneTuning()))
		s.SetTargets(startTime, []fireflypath.Target{target})
		s.Attach(startTime)
		d.OpenSession(startTime, name, 1)
		daemons[name] = s
	}
	now := startTime
	running := map[*fireflypath.Work]time.Time{}
	var refused *fireflypath.Shed
	// exchange passes messages, places work and completes it after 0.2 s.
	exchange := func() {
		now = now.Add(5 * time.Millisecond)
		d.Tick(now)
		for name, s := range daemons {
			for w, ends := range running {
				if !now.Before(ends) && w.Sender == name {
					s.Observe(now, fireflypath.Event{Kind: fireflypath.EventFirstOutput, Target: "t0", Incarnation: 5, Work: w, Cached: -1})
					s.Observe(now, fireflypath.Event{Kind: fireflypath.EventDone, Target: "t0", Incarnation: 5, Work: w, Cached: -1, Tokens: 30})
					delete(running, w)
				}
			}
			update := s.TakeUpdate(now)
			d.Apply(now, name, &update)
			for _, shed := range s.ApplyDecisions(now, d.TakeDecisions(name), nil) {
				if shed.Work.Promised && refused == nil {
					refused = &shed
				}
			}
			var placed fireflypath.Placement
			for s.Next(now, &placed) {
				placed.Work.Sender = name
				running[placed.Work] = now.Add(200 * time.Millisecond)
			}
		}
	}
	offer := func(daemon string, digest uint32) *fireflypath.Work {
		w := &fireflypath.Work{
			ID: "w", Rank: 1, Pool: "p", Weight: 1, Arrived: now, Goal: now.Add(500 * time.Millisecond), Digest: digest,
			PatienceEnds: now.Add(2 * time.Second), Deadline: now.Add(10 * time.Second), Cost: fireflypath.Cost{Prompt: 100, MaxOutput: 10},
		}
		daemons[daemon].Offer(now, w, nil)
		return w
	}
	for i := 0; refused == nil && i < 2000; i++ {
		if i%8 == 0 {
			offer("d0", uint32(i+1))
		}
		exchange()
	}
	is.True(refused != nil)
	for end := now.Add(refused.RetryAfter + 5*time.Millisecond); now.Before(end); {
		exchange()
	}
	again := offer("d1", refused.Work.Digest)
	for range 100 {
		exchange()
	}
	is.Equal(again.Return, fireflypath.ReturnKept)
}
