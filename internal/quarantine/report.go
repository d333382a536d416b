package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/coordinator"
	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
)

const (
	methodReport = "quarantine"
	// reportTimeout limits one attempt to send a report; a failed report is sent again.
	reportTimeout = 250 * time.Millisecond
	// reportRetention is how long an observation is kept for a coordinator that takes over.
	reportRetention = 2 * time.Minute
	// maxReports limits the observations kept, maxPerReport those in one message.
	maxReports   = 512
	maxPerReport = 128
	// servedReportInterval is the minimum time between two reports that a request was
	// served.
	servedReportInterval = time.Second
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

// reportMessage is the wire form of a report. Times are sent as ages in milliseconds,
// because the clocks of hosts differ.
type reportMessage struct {
	Crashes      []crashMessage `json:"l,omitempty"`
	Served       []string       `json:"s,omitempty"`
	AliveTargets []string       `json:"a,omitempty"`
}

// crashMessage is a crash on the wire. Digest is the first of its causes.
type crashMessage struct {
	Digest     string   `json:"d"`
	Parts      []string `json:"c,omitempty"`
	Pool       string   `json:"p"`
	Target     string   `json:"t"`
	PoolSize   int      `json:"n"`
	StartedAgo int64    `json:"b"`
	EndedAgo   int64    `json:"e"`
}

func (m *reportMessage) add(now time.Time, o observation) {
	switch {
	case o.crash != nil:
		m.Crashes = append(m.Crashes, crashMessage{
			Digest: o.crash.Causes[0].String(), Parts: formatDigests(o.crash.Causes[1:]), Pool: o.crash.Pool, Target: o.crash.Target, PoolSize: o.crash.PoolSize,
			StartedAgo: now.Sub(o.crash.Started).Milliseconds(), EndedAgo: now.Sub(o.crash.Ended).Milliseconds(),
		})
	case o.aliveTarget != "":
		m.AliveTargets = append(m.AliveTargets, o.aliveTarget)
	default:
		m.Served = append(m.Served, o.served.String())
	}
}

// coordinators returns the daemons that decide which requests are held.
func (q *Quarantine) coordinators() []fireflypath.Member {
	if q.deps.Members == nil {
		return []fireflypath.Member{{Name: q.deps.Self}}
	}
	return coordinator.Choose(q.deps.Members.Live(), coordinatorCount)
}

// coordinatorIndex returns a daemon's index among the coordinators, or their number if it is
// none of them.
func coordinatorIndex(coordinators []fireflypath.Member, name string) int {
	i := slices.IndexFunc(coordinators, func(m fireflypath.Member) bool { return m.Name == name })
	if i < 0 {
		return len(coordinators)
	}
	return i
}

// sendReports sends all coordinators what they have not received, and reports whether
// observations are left to send.
func (q *Quarantine) sendReports(ctx context.Context, coordinators []fireflypath.Member) bool {
	var wg conc.WaitGroup
	for _, c := range coordinators {
		wg.Go(func() { q.sendReport(ctx, c) })
	}
	wg.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	for m := range q.reports.acked {
		if !slices.ContainsFunc(coordinators, func(c fireflypath.Member) bool { return incarnation(c) == m }) {
			delete(q.reports.acked, m)
		}
	}
	return slices.ContainsFunc(coordinators, func(c fireflypath.Member) bool { return len(q.reports.unreported(c)) > 0 })
}

// sendReport sends one report to a coordinator.
func (q *Quarantine) sendReport(ctx context.Context, coordinator fireflypath.Member) {
	now := q.deps.Clock.Now()
	var m reportMessage
	q.mu.Lock()
	unreported := q.reports.unreported(coordinator)
	last := uint64(0)
	for _, o := range unreported {
		m.add(now, o)
		last = o.seq
	}
	q.mu.Unlock()
	if last == 0 {
		return
	}
	if coordinator.Name == q.deps.Self {
		q.applyReport(m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var ignored struct{}
		if err := q.deps.Peers.Call(ctx, coordinator, methodReport, m, &ignored); err != nil {
			q.metrics.failedReports.Inc(1)
			return // sent again with the next step
		}
	}
	q.mu.Lock()
	q.reports.acked[incarnation(coordinator)] = last
	q.mu.Unlock()
}

// handleReport receives another daemon's report.
func (q *Quarantine) handleReport(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m reportMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	q.applyReport(m)
	q.wakeStep()
	return struct{}{}, nil
}

// applyReport passes a report to the detector.
func (q *Quarantine) applyReport(m reportMessage) {
	now := q.deps.Clock.Now()
	q.mu.Lock()
	q.detectorIdle = false
	for _, c := range m.Crashes {
		if causes, ok := parseDigests(append([]string{c.Digest}, c.Parts...)); ok {
			q.detector.RecordCrash(now, c.toCrash(now, causes))
		}
	}
	for _, target := range m.AliveTargets {
		q.detector.RetractCrash(target)
	}
	cleared := false
	for _, text := range m.Served {
		if d, err := digest.Parse(text); err == nil {
			cleared = q.clearCause(d) || cleared
		}
	}
	q.mu.Unlock()
	if cleared {
		q.flushPeers()
	}
}

// toCrash converts the ages in the message to times of this daemon's clock.
func (c crashMessage) toCrash(now time.Time, causes []digest.Digest) poison.Crash {
	return poison.Crash{
		Causes: causes, Pool: c.Pool, Target: c.Target, PoolSize: c.PoolSize,
		Started: now.Add(-time.Duration(c.StartedAgo) * time.Millisecond),
		Ended:   now.Add(-time.Duration(c.EndedAgo) * time.Millisecond),
	}
}

// clearCause marks a cause as healthy, and reports whether it was known as anything else. The
// caller holds mu.
func (q *Quarantine) clearCause(d digest.Digest) bool {
	verdicts := q.detector.RecordSuccess(d)
	cleared := func(v poison.Verdict) bool { return v.Digest == d }
	if e, ok := q.entries.Load().byDigest[d]; ok && e.State != poison.Cleared && len(e.Members) == 0 && !slices.ContainsFunc(verdicts, cleared) {
		v := e.Verdict
		v.State = poison.Cleared
		verdicts = append(verdicts, v)
	}
	for _, v := range verdicts {
		q.recordVerdict(v)
	}
	return len(verdicts) > 0
}
