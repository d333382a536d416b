// Package loop runs functions in virtual time.
package loop

import (
	"container/heap"
	"time"
)

// Epoch is the start of virtual time; any fixed time does.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Loop runs functions in the order of their virtual times, and of their
// scheduling where times are equal, so that a run is repeatable.
type Loop struct {
	now   time.Time
	queue events
	seq   uint64
}

// New returns a loop that stands at Epoch.
func New() *Loop {
	return &Loop{now: Epoch}
}

// Now is the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Since is the time since Epoch.
func (l *Loop) Since() time.Duration { return l.now.Sub(Epoch) }

// At schedules a function; times that have passed mean now.
func (l *Loop) At(t time.Time, fn func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	heap.Push(&l.queue, event{at: t, seq: l.seq, fn: fn})
}

// After schedules a function.
func (l *Loop) After(d time.Duration, fn func()) {
	l.At(l.now.Add(d), fn)
}

// Run works until the end or until nothing is left.
func (l *Loop) Run(end time.Time) {
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.fn()
	}
}

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	n := len(old) - 1
	x := old[n]
	old[n] = event{}
	*e = old[:n]
	return x
}
