// Package why explains in sentences how a request was handled, from its record.
package why

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

const timeLayout = "2006-01-02T15:04:05.000Z"

// Explanation describes how a request was handled.
type Explanation struct {
	// Lines are sentences in chronological order.
	Lines []string
	// Considered lists the considered targets. It is nil if there were none.
	Considered *table.Table
}

// Explain explains the record.
func Explain(r *fireflypath.Record) *Explanation {
	e := &Explanation{}
	e.addArrival(r)
	e.addWaiting(r)
	e.addPlacement(r)
	e.addEnd(r)
	e.Considered = candidateTable(r)
	return e
}

func (e *Explanation) add(format string, args ...any) {
	e.Lines = append(e.Lines, fmt.Sprintf(format, args...))
}

func (e *Explanation) addArrival(r *fireflypath.Record) {
	e.add("request %s of team %s, tier %s, pool %s", r.ID, orUnknown(r.Team), orUnknown(r.Tier), orUnknown(r.Pool))
	e.add("came %s, deadline %s later", r.Arrived.UTC().Format(timeLayout), elapsed(r.Arrived, r.Deadline))
	e.add("estimated at %d prompt and at most %d output tokens", r.Cost.Prompt, r.Cost.MaxOutput)
	e.add("decided under configuration generation %d%s", r.Generation, rulePhrase(r))
}

func rulePhrase(r *fireflypath.Record) string {
	if r.Rule == "" {
		return ", no rule matched"
	}
	return ", by rule " + r.Rule
}

func (e *Explanation) addWaiting(r *fireflypath.Record) {
	switch {
	case r.Ahead > 0 && r.Target == "" && !r.Ended.IsZero():
		e.add("%d requests waited in its pool when it came", r.Ahead)
	case r.Ahead > 0:
		e.add("%d requests stood before it in the queue", r.Ahead)
	}
	if len(r.Unsent) > 0 {
		e.add("attempts of which no byte was sent, so that it waited again: %s", strings.Join(r.Unsent, ", "))
	}
	if r.Relief != "" {
		e.add("relief round among the daemons: %s", r.Relief)
	}
}

func (e *Explanation) addPlacement(r *fireflypath.Record) {
	if r.Target == "" && r.Ended.IsZero() {
		return
	}
	if r.Target == "" {
		e.add("sent to no target")
		return
	}
	e.add("sent to %s after waiting %s%s", r.Target, elapsed(r.Arrived, r.Dispatched), choicePhrase(r))
	if !r.FirstOutput.IsZero() {
		e.add("first output %s after it was sent", elapsed(r.Dispatched, r.FirstOutput))
	}
	if r.Resumes > 0 {
		e.add("its answer was resumed on %d new connections; it was not sent again", r.Resumes)
	}
}

func choicePhrase(r *fireflypath.Record) string {
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

func (e *Explanation) addEnd(r *fireflypath.Record) {
	if !r.Ended.IsZero() {
		e.add("ended as %s %s after it came, %d output tokens", r.State, elapsed(r.Arrived, r.Ended), r.Tokens)
	}
	if r.Ended.IsZero() {
		e.add("it has not ended: %s", r.State)
	}
	refusal := r.Refusal
	if refusal == nil {
		return
	}
	e.add("refused as %s: %s", refusal.Code, refusal.Detail)
	switch refusal.Run {
	case fireflypath.RunNo:
		e.add("it did not run and will not")
	default:
		e.add("it was sent to a target, so it may have run")
	}
	if refusal.RetryAfter > 0 {
		e.add("the caller was told to come back after %s", table.Dur(refusal.RetryAfter).String(table.Duration))
	}
}

// candidateTable lists the candidates as they were when the decision was made.
func candidateTable(r *fireflypath.Record) *table.Table {
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
		t.Rows = append(t.Rows, candidateRow(r, &r.Considered[i]))
	}
	return t
}

// candidateRow returns the row of a candidate. For a refused request, targets were not scored, so
// there is no cache hit and no score. A target that never reported has no reported load.
func candidateRow(r *fireflypath.Record, c *fireflypath.Candidate) table.Row {
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

func orUnknown(name string) string {
	if name == "" {
		return "(unknown)"
	}
	return name
}

func elapsed(from, to time.Time) string {
	return table.Between(from, to).String(table.Duration)
}
