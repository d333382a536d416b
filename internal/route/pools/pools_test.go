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

// offer lets a request wait without a target and returns its refusal, or nil
// if it still waits when the pools are stopped.
func offer(t *testing.T, p *pools.Pools, cfg *fireflypath.Config, clock clockwork.Clock) <-chan *fireflypath.Refusal {
	r := &request.Request{Config: cfg, Turn: make(chan request.Turn, 1)}
	r.Work.Rank, r.Work.Pool, r.Work.Cost.Prompt = 1, "chat", 10
	r.Work.Arrived, r.Work.Deadline = clock.Now(), clock.Now().Add(time.Minute)
	done := make(chan *fireflypath.Refusal, 1)
	go func() {
		var ref *fireflypath.Refusal
		err := p.Pool(cfg, "chat").Wait(context.WithoutCancel(t.Context()), r)
		errors.As(err, &ref)
		done <- ref
	}()
	return done
}

// An operator raises the bound of a pool's queue while it is full. Requests
// would be refused by the old bound until the daemon is started anew.
func TestChangedBoundIsInForce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := pools.New(clock, nil, func(c fireflypath.Pool) fireflypath.Scheduler {
		return sched.New(sched.Config{Pool: c})
	})
	configured := func(generation uint64, requests int) *fireflypath.Config {
		return &fireflypath.Config{
			Generation: generation,
			Tiers:      []fireflypath.Tier{{Name: "t", Rank: 1, Deadline: fireflypath.Duration(time.Minute)}},
			Pools:      []fireflypath.Pool{{Name: "chat", Kind: fireflypath.KindEngine, Requests: requests}},
		}
	}
	cfg := configured(1, 1)
	p.Apply(cfg)
	a, b := offer(t, p, cfg, clock), offer(t, p, cfg, clock)
	var kept <-chan *fireflypath.Refusal
	select {
	case ref := <-a:
		is.Equal(ref.Code, fireflypath.ReasonFull)
		kept = b
	case ref := <-b:
		is.Equal(ref.Code, fireflypath.ReasonFull)
		kept = a
	}
	cfg = configured(2, 2)
	p.Apply(cfg)
	p.Apply(configured(1, 1)) // a lower generation is ignored
	c := offer(t, p, cfg, clock)
	for p.Demands()[0].Requests[1] < 2 {
		select {
		case ref := <-c:
			t.Fatal(ref)
		default:
		}
	}
	p.Stop(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
	is.Equal((<-kept).Code, fireflypath.ReasonStopping)
	is.Equal((<-c).Code, fireflypath.ReasonStopping)
}

// shares is a scheduler that notes the shares put in force.
type shares struct {
	fireflypath.Scheduler
	got *[]float64
}

func (s shares) SetShare(now time.Time, sh fireflypath.Share) {
	*s.got = append(*s.got, sh.Default)
	s.Scheduler.SetShare(now, sh)
}

// A pool is added while other daemons send work to the same targets, and the
// exchange is ahead of the pools. The pool may at no time have whole windows,
// and must not lose the share that was put in force before it was made: each
// daemon would fill the targets as if it were alone.
func TestNewPoolTakesItsShare(t *testing.T) {
	is := is.New(t)
	var got []float64
	p := pools.New(clockwork.NewFakeClock(), nil, func(c fireflypath.Pool) fireflypath.Scheduler {
		return shares{sched.New(sched.Config{Pool: c}), &got}
	})
	part := 0.1
	p.SetInitialShare(func(string) fireflypath.Share { return fireflypath.Share{Default: part} })
	part = 0.3
	p.ApplyShare("chat", fireflypath.Share{Default: part})
	p.Apply(&fireflypath.Config{Generation: 1, Pools: []fireflypath.Pool{{Name: "chat", Kind: fireflypath.KindEngine}}})
	is.True(len(got) > 0)
	for _, v := range got {
		is.Equal(v, 0.3)
	}
}
