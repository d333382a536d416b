package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/mix"
)

const (
	// longest is the largest latency kept apart from others: above any deadline of a mix.
	longest = 10 * time.Minute
	// digits is the precision of latencies: 1 in 1000 is finer than runs repeat.
	digits = 3
	// maxErrors bounds the error texts that a report quotes.
	maxErrors = 5
)

// Report sums up a run.
type Report struct {
	// Seconds is how long requests arrived.
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	Whole   int     `json:"whole"`
	InTime  int     `json:"in_time"`
	Refused int     `json:"refused"`
	// Failed got neither an answer nor a refusal.
	Failed int          `json:"failed"`
	Tiers  []TierReport `json:"tiers"`
	Codes  []CodeCount  `json:"codes"`
	// Errors quotes some of the failures.
	Errors []string `json:"errors,omitempty"`
}

// TierReport sums up a tier. Latencies are in milliseconds, from the scheduled
// arrival to the end of whole answers, or to their first byte.
type TierReport struct {
	Tier    string `json:"tier"`
	Rank    int    `json:"rank"`
	Sent    int    `json:"sent"`
	Whole   int    `json:"whole"`
	InTime  int    `json:"in_time"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	// Goodput is the number of answers in time a second.
	Goodput float64 `json:"goodput"`
	Answer  Latency `json:"answer"`
	First   Latency `json:"first"`
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// CodeCount counts refusals of one code.
type CodeCount struct {
	Code  fireflypath.Reason `json:"code"`
	Run   fireflypath.Run    `json:"run"`
	Count int                `json:"count"`
	// Example is one of their details.
	Example string `json:"example"`
}

type code struct {
	code fireflypath.Reason
	run  fireflypath.Run
}

// Tally takes outcomes in, from many goroutines.
type Tally struct {
	mu     sync.Mutex
	tiers  map[int]*tier
	codes  map[code]*CodeCount
	errors []string
}

type tier struct {
	report TierReport
	answer *hdrhistogram.Histogram
	first  *hdrhistogram.Histogram
}

// NewTally makes an empty tally for a mix.
func NewTally(m mix.Mix) *Tally {
	t := &Tally{tiers: make(map[int]*tier), codes: make(map[code]*CodeCount)}
	for _, x := range m.Tiers {
		t.tiers[x.Rank] = &tier{
			report: TierReport{Tier: x.Name, Rank: x.Rank},
			answer: hdrhistogram.New(1, longest.Microseconds(), digits),
			first:  hdrhistogram.New(1, longest.Microseconds(), digits),
		}
	}
	return t
}

// Add counts an outcome.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.tiers[o.Arrival.Rank]
	x.report.Sent++
	switch {
	case o.Whole:
		x.whole(o)
	case o.Refusal != nil:
		x.report.Refused++
		t.refused(o.Refusal)
	default:
		x.report.Failed++
		if len(t.errors) < maxErrors {
			t.errors = append(t.errors, o.Err.Error())
		}
	}
}

func (t *Tally) refused(f *fireflypath.Refusal) {
	k := code{f.Code, f.Run}
	if t.codes[k] == nil {
		t.codes[k] = &CodeCount{Code: f.Code, Run: f.Run, Example: f.Detail}
	}
	t.codes[k].Count++
}

func (x *tier) whole(o Outcome) {
	x.report.Whole++
	if o.Took <= o.Arrival.Deadline {
		x.report.InTime++
	}
	// Values above the largest are left out of the histogram, not of the counts.
	_ = x.answer.RecordValue(max(1, o.Took.Microseconds()))
	_ = x.first.RecordValue(max(1, o.First.Microseconds()))
}

// Report sums up what was added, over the time in which requests arrived.
func (t *Tally) Report(d time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Seconds: d.Seconds(), Errors: slices.Clone(t.errors)}
	for _, x := range t.tiers {
		line := x.report
		line.Goodput = float64(line.InTime) / d.Seconds()
		line.Answer, line.First = latency(x.answer), latency(x.first)
		r.Tiers = append(r.Tiers, line)
		r.Sent += line.Sent
		r.Whole += line.Whole
		r.InTime += line.InTime
		r.Refused += line.Refused
		r.Failed += line.Failed
	}
	slices.SortFunc(r.Tiers, func(a, b TierReport) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, c := range t.codes {
		r.Codes = append(r.Codes, *c)
	}
	slices.SortFunc(r.Codes, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Run, b.Run))
	})
	return r
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max()),
	}
}
