package sim

import (
	"hash/fnv"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// Returns counts callers that returned after a refusal. Callers that do not wait are not among them.
type Returns struct {
	// Told is the number of callers that were told a time within a third of their remaining time and
	// returned then. KeptRefused is the number of them that were refused again, KeptInTime and KeptLate
	// the numbers of those that got a whole answer.
	Told, KeptRefused, KeptInTime, KeptLate int
	// Others is the number of callers that were told a longer time and returned after a third of their
	// remaining time, OthersRefused that of those of them that were refused again.
	Others, OthersRefused int
	// Recognized is the number of callers that kept to their time and were recognized by it,
	// RecognizedRefused that of those of them that were refused again. OthersRecognized is the number of
	// other returning callers that were taken for such.
	Recognized, RecognizedRefused, OthersRecognized int
	// ToldWave and Wave are the largest numbers of returning callers in a tenth of a second, of those that
	// kept to their time and of all.
	ToldWave, Wave int
}

// waveWidth is the length of the intervals in which returning callers are counted.
const waveWidth = 100 * time.Millisecond

// returnCounts counts returning callers while a run goes on.
type returnCounts struct {
	Returns
	told, all [int((load.Span + settleTime) / waveWidth)]int
}

func (n *returnCounts) result() Returns {
	for i := range n.all {
		n.ToldWave, n.Wave = max(n.ToldWave, n.told[i]), max(n.Wave, n.all[i])
	}
	return n.Returns
}

// countAttempt counts a repeated attempt.
func (n *returnCounts) countAttempt(r *request) {
	at := int(r.w.loop.Now().Sub(loop.Epoch) / waveWidth)
	if r.impatient || r.refusals == 0 || at >= len(n.all) {
		return
	}
	n.all[at]++
	if r.keeps {
		n.told[at]++
	}
}

// countRefusal notes at the caller's first refusal whether it will keep to the time that it is told.
func (r *request) countRefusal(after, remaining time.Duration) {
	if r.refusals != 1 || r.attempts != 1 || r.impatient || remaining <= 0 {
		return
	}
	r.keeps = after <= time.Duration(maxRetryWaitFraction*float64(remaining))
	if r.keeps {
		r.w.returns.Told++
	} else {
		r.w.returns.Others++
	}
}

// countReturned counts the outcome of a request whose caller returned.
func (r *request) countReturned(o outcome) {
	n := &r.w.returns
	if r.refusals == 0 || r.impatient {
		return
	}
	switch {
	case !r.keeps && o == outcomeRefused && r.refusals > 1:
		n.OthersRefused++
	case !r.keeps:
	case o == outcomeRefused:
		n.KeptRefused++
	case o == outcomeInTime:
		n.KeptInTime++
	case o == outcomeLate:
		n.KeptLate++
	default:
	}
}

// countRecognized counts an attempt whose caller the scheduler took for one that keeps to its time.
func (c *call) countRecognized(refused bool) {
	n := &c.r.w.returns
	switch {
	case c.number < 2 || c.r.impatient || c.work.Return != fireflypath.ReturnKept:
	case !c.r.keeps:
		n.OthersRecognized++
	default:
		n.Recognized++
		if refused {
			n.RecognizedRefused++
		}
	}
}

// digest returns a hash that is equal for all attempts of the request.
func (r *request) digest() uint32 {
	h := fnv.New32a()
	// A hash.Hash never returns an error.
	_, _ = h.Write([]byte(r.id))
	return h.Sum32()
}

// estimateElapsed estimates for how long the caller has been trying, as gates do.
func (d *daemon) estimateElapsed(r *request) time.Duration {
	now := d.w.loop.Now()
	return d.detectors[r.kind].Observe(now, r.deadline().Sub(now))
}
