// Package loop is a discrete-event loop in virtual time.
package loop

import (
	"container/heap"
	"time"
)

// Epoch is the start of virtual time. Its value is arbitrary.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Loop runs functions in the order of their virtual times, and in scheduling order
// where times are equal, so that runs are repeatable.
type Loop struct {
	now   time.Time
	queue events
	seq   uint64
}

// New returns a loop whose time is Epoch.
func New() *Loop {
	return &Loop{now: Epoch}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Since returns the time since Epoch.
func (l *Loop) Since() time.Duration { return l.now.Sub(Epoch) }

// At schedules a function; a time in the past means now.
func (l *Loop) At(t time.Time, fn func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	heap.Push(&l.queue, event{at: t, seq: l.seq, fn: fn})
}

// After schedules a function to run after a delay.
func (l *Loop) After(d time.Duration, fn func()) {
	l.At(l.now.Add(d), fn)
}

// Run processes events until the end time or until none is left.
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
