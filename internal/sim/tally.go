package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// source draws random numbers.
type source interface {
	Float64() float64
	NormFloat64() float64
	ExpFloat64() float64
}

func newRand(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }

// outcome is what became of a request.
type outcome int

const (
	outcomeInTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	outcomeLeft
	outcomes
)

// Figures of a run that enter its worth.
const (
	// window is the span of the worst times.
	window = 2 * time.Second
	// againPrice is the part of its worth that a request costs which came back
	// after a refusal and was refused once more.
	againPrice = 0.3
	// mostWeight bounds what one request is worth against the mean of its kind.
	mostWeight = 4
	// baseWeight is the part of a request's worth that does not grow with its size.
	baseWeight = 0.3
)

// Result is what the callers of one run received.
type Result struct {
	// Worth is what the fleet's goal makes of the parts below, less Again.
	Worth  float64 `json:"worth"`
	Whole  float64 `json:"whole"`
	Window float64 `json:"window"`
	Class  float64 `json:"class"`
	// Again is the price of requests that were refused twice.
	Again float64 `json:"again"`
	Kinds []Kind  `json:"kinds"`
	// Windows is the part of the worth earned by the time of arrival.
	Windows []float64 `json:"windows"`
}

// Kind is what the callers of one kind of work received.
type Kind struct {
	Name    string  `json:"name"`
	Sent    int     `json:"sent"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Again   int     `json:"again"`
	Failed  int     `json:"failed"`
	Left    int     `json:"left"`
	Worth   float64 `json:"worth"`
	// Waited is the median and the 90th percentile in seconds in the daemon, First
	// those at the engine until the first event, of requests served at the first try.
	Waited [2]float64 `json:"waited"`
	First  [2]float64 `json:"first"`
}

type sample struct {
	r      *request
	owed   float64
	earned float64
	weight float64
	out    outcome
}

type tally struct {
	fleet   fleet.Fleet
	means   []float64
	samples map[*request]*sample
	order   []*sample
}

func newTally(f fleet.Fleet) *tally {
	t := &tally{fleet: f, samples: map[*request]*sample{}}
	for _, k := range f.Kinds {
		t.means = append(t.means, fleet.Weight(int(k.Prompt.Mean), int(k.Output.Mean*float64(f.Engines.Stride))))
	}
	return t
}

func (t *tally) arrive(r *request) {
	s := &sample{r: r, weight: fleet.Weight(r.prompt, r.output), out: outcomeLeft}
	size := baseWeight + (1-baseWeight)*s.weight/t.means[r.kind]
	s.owed = r.spec().Worth * min(size, mostWeight)
	t.samples[r] = s
	t.order = append(t.order, s)
}

func (t *tally) end(r *request, o outcome) {
	s := t.samples[r]
	s.out = o
	switch o {
	case outcomeInTime:
		s.earned = s.owed
	case outcomeLate:
		s.earned = s.owed * r.spec().Late / r.spec().Worth
	default:
	}
}

// part is the part of the worth owed that was earned.
func part(samples []*sample) float64 {
	owed, earned := 0.0, 0.0
	for _, s := range samples {
		owed += s.owed
		earned += s.earned
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

func (t *tally) result() Result {
	res := Result{Whole: part(t.order), Class: 1}
	owed, again := 0.0, 0.0
	for _, s := range t.order {
		owed += s.owed
		if s.out == outcomeRefused && s.r.refusals > 1 {
			again += s.owed
		}
	}
	if owed > 0 {
		res.Again = againPrice * again / owed
	}
	for i := range int(load.Span / window) {
		var in []*sample
		for _, s := range t.order {
			if at := s.r.arrived.Sub(loop.Epoch); at >= time.Duration(i)*window && at < time.Duration(i+1)*window {
				in = append(in, s)
			}
		}
		res.Windows = append(res.Windows, part(in))
	}
	worst := slices.Sorted(slices.Values(res.Windows))
	res.Window = (worst[0] + worst[1]) / 2
	for k := range t.fleet.Kinds {
		kind, class := t.kind(k)
		res.Kinds = append(res.Kinds, kind)
		res.Class = min(res.Class, class)
	}
	g := t.fleet.Goal
	res.Worth = g.Mean*res.Whole + g.Window*res.Window + g.Class*res.Class - res.Again
	return res
}

// kind sums one kind of work up; class is the least part that the whole kind, its
// largest tenth or the fifth below that earned.
func (t *tally) kind(k int) (Kind, float64) {
	out := Kind{Name: t.fleet.Kinds[k].Name}
	var all []*sample
	var waited, first []float64
	for _, s := range t.order {
		if s.r.kind != k {
			continue
		}
		all = append(all, s)
		out.Sent++
		switch s.out {
		case outcomeInTime:
			out.InTime++
		case outcomeLate:
			out.Late++
		case outcomeRefused:
			out.Refused++
			if s.r.refusals > 1 {
				out.Again++
			}
		case outcomeFailed:
			out.Failed++
		default:
			out.Left++
		}
		if s.r.attempts == 1 && !s.r.first.IsZero() && !s.r.sent.IsZero() {
			waited = append(waited, s.r.sent.Sub(s.r.arrived).Seconds())
			first = append(first, s.r.first.Sub(s.r.sent).Seconds())
		}
	}
	out.Worth = part(all)
	out.Waited, out.First = percentiles(waited), percentiles(first)
	slices.SortStableFunc(all, func(a, b *sample) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	n := len(all)
	return out, min(out.Worth, part(all[:n/10]), part(all[n/10:n/10+n/5]))
}

func percentiles(v []float64) [2]float64 {
	if len(v) == 0 {
		return [2]float64{}
	}
	slices.Sort(v)
	return [2]float64{v[len(v)/2], v[len(v)*9/10]}
}
