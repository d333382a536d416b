package quarantine

import (
	"context"
	"encoding/json"
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
	// acked is the last observation that each incarnation of a coordinator acknowledged.
	acked map[fireflypath.Member]uint64
}

func newReportLog() reportLog {
	return reportLog{acked: map[fireflypath.Member]uint64{}}
}

func (r *reportLog) add(now time.Time, o observation) {
	r.lastSeq++
	o.seq, o.recordedAt = r.lastSeq, now
	r.observations = append(r.observations, o)
	expired := func(o observation) bool { return now.Sub(o.recordedAt) > reportRetention }
	r.observations = slices.DeleteFunc(r.observations, expired)
	if drop := len(r.observations) - maxReports; drop > 0 {
		r.observations = slices.Delete(r.observations, 0, drop)
	}
}

func (r *reportLog) recordCrash(now time.Time, c poison.Crash) {
	r.add(now, observation{crash: &c})
}

// recordServed records a complete answer to a request that has an entry or for which this
// daemon recorded a crash. It reports whether there is something new to send.
func (r *reportLog) recordServed(now time.Time, d digest.Digest, hasEntry bool) bool {
	if !hasEntry && !slices.ContainsFunc(r.observations, func(o observation) bool { return o.crash != nil && o.crash.Digest == d }) {
		return false
	}
	r.observations = slices.DeleteFunc(r.observations, func(o observation) bool { return o.crash != nil && o.crash.Digest == d })
	reported := func(o observation) bool { return o.served == d && now.Sub(o.recordedAt) < servedReportInterval }
	if slices.ContainsFunc(r.observations, reported) {
		return false
	}
	r.add(now, observation{served: d})
	return true
}

// retractCrashes removes the recorded crashes of a target that has answered a request sent
// after them, and reports whether there were any.
func (r *reportLog) retractCrashes(now time.Time, target string, started time.Time) bool {
	refuted := func(o observation) bool {
		return o.crash != nil && o.crash.Target == target && started.After(o.crash.Ended)
	}
	if !slices.ContainsFunc(r.observations, refuted) {
		return false
	}
	r.observations = slices.DeleteFunc(r.observations, refuted)
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

type crashMessage struct {
	Digest     string `json:"d"`
	Pool       string `json:"p"`
	Target     string `json:"t"`
	PoolSize   int    `json:"n"`
	StartedAgo int64  `json:"b"`
	EndedAgo   int64  `json:"e"`
}

func (m *reportMessage) add(now time.Time, o observation) {
	switch {
	case o.crash != nil:
		m.Crashes = append(m.Crashes, crashMessage{
			Digest: o.crash.Digest.String(), Pool: o.crash.Pool, Target: o.crash.Target, PoolSize: o.crash.PoolSize,
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
		if d, err := digest.Parse(c.Digest); err == nil {
			q.detector.RecordCrash(now, c.toCrash(now, d))
		}
	}
	for _, target := range m.AliveTargets {
		q.detector.RetractCrash(target)
	}
	cleared := false
	for _, text := range m.Served {
		if d, err := digest.Parse(text); err == nil {
			cleared = q.clearRequest(now, d) || cleared
		}
	}
	q.mu.Unlock()
	if cleared {
		q.flushPeers()
	}
}

// toCrash converts the ages in the message to times of this daemon's clock.
func (c crashMessage) toCrash(now time.Time, d digest.Digest) poison.Crash {
	return poison.Crash{
		Digest: d, Pool: c.Pool, Target: c.Target, PoolSize: c.PoolSize,
		Started: now.Add(-time.Duration(c.StartedAgo) * time.Millisecond),
		Ended:   now.Add(-time.Duration(c.EndedAgo) * time.Millisecond),
	}
}

// clearRequest marks a request as healthy, and reports whether it was known as anything
// else. The caller holds mu.
func (q *Quarantine) clearRequest(now time.Time, d digest.Digest) bool {
	v, known := q.detector.RecordSuccess(now, d)
	if e, ok := (*q.entries.Load())[d]; ok && e.State != poison.Cleared {
		v, known = e.Verdict, true
		v.State = poison.Cleared
	}
	if known {
		q.recordVerdict(v)
	}
	return known
}
