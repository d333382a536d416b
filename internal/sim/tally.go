package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// randomSource generates random numbers.
type randomSource interface {
	Float64() float64
	NormFloat64() float64
	ExpFloat64() float64
}

func newRand(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }

// outcome is the final state of a request.
type outcome int

const (
	outcomeInTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	outcomeLeft
	outcomeCount
)

// Parameters of a run's score.
const (
	// window is the length of the intervals of which the worst two enter the score.
	window = 2 * time.Second
	// RepeatedRefusalPenalty is the fraction of its worth that is deducted for a
	// request that retried after a refusal and was refused again.
	RepeatedRefusalPenalty = 0.3
	// maxRelativeWeight bounds the worth of one request relative to the mean of its
	// kind.
	maxRelativeWeight = 4
	// fixedWeight is the fraction of a request's worth that does not grow with its
	// size.
	fixedWeight = 0.3
)

// Result summarizes what the callers of one run received.
type Result struct {
	// Worth is the weighted sum of Whole, Window and Class, less RefusalPenalty.
	Worth  float64 `json:"worth"`
	Whole  float64 `json:"whole"`
	Window float64 `json:"window"`
	Class  float64 `json:"class"`
	// RefusalPenalty is the penalty for requests that were refused more than once.
	RefusalPenalty float64 `json:"again"`
	Kinds          []Kind  `json:"kinds"`
	// OverLimit is by how many requests an engine's rate limit was exceeded in the worst span.
	// Leaving is the number of requests that daemons sent to engines after they had received that
	// they are leaving, DuringBackoff the most that one sent above what is allowed while an engine
	// asked for a backoff.
	OverLimit     int `json:"over_limit"`
	Leaving       int `json:"leaving"`
	DuringBackoff int `json:"during_backoff"`
	// Falls counts brittle engines that fell over. CutSent and CutServed count the first attempts at
	// daemons that had lost their paths to all engines, OtherSent and OtherServed those at the others
	// at the same time.
	Falls                                      int `json:"falls"`
	CutSent, CutServed, OtherSent, OtherServed int `json:"-"`
	// Streams counts streams where engines have several versions.
	Streams streamCounts `json:"-"`
	// Parts counts requests with parts that crash engines.
	Parts partCounts `json:"-"`
	// Teams counts what the callers of each team received, if the load has teams.
	Teams []Team `json:"teams,omitempty"`
	// Returns counts callers that returned after a refusal.
	Returns Returns `json:"returns"`
	// Lending counts what cells lent each other.
	Lending LendingCounts `json:"lending"`
	// Windows is the earned fraction of the worth per interval of arrival.
	Windows []float64 `json:"windows"`
}

// Kind summarizes what the callers of one kind of work received.
type Kind struct {
	Name         string  `json:"name"`
	Sent         int     `json:"sent"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Refused      int     `json:"refused"`
	RefusedTwice int     `json:"again"`
	Failed       int     `json:"failed"`
	CallerLeft   int     `json:"left"`
	Worth        float64 `json:"worth"`
	// Waited holds the median and the 90th percentile, in seconds, of the time in the
	// daemon, First those of the time from dispatch to the first event, for requests
	// served at the first attempt.
	Waited [2]float64 `json:"waited"`
	First  [2]float64 `json:"first"`
}

type sample struct {
	request *request
	worth   float64
	earned  float64
	weight  float64
	outcome outcome
}

type tally struct {
	fleet       fleet.Fleet
	meanWeights []float64
	samples     map[*request]*sample
	order       []*sample
}

func newTally(f fleet.Fleet) *tally {
	t := &tally{fleet: f, samples: map[*request]*sample{}}
	for _, k := range f.Kinds {
		t.meanWeights = append(t.meanWeights, fleet.Weight(int(k.Prompt.Mean), int(k.Output.Mean*float64(f.Engines.Stride))))
	}
	return t
}

func (t *tally) add(r *request) {
	s := &sample{request: r, weight: fleet.Weight(r.prompt, r.output), outcome: outcomeLeft}
	size := fixedWeight + (1-fixedWeight)*s.weight/t.meanWeights[r.kind]
	s.worth = r.spec().Worth * min(size, maxRelativeWeight)
	t.samples[r] = s
	t.order = append(t.order, s)
}

// addBroken adds what an engine counted.
func (res *Result) addBroken(b brokenNotices) {
	res.OverLimit = max(res.OverLimit, b.overLimit)
	res.Leaving += b.leaving
	res.DuringBackoff = max(res.DuringBackoff, b.duringBackoff)
}

func (t *tally) finish(r *request, o outcome) {
	s := t.samples[r]
	s.outcome = o
	switch o {
	case outcomeInTime:
		s.earned = s.worth
	case outcomeLate:
		s.earned = s.worth * r.spec().Late / r.spec().Worth
	default:
	}
}

// earnedFraction returns the earned fraction of the samples' total worth.
func earnedFraction(samples []*sample) float64 {
	total, earned := 0.0, 0.0
	for _, s := range samples {
		total += s.worth
		earned += s.earned
	}
	if total == 0 {
		return 1
	}
	return earned / total
}

func (t *tally) result() Result {
	res := Result{Whole: earnedFraction(t.order), Class: 1}
	total, repeated := 0.0, 0.0
	for _, s := range t.order {
		total += s.worth
		if s.outcome == outcomeRefused && s.request.refusals > 1 {
			repeated += s.worth
		}
	}
	if total > 0 {
		res.RefusalPenalty = RepeatedRefusalPenalty * repeated / total
	}
	for i := range int(load.Span / window) {
		var arrivals []*sample
		for _, s := range t.order {
			if at := s.request.arrivedAt.Sub(loop.Epoch); at >= time.Duration(i)*window && at < time.Duration(i+1)*window {
				arrivals = append(arrivals, s)
			}
		}
		res.Windows = append(res.Windows, earnedFraction(arrivals))
	}
	worst := slices.Sorted(slices.Values(res.Windows))
	res.Window = (worst[0] + worst[1]) / 2
	for k := range t.fleet.Kinds {
		kind, class := t.summarizeKind(k)
		res.Kinds = append(res.Kinds, kind)
		res.Class = min(res.Class, class)
	}
	g := t.fleet.Weights
	res.Worth = g.Mean*res.Whole + g.Window*res.Window + g.Class*res.Class - res.RefusalPenalty
	return res
}

// summarizeKind summarizes one kind of work. The second result is the smallest earned
// fraction among the whole kind, its largest tenth and the next fifth by size.
func (t *tally) summarizeKind(k int) (Kind, float64) {
	out := Kind{Name: t.fleet.Kinds[k].Name}
	var samples []*sample
	var waited, firstEvents []float64
	for _, s := range t.order {
		if s.request.kind != k {
			continue
		}
		samples = append(samples, s)
		out.Sent++
		switch s.outcome {
		case outcomeInTime:
			out.InTime++
		case outcomeLate:
			out.Late++
		case outcomeRefused:
			out.Refused++
			if s.request.refusals > 1 {
				out.RefusedTwice++
			}
		case outcomeFailed:
			out.Failed++
		default:
			out.CallerLeft++
		}
		if s.request.attempts == 1 && !s.request.firstEventAt.IsZero() && !s.request.dispatchedAt.IsZero() {
			waited = append(waited, s.request.dispatchedAt.Sub(s.request.arrivedAt).Seconds())
			firstEvents = append(firstEvents, s.request.firstEventAt.Sub(s.request.dispatchedAt).Seconds())
		}
	}
	out.Worth = earnedFraction(samples)
	out.Waited, out.First = medianAndP90(waited), medianAndP90(firstEvents)
	slices.SortStableFunc(samples, func(a, b *sample) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	n := len(samples)
	return out, min(out.Worth, earnedFraction(samples[:n/10]), earnedFraction(samples[n/10:n/10+n/5]))
}

func medianAndP90(v []float64) [2]float64 {
	if len(v) == 0 {
		return [2]float64{}
	}
	slices.Sort(v)
	return [2]float64{v[len(v)/2], v[len(v)*9/10]}
}
