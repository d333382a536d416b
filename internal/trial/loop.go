package trial

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time. Its value is arbitrary.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// loop runs functions in the order of their virtual times, and in scheduling order
// where times are equal, so that runs are repeatable.
type loop struct {
	now   time.Time
	queue events
	seq   uint64
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

// at schedules a function; a time in the past means now.
func (l *loop) at(t time.Time, fn func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	heap.Push(&l.queue, event{at: t, seq: l.seq, fn: fn})
}

func (l *loop) after(d time.Duration, fn func()) {
	l.at(l.now.Add(d), fn)
}

// run processes events until the end time or until none is left.
func (l *loop) run(end time.Time) {
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.fn()
	}
}
