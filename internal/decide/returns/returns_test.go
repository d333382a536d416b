package returns_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/returns"
)

var start = time.Unix(1000, 0)

func caller(digest uint32, rank int) returns.Caller {
	return returns.Caller{Digest: digest, Rank: rank, Remaining: 12 * time.Second, Spread: float64(digest%10) / 10}
}

func at(after time.Duration) time.Time { return start.Add(after) }

// A burst is refused at once. Without a schedule all of its callers return within the jitter of one time.
// No tenth of a second may get more of them than it has room for.
func TestCallersOfBurstAreSpread(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	perBucket := map[int]int{}
	promised := 0
	for i := range 300 {
		after, ok := l.Promise(start, caller(uint32(i+1), 1), returns.Forecast{Rate: 30, Ahead: 15})
		if !ok {
			is.True(after > 4*time.Second) // truthfully longer than the caller waits
			continue
		}
		is.True(after >= 300*time.Millisecond && after < 4*time.Second)
		is.True(after >= 400*time.Millisecond) // 15 requests ahead of it take half a second
		perBucket[int(after/(100*time.Millisecond))]++
		promised++
	}
	is.True(promised >= 90) // of 105 that fit into 3.5 s
	for _, n := range perBucket {
		is.True(n <= 3)
	}
}

// Promises to higher ranks are ahead of those to lower ones, not the other way around.
func TestHigherRanksComeFirst(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	f := returns.Forecast{Rate: 10}
	for i := range 20 {
		_, ok := l.Promise(start, caller(uint32(i+1), 2), f)
		is.True(ok)
	}
	high, ok := l.Promise(start, caller(100, 1), f)
	is.True(ok && high < 500*time.Millisecond)
	low, ok := l.Promise(start, caller(101, 2), f)
	is.True(ok && low > 2*time.Second)
}

// Where nothing is left for a rank, or the caller has too little time, the answer must not name a time at
// which the caller returns in vain.
func TestNoRoomIsSaid(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	after, ok := l.Promise(start, caller(1, 1), returns.Forecast{})
	is.True(!ok && after > 4*time.Second)
	short := returns.Caller{Digest: 2, Rank: 1, Remaining: 1500 * time.Millisecond}
	after, ok = l.Promise(start, short, returns.Forecast{Rate: 10, Ahead: 30})
	is.True(!ok && after > 500*time.Millisecond && after <= 1500*time.Millisecond)
	after, ok = l.Promise(start, caller(3, 1), returns.Forecast{Rate: 10, NotBefore: time.Second})
	is.True(ok && after >= time.Second && after < 1300*time.Millisecond)
	is.Equal(l.Outstanding(start), 1)
}

// A caller that returns at its time is recognized once; before its time it gains nothing, and is told the
// same time again without taking a second place.
func TestReturningCallersAreRecognized(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	f := returns.Forecast{Rate: 10}
	after, ok := l.Promise(start, caller(7, 1), f)
	is.True(ok)
	early := at(50 * time.Millisecond)
	is.Equal(l.Recognize(early, 7, 0), fireflypath.ReturnEarly)
	again, ok := l.Promise(early, caller(7, 1), f)
	is.True(ok && again >= after-50*time.Millisecond && l.Outstanding(early) == 1)
	is.Equal(l.Recognize(at(200*time.Millisecond), 7, 200*time.Millisecond), fireflypath.ReturnEarly)
	is.Equal(l.Recognize(at(after+10*time.Millisecond), 8, 0), fireflypath.ReturnNone)
	is.Equal(l.Recognize(at(after+10*time.Millisecond), 7, 0), fireflypath.ReturnKept)
	is.Equal(l.Recognize(at(after+10*time.Millisecond), 7, 0), fireflypath.ReturnNone)
	is.Equal(l.Outstanding(at(after)), 0)
}

// Many callers ask for the same work. Each has a promise of its own.
func TestSameWorkOfSeveralCallers(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	var last time.Duration
	for i := range 3 {
		now := time.Duration(i) * 110 * time.Millisecond
		is.Equal(l.Recognize(at(now), 9, 0), fireflypath.ReturnNone)
		after, ok := l.Promise(at(now), caller(9, 0), returns.Forecast{Rate: 5})
		is.True(ok)
		last = max(last, now+after)
	}
	for range 3 {
		is.Equal(l.Recognize(at(last+time.Millisecond), 9, 0), fireflypath.ReturnKept)
	}
	is.Equal(l.Recognize(at(last+time.Millisecond), 9, 0), fireflypath.ReturnNone)
}

// A caller that comes much too late, and one whose promise was lost, are newcomers.
func TestPromisesAreForgotten(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	after, _ := l.Promise(start, caller(1, 1), returns.Forecast{Rate: 10})
	is.Equal(l.Recognize(at(after+3*time.Second), 1, 0), fireflypath.ReturnNone)
	is.Equal(l.Outstanding(at(after+3*time.Second)), 0)
	is.Equal(returns.New().Recognize(at(after), 1, 0), fireflypath.ReturnNone)
}

// A team sends more requests than the ledger holds. It forgets promises, and neither grows nor fails.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	for i := range 10 * returns.MaxPromises {
		l.Promise(at(time.Duration(i)*10*time.Microsecond), caller(uint32(i)*2654435761|1, 1), returns.Forecast{Rate: 1e5})
	}
	kept := 0
	for i := range 10 * returns.MaxPromises {
		if l.Recognize(at(1500*time.Millisecond), uint32(i)*2654435761|1, 0) == fireflypath.ReturnKept {
			kept++
		}
	}
	is.True(kept > 0 && kept <= returns.MaxPromises)
}

// Callers return to a dispatcher of another cell, which knows no promise of theirs. As many of them as it
// promised itself go first, and those without a promise, who waited for a third of their time, do not.
func TestPromisesOfOtherDispatchers(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	full := returns.Forecast{Rate: 2}
	after, ok := l.Promise(start, caller(1, 1), full)
	is.True(ok)
	now := at(after + 50*time.Millisecond)
	left := 12*time.Second - after
	is.True(!l.Redeem(now, 2, after, left, returns.Forecast{}))                                  // nothing was promised to that rank
	is.True(!l.Redeem(now, 1, 100*time.Millisecond, 11900*time.Millisecond, returns.Forecast{})) // it has not waited
	is.True(!l.Redeem(now, 1, 4*time.Second, 8*time.Second, full))                               // it had no promise
	is.True(l.Redeem(now, 1, after, left, returns.Forecast{}))                                   // takes the place of caller 1
	is.True(!l.Redeem(now, 1, after, left, returns.Forecast{}))                                  // which exists once
	is.True(l.Redeem(now, 1, after, left, full))                                                 // there is room for one more in this second
	is.True(!l.Redeem(now, 1, after, left, full))                                                // and no more
	is.True(l.Redeem(now.Add(1100*time.Millisecond), 1, after, left, full))                      // until the next
	is.Equal(l.Recognize(now, 1, 0), fireflypath.ReturnKept)                                     // the promise itself is not touched
}

// Times that the clock repeats or skips must not break the schedule.
func TestClockSteps(t *testing.T) {
	is := is.New(t)
	l := returns.New()
	for _, d := range []time.Duration{0, time.Hour, time.Minute, 25 * time.Hour} {
		after, ok := l.Promise(at(d), caller(uint32(d/time.Second)+1, 0), returns.Forecast{Rate: 10})
		is.True(after >= 300*time.Millisecond && after <= 12*time.Second)
		is.True(ok || d == time.Minute)
	}
}

func BenchmarkPromise(b *testing.B) {
	l := returns.New()
	l.Promise(start, caller(1, 0), returns.Forecast{Rate: 100})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Promise(at(time.Duration(i)*time.Millisecond), caller(uint32(i)*2654435761|1, 15), returns.Forecast{Rate: 200, Ahead: 500})
	}
}

func BenchmarkRecognizeAndRedeem(b *testing.B) {
	l := returns.New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := at(time.Duration(i) * time.Millisecond)
		if i%4 == 0 {
			l.Promise(now, caller(uint32(i)|1, 3), returns.Forecast{Rate: 200})
		}
		l.Recognize(now, uint32(i)|1, time.Second)
		l.Redeem(now, 3, time.Second, 9*time.Second, returns.Forecast{Rate: 10})
	}
}
