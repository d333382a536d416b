package backpressure_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/backpressure"
)

var start = time.Unix(1000, 0)

func limit(perSecond float64) fireflypath.Notice {
	return fireflypath.Notice{Limit: perSecond, Limited: true}
}

// countAllowed counts the requests that a target allows within a time, tried each ms.
func countAllowed(b *backpressure.Tracker, from time.Time, d time.Duration) int {
	n := 0
	for at := from; at.Before(from.Add(d)); at = at.Add(time.Millisecond) {
		for {
			allowed, limited := b.Find("t").Allows(at)
			if !limited || allowed == 0 {
				break
			}
			b.Find("t").CountSent(at)
			n++
		}
	}
	return n
}

// Guards against bursts at the moments when a limit begins, changes or is divided anew.
func TestLimitAllowsItsRate(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 2.3, 12} {
		is := is.New(t)
		b := backpressure.New()
		b.Observe(start, "t", limit(perSecond), start)
		n := countAllowed(b, start, 20*time.Second)
		is.True(n >= int(0.95*20*perSecond)-1 && n <= int(20*perSecond)+1)
		b.SetShare(start.Add(20*time.Second), 0.5)
		n = countAllowed(b, start.Add(20*time.Second), 20*time.Second)
		is.True(n <= int(10*perSecond)+2+int(perSecond/4))
	}
}

// Guards against a limit that ends by an answer that says nothing about the present: it was
// begun before the target was in need, and arrives later.
func TestEarlierAnswerDoesNotEndLimit(t *testing.T) {
	is := is.New(t)
	b := backpressure.New()
	b.Observe(start.Add(time.Second), "t", limit(1), start)
	b.Observe(start.Add(2*time.Second), "t", fireflypath.Notice{}, start.Add(500*time.Millisecond))
	_, limited := b.Find("t").Rate()
	is.True(limited)
	b.Observe(start.Add(3*time.Second), "t", fireflypath.Notice{}, start.Add(1500*time.Millisecond))
	_, limited = b.Find("t").Rate()
	is.True(!limited)
}

// Guards against a daemon that passes on what has changed since: the later declaration holds,
// whichever arrives first.
func TestLaterDeclarationHolds(t *testing.T) {
	is := is.New(t)
	a, b := backpressure.New(), backpressure.New()
	a.Observe(start, "t", limit(1), start)
	old := a.Notices(start.Add(time.Second))
	b.Observe(start.Add(500*time.Millisecond), "t", limit(2), start)
	b.Apply(start.Add(time.Second), old)
	perSecond, _ := b.Find("t").Rate()
	is.Equal(perSecond, 2.0)
	a.Apply(start.Add(time.Second), b.Notices(start.Add(time.Second)))
	perSecond, _ = a.Find("t").Rate()
	is.Equal(perSecond, 2.0)
	version := a.Version()
	a.Apply(start.Add(2*time.Second), b.Notices(start.Add(2*time.Second)))
	is.Equal(a.Version(), version) // nothing new, nothing to pass on
}

// Guards against a target that names zero and is never asked again, so that its recovery
// stays unknown.
func TestZeroLimitIsProbed(t *testing.T) {
	is := is.New(t)
	b := backpressure.New()
	b.Observe(start, "t", limit(0), start)
	n := countAllowed(b, start, 5*time.Minute)
	is.True(n >= 4 && n <= 5)
}

// Guards against a target whose registration expires while the store is away and comes back:
// it is still in need.
func TestLimitOutlivesAbsence(t *testing.T) {
	is := is.New(t)
	b := backpressure.New()
	b.Observe(start, "t", limit(1), start)
	absent := func(string) bool { return false }
	b.Retain(start, absent)
	b.Retain(start.Add(time.Minute), absent)
	is.True(b.Find("t") != nil)
	b.Retain(start.Add(time.Hour), absent)
	is.True(b.Find("t") == nil)
}

// Guards against requests to a target that is shutting down, on the word of an older answer or
// of another daemon that knows less.
func TestLeavingHoldsForLife(t *testing.T) {
	is := is.New(t)
	a, b := backpressure.New(), backpressure.New()
	a.Observe(start, "t", fireflypath.Notice{Leaving: true}, start)
	a.Observe(start.Add(time.Second), "t", fireflypath.Notice{}, start.Add(time.Second))
	is.True(a.Find("t").Leaving())
	b.Observe(start, "t", limit(1), start)
	a.Apply(start.Add(2*time.Second), b.Notices(start.Add(2*time.Second)))
	b.Apply(start.Add(2*time.Second), a.Notices(start.Add(2*time.Second)))
	is.True(a.Find("t").Leaving())
	is.True(b.Find("t").Leaving())
	_, limited := b.Find("t").Rate()
	is.True(limited)
	is.True(a.Find("other") == nil)
	is.True(!a.Find("other").Leaving())
}

// Guards against a backoff that ends early, or that is kept from daemons that were not turned away.
func TestBackoffConcernsOneDaemon(t *testing.T) {
	is := is.New(t)
	own, dispatcher := backpressure.New(), backpressure.New()
	own.Observe(start, "t", fireflypath.Notice{Backoff: 3 * time.Second}, start)
	own.Observe(start.Add(time.Second), "t", fireflypath.Notice{Backoff: time.Second}, start)
	own.Observe(start.Add(time.Second), "t", fireflypath.Notice{}, start.Add(time.Second))
	is.Equal(own.Find("t").BackoffEnds(start.Add(time.Second), ""), start.Add(3*time.Second))
	is.Equal(len(own.Notices(start)), 0) // no other daemon is concerned
	dispatcher.ApplyBackoffs(start.Add(time.Second), "d1", own.Backoffs(start.Add(time.Second)))
	is.Equal(dispatcher.Find("t").BackoffEnds(start.Add(time.Second), "d1"), start.Add(3*time.Second))
	is.True(dispatcher.Find("t").BackoffEnds(start.Add(time.Second), "d2").IsZero())
	is.True(dispatcher.Find("t").BackoffEnds(start.Add(3*time.Second), "d1").IsZero())
	is.Equal(len(own.Backoffs(start.Add(3*time.Second))), 0)
}
