package soak

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The checker is of use only if it sees what it is there for: each promise is
// broken here by hand.
func TestLedgerSeesBrokenPromises(t *testing.T) {
	for p, breakIt := range map[promise]func(*ledger){
		promiseOnce: func(l *ledger) {
			l.ran("a", "b", "t1")
			l.ran("a", "b", "t2")
		},
		promiseNotRun: func(l *ledger) {
			l.deny("a", 503)
			l.ran("a", "b", "t1")
		},
		promiseBody: func(l *ledger) { l.ran("a", "other", "t1") },
		promiseRevoked: func(l *ledger) {
			l.revoked["key"] = time.Now().Add(-time.Minute)
			l.ran("a", "b", "t1")
		},
	} {
		t.Run(string(p), func(t *testing.T) {
			is := is.New(t)
			l := newLedger()
			l.send("a", &sent{once: true, body: "b", at: time.Now(), key: "key"})
			breakIt(l)
			is.True(len(l.broken) > 0)
			is.Equal(l.broken[0].promise, p)
		})
	}
}

func TestLedgerAcceptsWhatIsAllowed(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.send("a", &sent{body: "b", at: time.Now()})
	l.ran("a", "b", "t1")
	l.ran("a", "b", "t2") // it may be repeated
	l.deny("a", 503)
	is.Equal(len(l.broken), 0)
}

// A stream that lacks an event, or ends early and looks whole, is found.
func TestStreamsAreJudged(t *testing.T) {
	is := is.New(t)
	whole := ""
	for n := 1; n <= streamEvents; n++ {
		whole += eventOf("a", n)
	}
	for text, ok := range map[string]bool{
		whole: true, whole[:len(whole)-len(eventOf("a", streamEvents))]: false, whole + eventOf("a", 1): false, "": false,
	} {
		l := newLedger()
		c := &caller{ledger: l, whole: &atomic.Int64{}}
		c.judgeStream("a", text, nil)
		is.Equal(len(l.broken) == 0, ok)
	}
}
