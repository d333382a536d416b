package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
)

// sharedBody is a sound request that many callers send.
const sharedBody = digest.Digest(500)

// wave reports crashes to a detector, each of a target that is back at once.
type wave struct {
	detector *poison.Detector
	now      time.Time
	crashes  int
	held     map[digest.Digest]bool
}

// crash reports that the next target crashed under the given requests, each with its parts, and
// evaluates the reports.
func (w *wave) crash(runs ...[]digest.Digest) {
	w.crashes++
	for _, causes := range runs {
		w.detector.RecordCrash(w.now, poison.Crash{
			Causes: causes, Pool: "p", Target: fmt.Sprint("t", w.crashes), PoolSize: 5,
			Started: w.now.Add(-100 * time.Millisecond), Ended: w.now,
		})
	}
	for range 10 {
		w.now = w.now.Add(200 * time.Millisecond)
		verdicts, _ := w.detector.Evaluate(w.now, confirmation, nil)
		for _, v := range verdicts {
			w.held[v.Digest] = v.State == poison.Held
		}
	}
}

// crashDuringStart reports a start in which three causes crash all targets and the shared body meets
// each crash, and then more crashes by the three causes.
func (w *wave) crashDuringStart() {
	next := firstPrompt
	deadly := func(part digest.Digest) []digest.Digest {
		next++
		return []digest.Digest{next, part}
	}
	parts := []digest.Digest{crashingPart, otherPart, companion}
	for i := range 6 {
		w.crash(deadly(parts[i%3]), []digest.Digest{sharedBody})
	}
	for i := range 15 {
		w.crash(deadly(parts[i%3]))
	}
}

func newWave() *wave {
	w := &wave{detector: poison.New(poison.Config{MinCrashes: 3, HoldTime: time.Hour}), now: time.Unix(1000, 0), held: map[digest.Digest]bool{}}
	w.detector.SetWarm()
	return w
}

// Guards against a sound request that stays held for an hour because it met more crashes than each of
// several causes that crashed all targets during a start.
func TestHoldIsWithdrawnOnceLaterHoldsExplainIt(t *testing.T) {
	is := is.New(t)
	w := newWave()
	w.crashDuringStart()
	for _, part := range []digest.Digest{crashingPart, otherPart, companion} {
		is.True(w.held[part])
	}
	wasHeld, known := w.held[sharedBody]
	is.True(known && !wasHeld) // held at first, then withdrawn
}

// Guards against a poison request that is set free again and again because others crash targets too.
func TestHoldIsWithdrawnOnce(t *testing.T) {
	is := is.New(t)
	w := newWave()
	w.crashDuringStart()
	for range 6 {
		w.crash([]digest.Digest{sharedBody})
	}
	is.True(w.held[sharedBody])
	for i := range 6 {
		w.crash([]digest.Digest{firstPrompt + 100 + digest.Digest(i), seldomFirst})
	}
	is.True(w.held[sharedBody])
}
