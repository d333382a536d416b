package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

const (
	// partReportDelay is the time until the deciding daemon has a report, partVerdictDelay the time
	// until all daemons know what it decides. partConfirmation is how long a suspect is served.
	partReportDelay   = 100 * time.Millisecond
	partVerdictDelay  = 400 * time.Millisecond
	partConfirmation  = 500 * time.Millisecond
	partEvaluateEvery = 100 * time.Millisecond
	// answerMemory is how long daemons remember what was answered, warmUpAnswers after how many
	// answers they know what many requests share.
	answerMemory  = 30 * time.Second
	warmUpAnswers = 100
	// partDetection is how long after crash number partCrashes requests with the part may still
	// reach engines.
	partDetection = 3 * time.Second
	partCrashes   = 5
	partSubjects  = 40
)

// partCounts counts what became of requests with parts that crash engines.
type partCounts struct {
	// Late is the largest number of requests with one part that reached engines although all daemons
	// should have held them, Crashes the number of engines that crashed. Refused counts the requests
	// without such a part that were held.
	Late, Crashes, Refused int
}

// quarantine is what all daemons together know of parts that crash engines.
type quarantine struct {
	w        *world
	detector *poison.Detector
	// holds are the members of the sets that daemons hold.
	holds    map[digest.Digest][]digest.Digest
	suspects map[digest.Digest]bool
	answered map[digest.Digest]time.Time
	answers  int
	// crashes and late are kept for each part that crashes engines.
	crashes map[digest.Digest][]time.Time
	late    map[digest.Digest]int
	counts  partCounts
}

func newQuarantine(w *world) *quarantine {
	q := &quarantine{
		w: w, detector: poison.New(poison.Config{MinCrashes: 3, HoldTime: time.Hour}), holds: map[digest.Digest][]digest.Digest{},
		suspects: map[digest.Digest]bool{}, answered: map[digest.Digest]time.Time{},
		crashes: map[digest.Digest][]time.Time{}, late: map[digest.Digest]int{},
	}
	if len(w.options.Load.CrashingParts) > 0 {
		w.loop.After(partEvaluateEvery, q.evaluate)
	}
	return q
}

// result returns what was counted.
func (q *quarantine) result() partCounts {
	for _, n := range q.late {
		q.counts.Late = max(q.counts.Late, n)
	}
	return q.counts
}

// sendCrashingPart schedules requests that differ and share a part that crashes engines.
func (w *world) sendCrashingPart(n int, p load.CrashingPart) {
	rnd := newRand(w.options.Seed, uint64(900+n))
	for at := time.Duration(0); at < p.Duration; at += p.Interval {
		for i := range max(p.Burst, 1) {
			w.loop.After(at, func() {
				r := w.drawRequest(rnd, int(rnd.Float64()*float64(len(w.options.Fleet.Kinds))), w.loop.Now().Sub(loop.Epoch))
				r.id = fmt.Sprintf("part%d-%d-%d", n, at, i)
				r.arrivedAt, r.crashes, r.away = w.loop.Now(), digest.OfPart("", fmt.Sprint("crashing", n)), p.Away
				r.startAttempt()
			})
		}
	}
}

// causes returns what may be to blame if the request's engine crashes.
func (r *request) causes() []digest.Digest {
	out := []digest.Digest{digest.OfPart("request", r.id), digest.OfPart("", fmt.Sprint("kind", r.kind))}
	if r.crashes != 0 {
		return append(out, r.crashes)
	}
	return append(out, digest.OfPart("", fmt.Sprint("subject", r.prompt%partSubjects)))
}

// isHeld reports whether daemons refuse the request, and counts it if it is sound.
func (q *quarantine) isHeld(r *request) bool {
	causes := r.causes()
	for _, members := range q.holds {
		if !slices.ContainsFunc(members, func(m digest.Digest) bool { return !slices.Contains(causes, m) }) {
			if r.crashes == 0 {
				q.counts.Refused++
			}
			return true
		}
	}
	return false
}

// reachesEngine records that a request begins to run, and has it crash its engine if it has a part
// that does so, when the engine would send the first event.
func (q *quarantine) reachesEngine(c *call) {
	r, t := c.r, c.target
	if r.crashes == 0 {
		return
	}
	if crashes := q.crashes[r.crashes]; len(crashes) >= partCrashes && q.w.loop.Now().Sub(crashes[partCrashes-1]) > partDetection {
		q.late[r.crashes]++
	}
	incarnation := t.incarnation
	c.engineRequest.OnEvent = func(now time.Time, _ bool) {
		if t.Stopped() || t.incarnation != incarnation {
			return
		}
		q.crashes[r.crashes] = append(q.crashes[r.crashes], now)
		q.counts.Crashes++
		t.Stop()
		q.w.loop.After(r.away, func() { t.incarnation++; t.Restart() })
	}
}

// engineCrashed reports that an engine went down while it ran a request.
func (q *quarantine) engineCrashed(c *call) {
	crash := poison.Crash{
		Causes: c.r.causes(), Pool: poolName, Target: fmt.Sprint(c.target.Name, "/", c.target.incarnation),
		PoolSize: len(q.w.targets), Started: c.sentAt, Ended: q.w.loop.Now(),
	}
	q.w.loop.After(partReportDelay, func() { q.detector.RecordCrash(q.w.loop.Now(), crash) })
}

// served records that an engine completed a request.
func (q *quarantine) served(c *call) {
	if q.answers++; q.answers == warmUpAnswers {
		q.detector.SetWarm()
	}
	for _, d := range c.r.causes() {
		q.answered[d] = q.w.loop.Now()
		if q.suspects[d] {
			q.clear(d)
		}
	}
}

// clear reports that a suspect was answered.
func (q *quarantine) clear(d digest.Digest) {
	delete(q.suspects, d)
	q.w.loop.After(partReportDelay, func() { q.apply(q.detector.RecordSuccess(d)) })
}

// evaluate makes the decisions that are due.
func (q *quarantine) evaluate() {
	now := q.w.loop.Now()
	verdicts, _ := q.detector.Evaluate(now, partConfirmation, nil)
	q.apply(verdicts)
	q.w.loop.After(partEvaluateEvery, q.evaluate)
}

// apply tells the daemons of verdicts.
func (q *quarantine) apply(verdicts []poison.Verdict) {
	for _, v := range verdicts {
		q.w.loop.After(partVerdictDelay, func() { q.receive(v) })
	}
}

// receive applies a verdict in the daemons.
func (q *quarantine) receive(v poison.Verdict) {
	delete(q.holds, v.Digest)
	causes := v.Members
	if len(causes) == 0 {
		causes = []digest.Digest{v.Digest}
	}
	if v.State == poison.Held {
		q.holds[v.Digest] = causes
	}
	if v.State == poison.Cleared {
		delete(q.suspects, v.Digest)
		return
	}
	for _, d := range causes {
		q.suspects[d] = true
		if at, ok := q.answered[d]; ok && q.w.loop.Now().Sub(at) < answerMemory {
			q.clear(d)
		}
	}
}
