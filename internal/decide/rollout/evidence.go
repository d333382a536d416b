package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// falsePositiveRate and falseNegativeRate are the error rates of a single sequential test. A trial
	// makes two tests for each route and two for all routes together.
	falsePositiveRate = 0.00001
	falseNegativeRate = 0.02
	// badFailures is how much more often a bad version fails than the old one, as a fraction of the
	// responses that the old one completes. goodFailures is the excess that a good version may show.
	badFailures, goodFailures = 0.25, 0.01
	// slowFactor is how many times longer a bad version takes; goodFactor is what a good one may take,
	// because its targets have just started.
	slowFactor, goodFactor = 2.5, 1.4
	// minSpread is the least standard deviation that is assumed of the logarithm of a time.
	minSpread = 0.3
	// maxSlowStep bounds what one slow response counts, so that a few outliers decide nothing.
	maxSlowStep = 1.2
	// minOldSample is the number of responses of the old version on a route from which its times are
	// known.
	minOldSample = 20
	// priorFailures is the rate of failures that is assumed where the old version has no responses.
	priorFailures = 0.02
	// suspiciousFailures and suspiciousTimes are the evidence, as a fraction of that of a bad version,
	// above which a version gets no more than the slack. Times differ between good hosts.
	suspiciousFailures, suspiciousTimes = 0.35, 0.7
	// minResponses is the number of responses without which no version is completed, unless its pool is
	// idle.
	minResponses = 8
	// maxCredit bounds the evidence in favor of a target while others speak against the new version.
	maxCredit = 1
	// maxAgreeing is the number of targets whose evidence always suffices.
	maxAgreeing = 5
	// droppedTargets is the part of the new version's targets, those with the worst results, that the
	// tests ignore: slow or broken hosts are no property of a version.
	droppedTargets = 3
)

// badEvidence is the logarithm of the likelihood ratio at which a version is bad, goodEvidence that at which
// it is good.
var (
	badEvidence  = math.Log((1 - falseNegativeRate) / falsePositiveRate)
	goodEvidence = math.Log(falseNegativeRate / (1 - falsePositiveRate))
)

// Moments summarizes the logarithms of times.
type Moments struct {
	N       int     `json:"n,omitempty"`
	Sum     float64 `json:"s,omitempty"`
	Squares float64 `json:"q,omitempty"`
}

// Add adds a time in seconds.
func (m *Moments) Add(seconds float64) {
	x := math.Log(min(max(seconds, 0.0005), 120))
	m.N++
	m.Sum += x
	m.Squares += x * x
}

// merge adds other moments.
func (m *Moments) merge(o Moments) {
	m.N, m.Sum, m.Squares = m.N+o.N, m.Sum+o.Sum, m.Squares+o.Squares
}

// rounded returns the moments with few digits, as messages carry them.
func (m Moments) rounded() Moments {
	return Moments{m.N, math.Round(1000*m.Sum) / 1000, math.Round(1000*m.Squares) / 1000}
}

// minus returns the moments without those of an earlier state.
func (m Moments) minus(o Moments) Moments {
	return Moments{m.N - o.N, m.Sum - o.Sum, m.Squares - o.Squares}
}

// spread returns the mean and the standard deviation.
func (m Moments) spread() (mean, deviation float64) {
	mean = m.Sum / float64(m.N)
	return mean, max(minSpread, math.Sqrt(max(0, m.Squares/float64(m.N)-mean*mean)))
}

// Sample counts the responses of targets on one route.
type Sample struct {
	// N is the number of responses, of which Failed are failures.
	N      int `json:"n,omitempty"`
	Failed int `json:"f,omitempty"`
	// First holds the times to the first byte, Pace those between events.
	First Moments `json:"b,omitzero"`
	Pace  Moments `json:"p,omitzero"`
}

// merge adds another sample.
func (s *Sample) merge(o Sample) {
	s.N += o.N
	s.Failed += o.Failed
	s.First.merge(o.First)
	s.Pace.merge(o.Pace)
}

// rounded returns the sample as messages carry it.
func (s Sample) rounded() Sample {
	return Sample{s.N, s.Failed, s.First.rounded(), s.Pace.rounded()}
}

// minus returns the sample without an earlier state of it.
func (s Sample) minus(o Sample) Sample {
	return Sample{s.N - o.N, s.Failed - o.Failed, s.First.minus(o.First), s.Pace.minus(o.Pace)}
}

// Cell holds the sample of one route at one target of the new version, or at all of the old one if Target
// is empty.
type Cell struct {
	Route  string `json:"r"`
	Target string `json:"t,omitempty"`
	Sample
}

type cellKey struct{ route, target string }

// Test compares a new version with the old one. It is a sequential probability ratio test of failures
// and of times, for each route and for all routes together. Evidence in favor of the new version is
// forgotten where it decides that the version is bad: one that turns bad late is found as fast as one that
// is bad at once. The zero value has no evidence.
//
// The evidence is kept by target, and that of the worst third of the targets does not count.
type Test struct {
	// targets is the number of targets that are tried.
	targets int
	old     map[string]Sample
	new     Sample
	// pending holds times on routes on which too little is known of the old version's.
	pending map[cellKey]Sample
	// excursions hold the evidence since it was last in favor of the new version, totals all of it.
	excursions map[excursionKey]map[string]float64
	totals     [2]map[string]float64
}

// excursionKey identifies a test: of a route, or of all if it is empty, and of times or of failures.
type excursionKey struct {
	route string
	times bool
}

// NewTest returns a test without evidence.
func NewTest() *Test {
	return &Test{
		old: map[string]Sample{}, pending: map[cellKey]Sample{}, excursions: map[excursionKey]map[string]float64{},
		totals: [2]map[string]float64{{}, {}},
	}
}

// SetTargets sets the number of targets that are tried.
func (t *Test) SetTargets(n int) { t.targets = n }

// AddOld adds responses of the old version on a route.
func (t *Test) AddOld(route string, s Sample) {
	sum := t.old[route]
	sum.merge(s)
	t.old[route] = sum
}

// AddNew adds responses of a target of the new version on a route.
func (t *Test) AddNew(route, target string, s Sample) {
	t.new.merge(s)
	old := t.old[route]
	t.add(route, target, false, failureEvidence(old, s))
	key := cellKey{route, target}
	times := t.pending[key]
	times.merge(s)
	if old.First.N < minOldSample {
		t.pending[key] = times
		return
	}
	delete(t.pending, key)
	t.add(route, target, true, timeEvidence(old.First, times.First)+timeEvidence(old.Pace, times.Pace))
}

// add adds evidence against the new version.
func (t *Test) add(route, target string, times bool, evidence float64) {
	if evidence == 0 {
		return
	}
	total := t.totals[0]
	if times {
		total = t.totals[1]
	}
	total[target] += evidence
	for _, key := range []excursionKey{{route, times}, {"", times}} {
		e := t.excursions[key]
		if e == nil {
			e = map[string]float64{}
			t.excursions[key] = e
		}
		e[target] = max(e[target]+evidence, -maxCredit)
		sum := 0.0
		for _, x := range e {
			sum += x
		}
		if sum <= 0 {
			clear(e)
		}
	}
}

// failureEvidence returns the evidence of responses that the new version fails more often.
func failureEvidence(old, s Sample) float64 {
	const prior = 10
	n := float64(old.N) + prior
	rate := (float64(old.Failed) + prior*priorFailures) / n
	rate = min(rate+math.Sqrt(rate*(1-rate)/n), 0.99)
	good := rate + goodFailures*(1-rate)
	bad := good + badFailures*(1-good)
	return float64(s.Failed)*math.Log(bad/good) + float64(s.N-s.Failed)*math.Log((1-bad)/(1-good))
}

// timeEvidence returns the evidence of times that the new version is several times slower.
func timeEvidence(old, s Moments) float64 {
	if old.N < minOldSample || s.N == 0 {
		return 0
	}
	mean, deviation := old.spread()
	good, bad := math.Log(goodFactor), math.Log(slowFactor)
	n := float64(s.N)
	return min(maxSlowStep*n, (bad-good)/(deviation*deviation)*(s.Sum-n*mean-n*(bad+good)/2))
}

// trimmedSum adds up the evidence from targets without the worst third of them, and bounds what a target
// counts: several targets have to agree.
func (t *Test) trimmedSum(byTarget map[string]float64) float64 {
	drop := 0
	if t.targets >= droppedTargets {
		drop = max(1, len(t.totals[0])/droppedTargets)
	}
	kept := max(1, min(t.targets, len(t.totals[0]))-drop)
	bound := badEvidence / float64(min(maxAgreeing, (kept+1)/2+kept/6))
	values := make([]float64, 0, len(byTarget))
	for _, e := range byTarget {
		values = append(values, min(max(e, -bound), bound))
	}
	slices.Sort(values)
	sum := 0.0
	for _, e := range values[:max(0, len(values)-drop)] {
		sum += e
	}
	return sum
}

// New returns the sample of all responses of the new version.
func (t *Test) New() Sample { return t.new }

// OldResponses returns the number of responses of the old version.
func (t *Test) OldResponses() int {
	n := 0
	for _, s := range t.old {
		n += s.N
	}
	return n
}

// Finding is the strongest evidence against a version.
type Finding struct {
	// Evidence is relative to that of a bad version: at 1, the version is bad.
	Evidence float64
	Route    string
	// Slow is true for evidence from times, and false for failures.
	Slow bool
}

// Bad reports whether the version is bad.
func (f Finding) Bad() bool { return f.Evidence >= 1 }

// Suspicious reports whether the version may be bad.
func (f Finding) Suspicious() bool {
	if f.Slow {
		return f.Evidence >= suspiciousTimes
	}
	return f.Evidence >= suspiciousFailures
}

// String describes the evidence for operators.
func (f Finding) String() string {
	what, where := "fails more often than the old version", "on all routes together"
	if f.Slow {
		what = "is several times slower than the old version"
	}
	if f.Route != "" {
		where = "on route " + f.Route
	}
	return fmt.Sprintf("it %s %s (evidence %.2f of 1)", what, where, f.Evidence)
}

// Worst returns the strongest evidence.
func (t *Test) Worst() Finding {
	var worst Finding
	for key, byTarget := range t.excursions {
		f := Finding{t.trimmedSum(byTarget) / badEvidence, key.route, key.times}
		if f.Evidence > worst.Evidence || f.Evidence == worst.Evidence && f.Route < worst.Route {
			worst = f
		}
	}
	return worst
}

// Good reports whether the new version fails no more often and is not several times slower.
func (t *Test) Good() bool { return t.favors(goodEvidence) }

// LikelyGood reports whether what little evidence there is favors the new version.
func (t *Test) LikelyGood() bool { return t.new.N >= minResponses && t.favors(0) }

// favors reports whether all evidence is at most the given one.
func (t *Test) favors(most float64) bool {
	for _, total := range t.totals {
		if len(total) > 0 && t.trimmedSum(total) > most {
			return false
		}
	}
	return len(t.totals[0]) > 0
}
