package pools_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// offer queues a request in a pool without targets and returns a channel with the
// refusal that ends its wait.
func offer(t *testing.T, p *pools.Pools, cfg *fireflypath.Config, clock clockwork.Clock) <-chan *fireflypath.Refusal {
	r := &request.Request{Config: cfg, WaitResult: make(chan request.WaitResult, 1)}
	r.Work.Rank, r.Work.Pool, r.Work.Cost.Prompt = 1, "chat", 10
	r.Work.Arrived, r.Work.Deadline = clock.Now(), clock.Now().Add(time.Minute)
	done := make(chan *fireflypath.Refusal, 1)
	go func() {
		var refusal *fireflypath.Refusal
		err := p.Pool(cfg, "chat").Wait(context.WithoutCancel(t.Context()), r)
		errors.As(err, &refusal)
		done <- refusal
	}()
	return done
}

// Guards against a raised queue limit that takes effect only after a restart: an
// operator raises the limit of a full pool, and the next request must be queued.
func TestRaisedQueueLimitTakesEffect(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := pools.New(clock, nil, func(c fireflypath.Pool) fireflypath.Scheduler {
		return sched.New(sched.Config{Pool: c})
	})
	newConfig := func(generation uint64, requests int) *fireflypath.Config {
		return &fireflypath.Config{
			Generation: generation,
			Tiers:      []fireflypath.Tier{{Name: "t", Rank: 1, Deadline: fireflypath.Duration(time.Minute)}},
			Pools:      []fireflypath.Pool{{Name: "chat", Kind: fireflypath.KindEngine, Requests: requests}},
		}
	}
	cfg := newConfig(1, 1)
	p.Apply(cfg)
	a, b := offer(t, p, cfg, clock), offer(t, p, cfg, clock)
	var waiting <-chan *fireflypath.Refusal
	select {
	case refusal := <-a:
		is.Equal(refusal.Code, fireflypath.ReasonFull)
		waiting = b
	case refusal := <-b:
		is.Equal(refusal.Code, fireflypath.ReasonFull)
		waiting = a
	}
	cfg = newConfig(2, 2)
	p.Apply(cfg)
	p.Apply(newConfig(1, 1)) // a lower generation is ignored
	c := offer(t, p, cfg, clock)
	for p.Demands()[0].WaitingRequests[1] < 2 {
		select {
		case refusal := <-c:
			t.Fatal(refusal)
		default:
		}
	}
	p.Stop(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
	is.Equal((<-waiting).Code, fireflypath.ReasonStopping)
	is.Equal((<-c).Code, fireflypath.ReasonStopping)
}

// shareRecorder is a scheduler that records the shares applied to it.
type shareRecorder struct {
	fireflypath.Scheduler
	applied *[]float64
}

func (s shareRecorder) SetShare(now time.Time, share fireflypath.Share) {
	*s.applied = append(*s.applied, share.Default)
	s.Scheduler.SetShare(now, share)
}

// Guards against a new pool that starts with the targets' whole windows, or loses
// the share that was applied before the pool was created. Other daemons send
// requests to the same targets, and each would fill them as if it were alone.
func TestNewPoolStartsWithItsShare(t *testing.T) {
	is := is.New(t)
	var applied []float64
	p := pools.New(clockwork.NewFakeClock(), nil, func(c fireflypath.Pool) fireflypath.Scheduler {
		return shareRecorder{sched.New(sched.Config{Pool: c}), &applied}
	})
	fraction := 0.1
	p.SetInitialShare(func(string) fireflypath.Share { return fireflypath.Share{Default: fraction} })
	fraction = 0.3
	p.ApplyShare("chat", fireflypath.Share{Default: fraction})
	p.Apply(&fireflypath.Config{Generation: 1, Pools: []fireflypath.Pool{{Name: "chat", Kind: fireflypath.KindEngine}}})
	is.True(len(applied) > 0)
	for _, v := range applied {
		is.Equal(v, 0.3)
	}
}

// Guards against targets that get several times what they bear: a new pool does not use the share that
// was applied a moment before it was created, and takes its daemon for the only one.
func TestNewPoolUsesShareAppliedBefore(t *testing.T) {
	is := is.New(t)
	var applied []float64
	p := pools.New(clockwork.NewFakeClock(), nil, func(c fireflypath.Pool) fireflypath.Scheduler {
		return shareRecorder{sched.New(sched.Config{Pool: c}), &applied}
	})
	p.ApplyShare("chat", fireflypath.Share{Default: 0.3})
	p.Apply(&fireflypath.Config{Generation: 1, Pools: []fireflypath.Pool{{Name: "chat", Kind: fireflypath.KindEngine}}})
	is.True(len(applied) > 0)
	for _, v := range applied {
		is.Equal(v, 0.3)
	}
}
