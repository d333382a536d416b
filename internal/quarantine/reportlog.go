package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
)

// observation is one thing that this daemon has to report. Exactly one of crash, served and
// aliveTarget is set.
type observation struct {
	seq         uint64
	recordedAt  time.Time
	crash       *poison.Crash
	served      digest.Digest
	aliveTarget string
}

// reportLog holds this daemon's observations and which coordinators have received them.
type reportLog struct {
	lastSeq      uint64
	observations []observation
	// crashed counts the observed crashes by their causes.
	crashed map[digest.Digest]int
	// servedAt is when it was last reported that a cause was answered.
	servedAt map[digest.Digest]time.Time
	// acked is the last observation that each incarnation of a coordinator acknowledged.
	acked map[fireflypath.Member]uint64
}

func newReportLog() reportLog {
	return reportLog{acked: map[fireflypath.Member]uint64{}, crashed: map[digest.Digest]int{}, servedAt: map[digest.Digest]time.Time{}}
}

func (r *reportLog) add(now time.Time, o observation) {
	r.lastSeq++
	o.seq, o.recordedAt = r.lastSeq, now
	r.observations = append(r.observations, o)
	if o.crash != nil {
		for _, d := range o.crash.Causes {
			r.crashed[d]++
		}
	}
	first := 0
	for first < len(r.observations) && (now.Sub(r.observations[first].recordedAt) > reportRetention || len(r.observations)-first > maxReports) {
		r.uncount(r.observations[first])
		first++
	}
	r.observations = slices.Delete(r.observations, 0, first)
}

// uncount takes a removed observation out of crashed.
func (r *reportLog) uncount(o observation) {
	if o.crash == nil {
		return
	}
	for _, d := range o.crash.Causes {
		if r.crashed[d]--; r.crashed[d] <= 0 {
			delete(r.crashed, d)
		}
	}
}

func (r *reportLog) recordCrash(now time.Time, c poison.Crash) {
	r.add(now, observation{crash: &c})
}

// recordServed records a complete answer to a request with a cause that is watched or for which
// this daemon recorded a crash. It reports whether there is something new to send.
func (r *reportLog) recordServed(now time.Time, d digest.Digest, watched bool) bool {
	if !watched && r.crashed[d] == 0 {
		return false
	}
	if r.crashed[d] > 0 {
		r.removeCause(d)
	}
	if now.Sub(r.servedAt[d]) < servedReportInterval {
		return false
	}
	maps.DeleteFunc(r.servedAt, func(_ digest.Digest, at time.Time) bool { return now.Sub(at) >= servedReportInterval })
	r.servedAt[d] = now
	r.add(now, observation{served: d})
	return true
}

// removeCause takes a cause that was answered out of the recorded crashes, and removes those
// without any other.
func (r *reportLog) removeCause(d digest.Digest) {
	delete(r.crashed, d)
	for i, o := range r.observations {
		if o.crash == nil || !slices.Contains(o.crash.Causes, d) {
			continue
		}
		c := *o.crash
		c.Causes = slices.DeleteFunc(slices.Clone(c.Causes), func(o digest.Digest) bool { return o == d })
		r.observations[i].crash = &c
	}
	r.observations = slices.DeleteFunc(r.observations, func(o observation) bool { return o.crash != nil && len(o.crash.Causes) == 0 })
}

// retractCrashes removes the recorded crashes of a target that has answered a request sent
// after them, and reports whether there were any.
func (r *reportLog) retractCrashes(now time.Time, target string, started time.Time) bool {
	if len(r.crashed) == 0 {
		return false
	}
	refuted := func(o observation) bool {
		return o.crash != nil && o.crash.Target == target && started.After(o.crash.Ended)
	}
	if !slices.ContainsFunc(r.observations, refuted) {
		return false
	}
	r.observations = slices.DeleteFunc(r.observations, func(o observation) bool {
		if !refuted(o) {
			return false
		}
		r.uncount(o)
		return true
	})
	r.add(now, observation{aliveTarget: target})
	return true
}

// unreported returns the next observations that a coordinator has not received.
func (r *reportLog) unreported(coordinator fireflypath.Member) []observation {
	acked := r.acked[incarnation(coordinator)]
	i, _ := slices.BinarySearchFunc(r.observations, acked+1, func(o observation, n uint64) int { return int(o.seq) - int(n) })
	return r.observations[i:min(len(r.observations), i+maxPerReport)]
}

// incarnation identifies one run of a daemon: after a restart it has lost the reports it
// received.
func incarnation(m fireflypath.Member) fireflypath.Member {
	return fireflypath.Member{Name: m.Name, Incarnation: m.Incarnation}
}
