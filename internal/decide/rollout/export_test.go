package rollout

// NewFixedTrial returns a trial that compares versions in fixed steps.
func NewFixedTrial(t *Trial) *Trial {
	t.test = &fixedSteps{old: map[string]Sample{}, new: map[string]Sample{}, step: map[string]Sample{}}
	return t
}

const (
	// stepSize is the number of responses of the new version after which the versions are compared.
	stepSize = 20
	// maxDifference is the difference of the rates of failures above which a version is bad; maxLogRatio is
	// that of the logarithms of times.
	maxDifference, maxLogRatio = 0.15, 0.7
)

// fixedSteps compares the rates of failures and the mean times of two versions, on each route, after
// every stepSize responses.
type fixedSteps struct {
	old, new, step map[string]Sample
	total          Sample
	bad            Finding
}

func (f *fixedSteps) AddOld(route string, s Sample) {
	for _, r := range []string{route, ""} {
		sum := f.old[r]
		sum.merge(s)
		f.old[r] = sum
	}
}

func (f *fixedSteps) AddNew(route, _ string, s Sample) {
	f.total.merge(s)
	for _, r := range []string{route, ""} {
		sum := f.step[r]
		sum.merge(s)
		if sum.N >= stepSize {
			f.compare(r, sum)
			sum = Sample{}
		}
		f.step[r] = sum
	}
}

func (f *fixedSteps) compare(route string, s Sample) {
	old := f.old[route]
	if old.N < minOldSample {
		return
	}
	if float64(s.Failed)/float64(s.N)-float64(old.Failed)/float64(old.N) > maxDifference {
		f.bad = Finding{1, route, false}
	}
	if s.First.N == 0 || old.First.N == 0 {
		return
	}
	if s.First.Sum/float64(s.First.N)-old.First.Sum/float64(old.First.N) > maxLogRatio {
		f.bad = Finding{1, route, true}
	}
}

func (f *fixedSteps) Worst() Finding    { return f.bad }
func (f *fixedSteps) New() Sample       { return f.total }
func (f *fixedSteps) OldResponses() int { return f.old[""].N }
func (f *fixedSteps) Good() bool        { return f.total.N >= 3*stepSize && !f.bad.Bad() }
func (f *fixedSteps) SetTargets(int)    {}
func (f *fixedSteps) LikelyGood() bool  { return f.total.N >= minResponses && !f.bad.Bad() }
