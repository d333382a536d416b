package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/sim/engine"
	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

var cfg = fleet.Engines{Slots: 2, Queue: 1, Step: 10, Prefill: 100, Chunk: 1000, First: 5, Stride: 3}

type response struct {
	first, last time.Duration
	events      int
	failed      bool
}

func submit(e *engine.Engine, prompt, output int) (*response, bool) {
	h := &response{}
	ok := e.Submit(&engine.Request{Prompt: prompt, Output: output, OnEvent: func(now time.Time, last bool) {
		if h.events == 0 {
			h.first = now.Sub(loop.Epoch)
		}
		h.events++
		h.last = now.Sub(loop.Epoch)
	}, OnFailure: func(time.Time) { h.failed = true }})
	return h, ok
}

// Prompts are prefilled in order of arrival, at most one chunk per step, while decoding
// requests continue.
func TestPrefillInArrivalOrder(t *testing.T) {
	is := is.New(t)
	l := loop.New()
	e := engine.New(l, cfg, 1)
	long, _ := submit(e, 2000, 4)
	short, _ := submit(e, 100, 4)
	queued, ok := submit(e, 100, 1)
	is.True(ok)
	_, ok = submit(e, 100, 1)
	is.True(!ok) // the queue is full
	l.Run(loop.Epoch.Add(time.Minute))
	is.Equal(long.first, 45*time.Millisecond)  // steps of 10+10 and 10+10+5 ms
	is.Equal(short.first, 61*time.Millisecond) // one step of 10+1+5 ms later
	is.Equal(long.events, 2)                   // the first token, then one event for the other three
	is.True(queued.first > long.last)          // it waits for a slot
	is.Equal(e.Prefilled, 2200)
}

func TestStopAndRestart(t *testing.T) {
	is := is.New(t)
	l := loop.New()
	e := engine.New(l, cfg, 2)
	h, _ := submit(e, 1000, 100)
	l.After(200*time.Millisecond, e.Stop)
	l.Run(loop.Epoch.Add(time.Minute))
	is.Equal(h.first, 50*time.Millisecond)
	is.True(h.failed)
	_, ok := submit(e, 1000, 1)
	is.True(!ok)
	e.Restart()
	_, ok = submit(e, 1000, 1)
	is.True(ok)
}
