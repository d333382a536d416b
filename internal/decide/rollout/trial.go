package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// canaryRequests is the number of trial requests before daemons may use their share, so that
	// few callers see a version that is bad at once.
	canaryRequests = 10
	// canaryTime is after which time the share is used although fewer responses have come.
	canaryTime = 2 * time.Second
	// slackBlock is the number of trial requests of the slack that are reserved in the store at once.
	// What a coordinator has reserved is lost with it.
	slackBlock = 20
	// minTargets is the least number of targets that are tried, so that a slow host is not taken for
	// a slow version, and perTarget the number of trial requests that each further one should get.
	minTargets, perTarget = 6, 10
	// loadMargin is how many more targets are tried at a time than would have the old ones' load at the
	// share. Trial requests are not queued, and more load would make good targets slow. Less would hide
	// that a version fails under load, so that the targets are tried in turn.
	loadMargin = 1.25
	// suspectedResponses is the number of responses for which a suspicious version is tried as before.
	suspectedResponses = 25
	// cautious is the evidence above which the switch waits, until lastSwitch.
	cautious = 0.25
	// catchUp times its share of the requests since its last report is what a daemon may send at once,
	// although its share allows for more.
	catchUp = 2
	// turn is how long the same targets are tried, besides two report intervals.
	turn = 500 * time.Millisecond
	// switchPart is the part of the time limit after which the new version gets all work, less the time
	// that the longest requests take. What remains is for another coordinator to take over.
	// earliestSwitch is the part that a trial takes at least.
	switchPart, earliestSwitch = 0.6, 0.15
	// lastSwitch is the part of the time limit after which little evidence has to do.
	lastSwitch = 0.75
	// finalMargin is how long before the time limit a version that has not proved good is rolled back,
	// completionMargin that before which requests to the old version have to end.
	finalMargin, completionMargin = 1200 * time.Millisecond, 500 * time.Millisecond
	// reachableTime is for how long a daemon that has not reported is waited for.
	reachableTime = 3 * time.Second
	// reportInterval is the time between reports of a daemon, reportIntervalPerDaemon the least time
	// in a fleet, which bounds the reports that its coordinator gets a second.
	reportInterval, reportIntervalPerDaemon = 250 * time.Millisecond, 4 * time.Millisecond
	// suspiciousResponses is the number of responses after which the evidence may be against a version for
	// maxSuspicion of the time in which a bad one has to be rolled back.
	suspiciousResponses, maxSuspicion = 50, 0.5
	// maxValidity bounds how long a permission lasts, as a part of the time in which a bad version has
	// to be rolled back.
	maxValidity = 0.5
)

// Policy is what the operator asks of all trials.
type Policy struct {
	// Share of all requests plus Slack is the number of requests that a bad version may get.
	Share float64
	Slack int
	// Rollback is the time after the 50th bad response within which a bad version gets no more.
	Rollback time.Duration
}

// ReportInterval returns the time between two reports of a daemon in a fleet.
func ReportInterval(daemons int) time.Duration {
	return max(reportInterval, time.Duration(daemons)*reportIntervalPerDaemon)
}

// Validity returns how long a permission lasts from the time at which the daemon asked for it.
func (p Policy) Validity(daemons int) time.Duration {
	return min(time.Duration(maxValidity*float64(p.Rollback)), 3*ReportInterval(daemons)/2+500*time.Millisecond)
}

// Phase is the phase of a rollout.
type Phase string

const (
	// PhaseTrial sends a share of the requests to the new version.
	PhaseTrial Phase = "trial"
	// PhaseSwitch sends all requests to the new version while those at the old one end.
	PhaseSwitch Phase = "switch"
	// PhaseCompleted sends all requests to the new version; it is final.
	PhaseCompleted Phase = "completed"
	// PhaseRolledBack sends none to it; it is final.
	PhaseRolledBack Phase = "rolled-back"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// comparison compares the responses of two versions. Test is the one in use.
type comparison interface {
	AddOld(route string, s Sample)
	AddNew(route, target string, s Sample)
	Worst() Finding
	Good() bool
	LikelyGood() bool
	SetTargets(n int)
	New() Sample
	OldResponses() int
}

// Trial is the coordinator's part of a trial. It collects the reports of the daemons, gives permissions,
// and decides. It is not safe for concurrent use.
type Trial struct {
	policy Policy
	// began is when the order was seen, limit is how long it may take.
	began time.Time
	limit time.Duration
	// takenOver is when this coordinator began to collect reports, switchedAt when it learned that all
	// requests go to the new version.
	takenOver, switchedAt time.Time

	test    comparison
	daemons map[string]*daemonState
	// reserved is the part of the slack that the store says was reserved in all, inherited the part that
	// earlier coordinators reserved. spent is the latter and what this one has granted.
	reserved, inherited int
	spent               float64
	canaryDone          bool
	// suspected is the number of responses when the version became suspicious, or -1.
	suspected int
	// reports counts the reports while the daemons are throttled.
	reports int
	// candidates are the targets of the new version, targets those that are tried.
	candidates, targets []string
	oldTargets          int
	// rate is the number of requests a second of the pool, as of rateAt.
	rate   float64
	rateAt time.Time
	// worst is the strongest evidence as of worstAt.
	worst   Finding
	worstAt time.Time
	// suspiciousSince is when enough responses for a verdict had come that may be bad ones.
	suspiciousSince time.Time
}

// daemonState is what a coordinator knows of a daemon.
type daemonState struct {
	boot     uint64
	at       time.Time
	granted  float64
	last     Report
	samples  map[cellKey]Sample
	seenLast int
}

// NewTrial returns a trial of an order that was seen at the given time. spent is the part of the slack
// that earlier coordinators have reserved.
func NewTrial(p Policy, now, began time.Time, limit time.Duration, spent int) *Trial {
	return &Trial{
		policy: p, test: NewTest(), began: began, limit: limit, takenOver: now, daemons: map[string]*daemonState{}, reserved: spent, inherited: spent, spent: float64(spent), suspected: -1,
	}
}

// SetTargets sets the new version's targets, in the order in which they are tried, and the number of old ones.
func (t *Trial) SetTargets(targets []string, oldTargets int) {
	t.candidates, t.oldTargets = targets, oldTargets
	t.chooseTargets()
}

// chooseTargets chooses how many targets are tried. Each should get some requests: with few at each, those
// that fail could not be told from a few bad hosts.
func (t *Trial) chooseTargets() {
	byLoad := int(math.Ceil(1.5 * t.policy.Share * float64(t.oldTargets)))
	n := max(minTargets, len(t.targets), min(byLoad, int(t.policy.Share*t.rate*t.limit.Seconds()/2/perTarget)))
	t.targets = t.candidates[:min(n, len(t.candidates))]
	t.test.SetTargets(len(t.targets))
}

// targetsInTurn returns the targets that are tried at a time.
func (t *Trial) targetsInTurn(now time.Time) []string {
	n := max(1, int(loadMargin*t.policy.Share*float64(t.oldTargets)))
	if !t.canaryDone || n >= len(t.targets) {
		return t.targets
	}
	turns := int(now.Sub(t.takenOver) / (turn + 2*ReportInterval(len(t.daemons))))
	var out []string
	for i := range n {
		out = append(out, t.targets[(turns*n+i)%len(t.targets)])
	}
	return out
}

// Reserved records what the store says was reserved of the slack.
func (t *Trial) Reserved(n int) { t.reserved = max(t.reserved, n) }

// WantReserved returns how much of the slack should be reserved in all.
func (t *Trial) WantReserved() int {
	switch {
	case !t.canaryDone:
		return min(t.inherited+canaryRequests, t.policy.Slack)
	case float64(t.reserved)-t.spent < slackBlock/2:
		return min(t.reserved+slackBlock, t.policy.Slack)
	}
	return t.reserved
}

// Report adds what a daemon has counted and returns its permission.
func (t *Trial) Report(now time.Time, from string, boot uint64, r Report) Permission {
	d := t.daemons[from]
	if d == nil || d.boot != boot {
		d = &daemonState{boot: boot, samples: map[cellKey]Sample{}, granted: r.Granted}
		t.daemons[from] = d
	}
	if r.Seen < d.last.Seen {
		return Permission{Granted: d.granted} // it was overtaken
	}
	for _, c := range r.Cells {
		key := cellKey{c.Route, c.Target}
		s := c.minus(d.samples[key])
		d.samples[key] = c.Sample
		switch {
		case s == Sample{}:
		case c.Target == "":
			t.test.AddOld(c.Route, s)
		default:
			t.test.AddNew(c.Route, c.Target, s)
		}
	}
	d.at, d.last = now, r
	t.updateRate(now)
	if n := t.test.New(); n.N >= canaryRequests || now.Sub(t.takenOver) >= canaryTime && (n.N > 0 || t.inherited >= t.policy.Slack) {
		t.canaryDone = true
	}
	return t.permit(now, d)
}

// updateRate updates the rate of requests and what depends on it, a few times a second.
func (t *Trial) updateRate(now time.Time) {
	elapsed := now.Sub(t.began)
	if elapsed < reportInterval || now.Sub(t.rateAt) < reportInterval {
		return
	}
	t.rateAt = now
	seen := 0
	for _, d := range t.daemons {
		seen += d.last.Seen
	}
	t.rate = float64(seen) / elapsed.Seconds()
	t.chooseTargets()
}

// findingAge is for how long the strongest evidence is used before it is computed again.
const findingAge = 20 * time.Millisecond

// finding returns the strongest evidence against the new version. A version that stays suspicious for too
// long is bad.
func (t *Trial) finding(now time.Time) Finding {
	if !t.worstAt.IsZero() && now.Sub(t.worstAt) < findingAge {
		return t.worst
	}
	t.worst, t.worstAt = t.test.Worst(), now
	doubtful := t.worst.Suspicious() || !t.test.LikelyGood()
	if !doubtful || t.test.New().N < suspiciousResponses {
		t.suspiciousSince = time.Time{}
		return t.worst
	}
	if t.suspiciousSince.IsZero() {
		t.suspiciousSince = now
	}
	if now.Sub(t.suspiciousSince) > time.Duration(maxSuspicion*float64(t.policy.Rollback)) {
		t.worst.Evidence = max(1, t.worst.Evidence)
	}
	return t.worst
}

// permit returns the permission of a daemon.
func (t *Trial) permit(now time.Time, d *daemonState) Permission {
	f := t.finding(now)
	if f.Bad() || !t.switchedAt.IsZero() {
		return Permission{Granted: d.granted}
	}
	share, most := 0.0, 0
	if t.canaryDone {
		share = t.policy.Share
		grown := float64(d.last.Seen - d.seenLast)
		most = d.last.Trial + 1 + int(catchUp*share*grown)
	}
	throttled := t.isThrottled(f)
	if throttled {
		most = d.last.Trial + t.trickle()
	}
	// A daemon that has requests is granted what it lacks of one trial request.
	missing := 1 - (d.granted + share*float64(d.last.Seen+1) - float64(d.last.Trial))
	if d.last.Seen > d.seenLast && missing > 0 && missing <= 1 && t.spent+missing <= float64(t.reserved) {
		d.granted += missing
		t.spent += missing
	}
	d.seenLast = d.last.Seen
	targets := t.targetsInTurn(now)
	if throttled {
		targets = t.targets // others have to agree
		if most <= d.last.Trial {
			targets = nil
		}
	}
	return Permission{Granted: d.granted, Share: share, Most: max(most, 0), Targets: targets}
}

// isThrottled reports whether daemons send few requests because the version is suspicious. Until some
// responses have come, it is tried as before: a version that fails under load would look good.
func (t *Trial) isThrottled(f Finding) bool {
	if !f.Suspicious() {
		t.suspected = -1
		return false
	}
	n := t.test.New().N
	if t.suspected < 0 {
		t.suspected = n
	}
	return n-t.suspected >= suspectedResponses
}

// trickle returns how many more trial requests a daemon may send while the version is suspicious. All
// daemons together may send about trickleRequests in a report interval.
func (t *Trial) trickle() int {
	const trickleRequests = 8
	t.reports++
	if t.reports%(1+len(t.daemons)/trickleRequests) == 0 {
		return 1
	}
	return 0
}

// Switched records that the store says that all requests go to the new version.
func (t *Trial) Switched(now time.Time) {
	if t.switchedAt.IsZero() {
		t.switchedAt = now
	}
}

// longestOld returns how long the requests to the old version take.
func (t *Trial) longestOld() time.Duration {
	longest := 0
	for _, d := range t.daemons {
		longest = max(longest, d.last.Longest)
	}
	return time.Duration(longest) * time.Millisecond
}

// switchAfter returns the time after the order at which the new version gets all requests.
func (t *Trial) switchAfter() time.Duration {
	limit := float64(t.limit)
	return time.Duration(max(earliestSwitch*limit, min(switchPart*limit, limit-float64(finalMargin)-float64(t.longestOld()))))
}

// Decide returns the phase that should follow and why. live are the daemons that belong to the fleet.
func (t *Trial) Decide(now time.Time, live []string) (Phase, string) {
	f, n := t.finding(now), t.test.New()
	elapsed := now.Sub(t.began)
	current := PhaseTrial
	if !t.switchedAt.IsZero() {
		current = PhaseSwitch
	}
	switch {
	case f.Bad():
		return PhaseRolledBack, f.String()
	case current == PhaseSwitch:
		return t.decideSwitch(now, live)
	case elapsed >= t.limit-finalMargin && len(t.targets) == 0:
		return PhaseRolledBack, "no target of it has registered"
	case elapsed >= t.limit-finalMargin && n.N == 0:
		return PhaseRolledBack, "it has answered no request on trial"
	case elapsed >= t.limit-finalMargin:
		return PhaseRolledBack, "it was not proved good in time: " + f.String()
	case len(t.targets) == 0 || elapsed < t.switchAfter() || f.Suspicious():
		return PhaseTrial, ""
	case f.Evidence >= cautious && elapsed < time.Duration(lastSwitch*float64(t.limit)):
		return PhaseTrial, ""
	case t.proved(), elapsed >= time.Duration(lastSwitch*float64(t.limit)) && t.test.LikelyGood():
		return PhaseSwitch, fmt.Sprintf("%d responses on trial, %d failures", n.N, n.Failed)
	}
	return PhaseTrial, ""
}

// proved reports whether the new version is good. In an idle pool there is nothing to prove.
func (t *Trial) proved() bool {
	return t.test.Good() || t.test.OldResponses() == 0 && t.test.New().N == 0
}

// decideSwitch decides when the work at the old version has ended.
func (t *Trial) decideSwitch(now time.Time, live []string) (Phase, string) {
	stopped, running, silent := true, 0, 0
	for _, name := range live {
		d := t.daemons[name]
		switch {
		case d == nil:
			silent++
			stopped = stopped && now.Sub(t.takenOver) > reachableTime
		case now.Sub(d.at) > reachableTime:
			silent++
		case !d.last.Stopped:
			stopped = false
		default:
			running += d.last.Old
		}
	}
	why := fmt.Sprintf("%d responses on trial and after, %d requests left at the old version, %d daemons silent", t.test.New().N, running, silent)
	late := now.Sub(t.began) >= t.limit-completionMargin
	switch {
	case stopped && running == 0, stopped && late:
		return PhaseCompleted, why
	case late:
		return PhaseRolledBack, "not all daemons stopped sending to the old version in time: " + why
	}
	return PhaseSwitch, ""
}

// Summary returns the counts of a trial for operators.
func (t *Trial) Summary() (n Sample, old, seen, trial int, f Finding) {
	for _, d := range t.daemons {
		seen += d.last.Seen
		trial += d.last.Trial
	}
	return t.test.New(), t.test.OldResponses(), seen, trial, t.worst
}
