// Package why tells a request's record in sentences.
package why

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

const stamp = "2006-01-02T15:04:05.000Z"

// Explanation is what happened to a request.
type Explanation struct {
	// Lines are sentences in the order of events.
	Lines []string
	// Considered is the weighing of targets, nil if there was none.
	Considered *table.Table
}

// Explain tells the record.
func Explain(r *fireflypath.Record) *Explanation {
	s := &Explanation{}
	s.arrival(r)
	s.waiting(r)
	s.placement(r)
	s.end(r)
	s.Considered = considered(r)
	return s
}

func (s *Explanation) add(format string, args ...any) {
	s.Lines = append(s.Lines, fmt.Sprintf(format, args...))
}

func (s *Explanation) arrival(r *fireflypath.Record) {
	s.add("request %s of team %s, tier %s, pool %s", r.ID, or(r.Team), or(r.Tier), or(r.Pool))
	s.add("came %s, deadline %s later", r.Arrived.UTC().Format(stamp), span(r.Arrived, r.Deadline))
	s.add("estimated at %d prompt and at most %d output tokens", r.Cost.Prompt, r.Cost.MaxOutput)
	s.add("decided under configuration generation %d%s", r.Generation, ruled(r))
}

func ruled(r *fireflypath.Record) string {
	if r.Rule == "" {
		return ", no rule matched"
	}
	return ", by rule " + r.Rule
}

func (s *Explanation) waiting(r *fireflypath.Record) {
	switch {
	case r.Ahead > 0 && r.Target == "" && !r.Ended.IsZero():
		s.add("%d requests waited in its pool when it came", r.Ahead)
	case r.Ahead > 0:
		s.add("%d requests stood before it in the queue", r.Ahead)
	}
	if len(r.Unsent) > 0 {
		s.add("attempts of which no byte was sent, so that it waited again: %s", strings.Join(r.Unsent, ", "))
	}
	if r.Relief != "" {
		s.add("relief round among the daemons: %s", r.Relief)
	}
}

func (s *Explanation) placement(r *fireflypath.Record) {
	if r.Target == "" && r.Ended.IsZero() {
		return
	}
	if r.Target == "" {
		s.add("sent to no target")
		return
	}
	s.add("sent to %s after waiting %s%s", r.Target, span(r.Arrived, r.Dispatched), choice(r))
	if !r.FirstOutput.IsZero() {
		s.add("first output %s after it was sent", span(r.Dispatched, r.FirstOutput))
	}
	if r.Resumes > 0 {
		s.add("its answer was resumed on %d new connections; it was not sent again", r.Resumes)
	}
}

func choice(r *fireflypath.Record) string {
	usable, skipped := 0, 0
	for _, c := range r.Considered {
		if c.SkipReason == "" {
			usable++
		} else {
			skipped++
		}
	}
	if usable+skipped == 0 {
		return ""
	}
	return fmt.Sprintf(": the lowest score of %d usable targets, %d could not be used", usable, skipped)
}

func (s *Explanation) end(r *fireflypath.Record) {
	if !r.Ended.IsZero() {
		s.add("ended as %s %s after it came, %d output tokens", r.State, span(r.Arrived, r.Ended), r.Tokens)
	}
	if r.Ended.IsZero() {
		s.add("it has not ended: %s", r.State)
	}
	ref := r.Refusal
	if ref == nil {
		return
	}
	s.add("refused as %s: %s", ref.Code, ref.Detail)
	switch ref.Run {
	case fireflypath.RunNo:
		s.add("it did not run and will not")
	default:
		s.add("it was sent to a target, so it may have run")
	}
	if ref.RetryAfter > 0 {
		s.add("the caller was told to come back after %s", table.Dur(ref.RetryAfter).String(table.Duration))
	}
}

// considered lists the candidates with their figures at the decision.
func considered(r *fireflypath.Record) *table.Table {
	if len(r.Considered) == 0 {
		return nil
	}
	t := &table.Table{Columns: []table.Column{
		{Name: "target", Kind: table.Text},
		{Name: "chosen", Kind: table.Bool},
		{Name: "held", Kind: table.Number},
		{Name: "reported", Kind: table.Number},
		{Name: "age", Kind: table.Duration},
		{Name: "window", Kind: table.Number},
		{Name: "hit", Kind: table.Number},
		{Name: "score", Kind: table.Duration},
		{Name: "skip", Kind: table.Text},
	}}
	for i := range r.Considered {
		t.Rows = append(t.Rows, row(r, &r.Considered[i]))
	}
	return t
}

// row shows a candidate. A request that was given up was not weighed: it has no
// hit and no score. A target that has not reported has no load.
func row(r *fireflypath.Record, c *fireflypath.Candidate) table.Row {
	none := table.Cell{Empty: true}
	reported, hit, score := table.Num(c.Reported), table.Num(c.CachedPrompt), table.Num(c.Score)
	if r.Target == "" {
		reported, hit, score = none, none, none
	}
	if table.Age(c.Age).Empty {
		reported = none
	}
	return table.Row{
		table.Str(c.Target), table.Flag(c.Target == r.Target), table.Num(c.InFlight),
		reported, table.Age(c.Age), table.Num(c.Window), hit, score, table.Str(c.SkipReason),
	}
}

func or(name string) string {
	if name == "" {
		return "(unknown)"
	}
	return name
}

func span(from, to time.Time) string {
	return table.Between(from, to).String(table.Duration)
}
