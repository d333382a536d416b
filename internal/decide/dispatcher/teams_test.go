package dispatcher_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// teamFleet has daemons whose work one dispatcher places. Messages take no time.
type teamFleet struct {
	dispatcher *dispatcher.Dispatcher
	daemons    []*remote.Scheduler
	// served counts the placements by team, running holds those that have not ended.
	served  map[string]int
	running []fireflypath.Placement
	owner   map[*fireflypath.Work]int
}

// teamTargets lists four targets with three slots each.
func teamTargets() []fireflypath.Target {
	var list []fireflypath.Target
	for i := range 4 {
		list = append(list, fireflypath.Target{Name: fmt.Sprintf("t%d", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 3, Incarnation: 5})
	}
	return list
}

func newTeamFleet(daemons int) *teamFleet {
	f := &teamFleet{served: map[string]int{}, owner: map[*fireflypath.Work]int{}}
	tuning := slots.StandaloneTuning()
	tuning.FairTeams, tuning.LimitToEqualShare = true, false
	for i := range daemons {
		r := remote.New(slots.New(fireflypath.Pool{Name: "p", Stride: 3}, uint64(i+1), tuning))
		r.SendTeams()
		r.SetTargets(startTime, teamTargets())
		f.daemons = append(f.daemons, r)
	}
	return f
}

// attach makes a new dispatcher place the work of all daemons.
func (f *teamFleet) attach(now time.Time) {
	tuning := slots.DispatcherTuning()
	tuning.FairTeams = true
	f.dispatcher = dispatcher.New("p", slots.New(fireflypath.Pool{Name: "p", Stride: 3}, 7, tuning))
	f.dispatcher.SetTargets(now, teamTargets())
	f.dispatcher.PauseUntil(now, now.Add(time.Hour))
	for i, r := range f.daemons {
		f.dispatcher.OpenSession(now, fmt.Sprint("d", i), 1)
		r.Attach(now)
	}
	f.exchange(now)
	f.dispatcher.PauseUntil(now, time.Time{})
	f.exchange(now)
}

func (f *teamFleet) exchange(now time.Time) {
	for range 2 {
		for i, r := range f.daemons {
			name := fmt.Sprint("d", i)
			if f.dispatcher != nil {
				u := r.TakeUpdate(now)
				f.dispatcher.Apply(now, name, &u)
			}
		}
		for i, r := range f.daemons {
			if f.dispatcher != nil {
				r.ApplyDecisions(now, f.dispatcher.TakeDecisions(fmt.Sprint("d", i)), nil)
			}
			var p fireflypath.Placement
			for r.Next(now, &p) {
				p.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched)
				f.served[p.Work.Team]++
				f.running = append(f.running, p)
			}
		}
	}
}

func (f *teamFleet) offer(now time.Time, daemon int, team string) {
	w := &fireflypath.Work{
		ID: fmt.Sprint(team, now.UnixNano(), len(f.owner)), Team: team, Weight: teamshare.DefaultWeight, Rank: 1, Pool: "p", Arrived: now,
		Deadline: now.Add(12 * time.Second), Goal: now.Add(time.Second), PatienceEnds: now.Add(4 * time.Second),
		Cost: fireflypath.Cost{Prompt: 500, MaxOutput: 100}, ExpectedOutput: 100,
	}
	f.owner[w] = daemon
	f.daemons[daemon].Offer(now, w, nil)
}

// end ends the oldest n requests in flight.
func (f *teamFleet) end(now time.Time, n int) {
	for _, p := range f.running[:min(n, len(f.running))] {
		f.daemons[f.owner[p.Work]].Observe(now, fireflypath.Event{Kind: fireflypath.EventFirstOutput, Target: p.Target, Incarnation: 5, Work: p.Work})
		f.daemons[f.owner[p.Work]].Observe(now, fireflypath.Event{Kind: fireflypath.EventDone, Target: p.Target, Incarnation: 5, Work: p.Work, Tokens: 30})
	}
	f.running = f.running[min(n, len(f.running)):]
}

// A team that sends from one daemon and a team spread over all of them must get equal service, whichever
// daemon the dispatcher serves first.
func TestTeamsAreServedAlikeWhereverTheySend(t *testing.T) {
	is := is.New(t)
	const daemons = 6
	f := newTeamFleet(daemons)
	now := startTime
	f.attach(now)
	for step := range 400 {
		now = now.Add(50 * time.Millisecond)
		for range 3 {
			f.offer(now, 0, "concentrated")
		}
		for i := range daemons {
			f.offer(now, (step+i)%daemons, "spread")
		}
		f.end(now, 1)
		f.exchange(now)
		f.dispatcher.Tick(now)
	}
	all := f.served["concentrated"] + f.served["spread"]
	is.True(all > 350)
	is.True(f.served["concentrated"] >= all*45/100)
	is.True(f.served["concentrated"] <= all*55/100)
}

// A new dispatcher knows of recent use only the work in flight that daemons report. A team that holds
// all slots at that moment must wait for the others, not be served like a team that has used nothing.
func TestUseInFlightSurvivesMoveOfDispatcher(t *testing.T) {
	is := is.New(t)
	f := newTeamFleet(3)
	now := startTime
	f.attach(now)
	for i := range 12 {
		f.offer(now, i%3, "large")
	}
	f.exchange(now)
	is.Equal(f.served["large"], 12)
	now = now.Add(300 * time.Millisecond)
	f.attach(now)
	for i := range 20 {
		f.offer(now, i%3, "large")
		f.offer(now, i%3, "small")
	}
	f.exchange(now)
	f.end(now, 8)
	f.exchange(now)
	is.Equal(f.served["small"], 8)
}

// While no dispatcher is available, daemons place work alone and must do so by the same account, with
// what the dispatcher placed for them.
func TestDaemonAloneServesByShares(t *testing.T) {
	is := is.New(t)
	f := newTeamFleet(1)
	now := startTime
	f.attach(now)
	for range 12 {
		f.offer(now, 0, "large")
	}
	f.exchange(now)
	is.Equal(f.served["large"], 12)
	f.dispatcher = nil
	f.daemons[0].Detach(now, nil)
	for range 10 {
		f.offer(now, 0, "large")
		f.offer(now, 0, "small")
	}
	f.end(now, 6)
	f.exchange(now)
	is.Equal(f.served["small"], 6)
}

// An offer must not grow where teams do not matter, and by little where they do.
func TestOfferSize(t *testing.T) {
	is := is.New(t)
	size := func(sendTeams bool, weight int) int {
		r := remote.New(slots.New(fireflypath.Pool{Name: "p", Stride: 3}, 1, slots.StandaloneTuning()))
		if sendTeams {
			r.SendTeams()
		}
		r.Attach(startTime)
		r.Offer(startTime, &fireflypath.Work{Team: "team-4711", Weight: weight, Arrived: startTime, Deadline: startTime.Add(time.Second)}, nil)
		u := r.TakeUpdate(startTime)
		b, err := json.Marshal(u.Offers[0])
		is.NoErr(err)
		return len(b)
	}
	off := size(false, 1)
	is.Equal(size(true, teamshare.DefaultWeight), off+len(`,"m":"team-4711"`))
	is.Equal(size(true, 53), off+len(`,"m":"team-4711","q":53`))
}
