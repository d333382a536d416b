package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fireflypath/fireflypath/internal/load"
)

// Report compares what callers received with the counters of the targets.
type Report struct {
	// Load is what callers received; its Failed count equals Lost.
	Load load.Report `json:"load"`
	// Lost counts requests whose callers finally got neither a complete answer nor a
	// refusal.
	Lost int `json:"lost"`
	// Duplicates counts request IDs that were sent to targets more than once, and
	// request IDs and idempotency keys that targets ran more than once.
	Duplicates int `json:"twice"`
	// FalseRefusals counts refusals that state that the request did not run although it
	// did.
	FalseRefusals int `json:"untrue"`
	// SentAfterLeaving counts the requests sent to the leaving target later than 3 s
	// after it began to leave; -1 if the demo ended before that.
	SentAfterLeaving int `json:"late"`
	// Prefill is the number of prompt tokens prefilled, Wasted that of those prefilled
	// for nothing.
	Prefill int `json:"prefill"`
	Wasted  int `json:"wasted"`
	// Tiers split Wasted by tier; the tier is empty if no caller received the request's
	// ID.
	Tiers []TierWaste `json:"tiers"`
}

// TierWaste is the wasted prefill of a tier's requests.
type TierWaste struct {
	Tier   string `json:"tier"`
	Wasted int    `json:"wasted"`
}

// Passed reports whether no request was lost, run twice or wrongly reported as not run.
func (r Report) Passed() bool {
	return r.Lost == 0 && r.Duplicates == 0 && r.FalseRefusals == 0
}

// audit compares the counters of the targets with what callers received.
func (d *Demo) audit() Report {
	l := d.tally.Report(d.options.Duration)
	r := Report{Load: l, Lost: l.Failed, SentAfterLeaving: -1}
	dispatches, runs, keys, waste := make(map[string]int), make(map[string]int), make(map[string]int), make(map[string]int)
	for _, e := range d.engines {
		c := e.Counts()
		addCounts(dispatches, c.Dispatches)
		addCounts(runs, c.Runs)
		for id, n := range c.Waste {
			waste[d.callers.tiers[id]] += n
		}
		r.Prefill += c.Prefill
		r.Wasted += c.Wasted
	}
	for _, s := range d.services {
		c := s.Counts()
		addCounts(dispatches, c.Dispatches)
		addCounts(runs, c.Runs)
		addCounts(keys, c.Keys)
	}
	r.Duplicates = countDuplicates(dispatches, runs) + countDuplicates(keys)
	for _, id := range d.callers.notRun {
		r.FalseRefusals += min(1, runs[id])
	}
	for _, t := range d.options.Mix.Tiers {
		r.Tiers = append(r.Tiers, TierWaste{t.Name, waste[t.Name]})
	}
	r.Tiers = append(r.Tiers, TierWaste{"", waste[""]})
	if t := d.leaving.target; t != nil && d.leaving.dispatchesAtLimit >= 0 {
		r.SentAfterLeaving = sumCounts(t.Counts().Dispatches) - d.leaving.dispatchesAtLimit
	}
	return r
}

func addCounts(all, more map[string]int) {
	for k, n := range more {
		all[k] += n
	}
}

// countDuplicates returns the number of names that any of the maps counts more than
// once.
func countDuplicates(counts ...map[string]int) int {
	names := make(map[string]bool)
	for _, m := range counts {
		for k, n := range m {
			if n > 1 {
				names[k] = true
			}
		}
	}
	return len(names)
}

const header = "tier\tsent\twhole\tin time\trefused\tlost\tgoodput/s\tp50 ms\tp95 ms\twasted prefill\t\n"

// Print writes the report as a table, followed by a last line for scripts.
func (r Report) Print(w io.Writer) error {
	rows := []byte(header)
	for i, x := range r.Load.Tiers {
		rows = fmt.Appendf(rows, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%d\t\n",
			x.Tier, x.Sent, x.Whole, x.InTime, x.Refused, x.Failed, x.Goodput, x.Answer.P50, x.Answer.P95, r.Tiers[i].Wasted)
	}
	rows = fmt.Appendf(rows, "(id unknown)\t\t\t\t\t\t\t\t\t%d\t\n", r.Tiers[len(r.Tiers)-1].Wasted)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := t.Write(rows); err != nil {
		return err
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := w.Write(r.lines())
	return err
}

func (r Report) lines() []byte {
	var b []byte
	for _, c := range r.Load.Codes {
		b = fmt.Appendf(b, "refused as %s, run %s: %d (%s)\n", c.Code, c.Run, c.Count, c.Example)
	}
	for _, e := range r.Load.Errors {
		b = fmt.Appendf(b, "lost: %s\n", e)
	}
	b = fmt.Appendf(b, "prefill: %d tokens, %d wasted (%.1f%%)\n",
		r.Prefill, r.Wasted, 100*float64(r.Wasted)/float64(max(1, r.Prefill)))
	b = fmt.Appendf(b, "refused as not run, but ran: %d\n", r.FalseRefusals)
	if r.SentAfterLeaving >= 0 {
		b = fmt.Appendf(b, "sent to the leaving target after 3 s: %d\n", r.SentAfterLeaving)
	}
	return fmt.Appendf(b, "demo: sent=%d whole=%d refused=%d lost=%d twice=%d\n",
		r.Load.Sent, r.Load.Whole, r.Load.Refused, r.Lost, r.Duplicates)
}
