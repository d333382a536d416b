package soak

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A soak test only proves something if the checks detect violations, so this test
// violates the invariants that history checks.
func TestHistoryDetectsViolations(t *testing.T) {
	for inv, violate := range map[invariant]func(*history){
		invariantAtMostOnce: func(h *history) {
			h.recordRun("a", "b", "t1")
			h.recordRun("a", "b", "t2")
		},
		invariantNotRun: func(h *history) {
			h.recordRefusal("a", 503)
			h.recordRun("a", "b", "t1")
		},
		invariantBody: func(h *history) { h.recordRun("a", "other", "t1") },
		invariantRevoked: func(h *history) {
			h.revoked["key"] = time.Now().Add(-time.Minute)
			h.recordRun("a", "b", "t1")
		},
	} {
		t.Run(string(inv), func(t *testing.T) {
			is := is.New(t)
			h := newHistory()
			h.recordRequest("a", &request{atMostOnce: true, body: "b", sentAt: time.Now(), key: "key"})
			violate(h)
			is.True(len(h.violations) > 0)
			is.Equal(h.violations[0].invariant, inv)
		})
	}
}

func TestHistoryAcceptsAllowedRuns(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.recordRequest("a", &request{body: "b", sentAt: time.Now()})
	h.recordRun("a", "b", "t1")
	h.recordRun("a", "b", "t2") // requests that are not marked atMostOnce may be repeated
	h.recordRefusal("a", 503)
	is.Equal(len(h.violations), 0)
}

// Streams that end early without an error, contain an event twice or events of two versions must be detected.
func TestCheckStreamDetectsViolations(t *testing.T) {
	is := is.New(t)
	complete := eventsText("a", "v1", 1, streamEvents)
	for text, ok := range map[string]bool{
		complete: true, eventsText("a", "v1", 1, streamEvents-1): false, complete + eventText("a", "v1", 1): false, "": false,
		eventText("a", "v1", 1) + eventsText("a", "v2", 2, streamEvents): false,
	} {
		h := newHistory()
		c := &caller{history: h, succeeded: &atomic.Int64{}}
		c.checkStream("a", text, nil)
		is.Equal(len(h.violations) == 0, ok)
	}
}

// A daemon is held to a notice that it received, and not to one that was lost on the way.
func TestNoticesAreCheckedIfReceived(t *testing.T) {
	for _, lost := range []bool{false, true} {
		is := is.New(t)
		now := time.Now()
		l := &noticeLog{lostBetween: func(from, to time.Time) bool { return lost && from.Before(now.Add(time.Millisecond)) && to.After(now) }}
		d := &process{}
		l.setLimited(now.Add(-limitSettleTime))
		l.recordAnswer(now, d, true, backoffTime)
		later := now.Add(backoffTime - time.Millisecond)
		a := l.recordArrival(later, later, d)
		is.Equal(a.duringBackoff == 1, !lost)
		is.Equal(a.leaving > 0, !lost)
		is.Equal(a.inWindow == 1, !lost)
	}
}

// A request that was on its way while its target lost packets arrives late. Its daemon could not know of
// the backoff that the target has asked for since.
func TestDelayedRequestsAreNoneDuringBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := &noticeLog{lostBetween: func(time.Time, time.Time) bool { return false }}
	d := &process{}
	l.setRestored(now)
	l.recordAnswer(now, d, false, backoffTime)
	later := now.Add(time.Second)
	is.Equal(l.recordArrival(later, now.Add(-time.Second), d).duringBackoff, 0)
	is.Equal(l.recordArrival(later, now.Add(time.Millisecond), d).duringBackoff, 1)
}
