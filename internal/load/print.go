package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const tableHeader = "tier\tsent\twhole\tin time\trefused\tfailed\tgoodput/s\tp50 ms\tp95 ms\tp99 ms\tfirst p50\tfirst p95\t\n"

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	rows := []byte(tableHeader)
	for _, tier := range r.Tiers {
		rows = fmt.Appendf(rows, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			tier.Tier, tier.Sent, tier.Whole, tier.InTime, tier.Refused, tier.Failed, tier.Goodput,
			tier.Answer.P50, tier.Answer.P95, tier.Answer.P99, tier.First.P50, tier.First.P95)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := t.Write(rows); err != nil {
		return err
	}
	if err := t.Flush(); err != nil {
		return err
	}
	var footer []byte
	for _, c := range r.Codes {
		footer = fmt.Appendf(footer, "refused as %s, run %s: %d (%s)\n", c.Code, c.Run, c.Count, c.Example)
	}
	for _, e := range r.Errors {
		footer = fmt.Appendf(footer, "failed: %s\n", e)
	}
	footer = fmt.Appendf(footer, "load: sent=%d whole=%d in_time=%d refused=%d failed=%d\n",
		r.Sent, r.Whole, r.InTime, r.Refused, r.Failed)
	_, err := w.Write(footer)
	return err
}
