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
