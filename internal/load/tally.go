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
	// maxLatency is the highest latency that the histograms record; it is above the
	// deadlines of all mixes.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of latencies; 3 digits are more precise than runs
	// are reproducible.
	significantDigits = 3
	// maxErrors limits the number of error messages in a report.
	maxErrors = 5
)

// Report summarizes a run.
type Report struct {
	// Seconds is the length of the period in which requests arrived.
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	Whole   int     `json:"whole"`
	InTime  int     `json:"in_time"`
	Refused int     `json:"refused"`
	// Failed counts requests that got neither an answer nor a refusal.
	Failed int          `json:"failed"`
	Tiers  []TierReport `json:"tiers"`
	Codes  []CodeCount  `json:"codes"`
	// Errors lists the first error messages.
	Errors []string `json:"errors,omitempty"`
}

// TierReport summarizes a tier. Latencies are in milliseconds from the scheduled
// arrival to the end of complete answers, or to their first byte.
type TierReport struct {
	Tier    string `json:"tier"`
	Rank    int    `json:"rank"`
	Sent    int    `json:"sent"`
	Whole   int    `json:"whole"`
	InTime  int    `json:"in_time"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	// Goodput is the number of answers per second that met their deadline.
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

// CodeCount counts the refusals with the same code and run state.
type CodeCount struct {
	Code  fireflypath.Reason `json:"code"`
	Run   fireflypath.Run    `json:"run"`
	Count int                `json:"count"`
	// Example is the detail of the first of them.
	Example string `json:"example"`
}

type refusalKey struct {
	code fireflypath.Reason
	run  fireflypath.Run
}

// Tally collects outcomes. It is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	tiers  map[int]*tierStats
	codes  map[refusalKey]*CodeCount
	errors []string
}

type tierStats struct {
	report TierReport
	answer *hdrhistogram.Histogram
	first  *hdrhistogram.Histogram
}

// NewTally returns an empty tally for a mix.
func NewTally(m mix.Mix) *Tally {
	t := &Tally{tiers: make(map[int]*tierStats), codes: make(map[refusalKey]*CodeCount)}
	for _, tier := range m.Tiers {
		t.tiers[tier.Rank] = &tierStats{
			report: TierReport{Tier: tier.Name, Rank: tier.Rank},
			answer: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
			first:  hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		}
	}
	return t
}

// Add counts an outcome.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.tiers[o.Arrival.Rank]
	stats.report.Sent++
	switch {
	case o.Whole:
		stats.addWhole(o)
	case o.Refusal != nil:
		stats.report.Refused++
		t.addRefusal(o.Refusal)
	default:
		stats.report.Failed++
		if len(t.errors) < maxErrors {
			t.errors = append(t.errors, o.Err.Error())
		}
	}
}

func (t *Tally) addRefusal(f *fireflypath.Refusal) {
	k := refusalKey{f.Code, f.Run}
	if t.codes[k] == nil {
		t.codes[k] = &CodeCount{Code: f.Code, Run: f.Run, Example: f.Detail}
	}
	t.codes[k].Count++
}

func (s *tierStats) addWhole(o Outcome) {
	s.report.Whole++
	if o.Took <= o.Arrival.Deadline {
		s.report.InTime++
	}
	// The histograms reject values above maxLatency; the counters include them.
	_ = s.answer.RecordValue(max(1, o.Took.Microseconds()))
	_ = s.first.RecordValue(max(1, o.First.Microseconds()))
}

// Report summarizes the outcomes so far; d is the length of the period in which
// requests arrived.
func (t *Tally) Report(d time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Seconds: d.Seconds(), Errors: slices.Clone(t.errors)}
	for _, stats := range t.tiers {
		report := stats.report
		report.Goodput = float64(report.InTime) / d.Seconds()
		report.Answer, report.First = latency(stats.answer), latency(stats.first)
		r.Tiers = append(r.Tiers, report)
		r.Sent += report.Sent
		r.Whole += report.Whole
		r.InTime += report.InTime
		r.Refused += report.Refused
		r.Failed += report.Failed
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
