package eval

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/fireflypath/fireflypath"
)

const (
	// SettleSearchLines is the number of audit lines that are searched for a command: two hours
	// at the required 4,200 changes per day, and no more than a Committer searches.
	SettleSearchLines = 384
	// maxClockSkew is the assumed maximum clock error of the client that generated an id.
	maxClockSkew = 5 * time.Minute
)

// ResultOrdered is the result in the first audit line of an order, written before the order is sent.
const ResultOrdered = "ordered"

// RefusalLineID returns the id of the audit line of a refused command. It differs from the
// command's id: a commit that finds its own id in the trail assumes that it was done.
func RefusalLineID(id string) string {
	return id + "/refused"
}

// ResultLineID returns the id of the audit line with an order's result.
func ResultLineID(id string) string {
	return id + "/result"
}

// settle determines the outcome of a command from the audit trail.
func (e *Evaluator) settle(ctx context.Context, id string, res *Result) error {
	c, err := e.src.Committer.FindCommit(ctx, id)
	missing := errors.Is(err, fireflypath.ErrNotFound)
	if err != nil && !missing {
		return errors.Wrapf(ErrAuditTrail, "command %s: %v", id, err)
	}
	lines, trailErr := e.src.Committer.Trail(ctx, SettleSearchLines)
	if trailErr != nil {
		return errors.Wrapf(ErrAuditTrail, "command %s: %v", id, trailErr)
	}
	if missing {
		res.Lines = []string{describeNotDone(lines, id)}
		return nil
	}
	if lineResult(lines, id, "") == ResultOrdered {
		res.Lines = []string{"ordered: " + lineResult(lines, ResultLineID(id), "the trail holds no result, the target may or may not have taken it")}
		return nil
	}
	res.Commit = &c
	res.Lines = []string{fmt.Sprintf("done: in force from generation %d", c.Generation)}
	return nil
}

// describeNotDone describes the outcome of a command that was not found. A command that is older
// than the oldest line read may have been done, so that its outcome is reported as unknown.
func describeNotDone(lines []fireflypath.AuditLine, id string) string {
	if refusal := lineResult(lines, RefusalLineID(id), ""); refusal != "" {
		return "not done: " + refusal
	}
	parsed, err := ulid.ParseStrict(id)
	if err != nil {
		return "not done: the trail holds no command " + id
	}
	if n := len(lines); n == SettleSearchLines && ulid.Time(parsed.Time()).Before(lines[n-1].At.Add(maxClockSkew)) {
		return fmt.Sprintf("unknown: command %s is older than the %d newest lines of the trail", id, n)
	}
	return "not done: the trail holds no command " + id
}

// lineResult returns the result in the line with the id, or none if there is no such line.
func lineResult(lines []fireflypath.AuditLine, id, none string) string {
	i := slices.IndexFunc(lines, func(l fireflypath.AuditLine) bool { return l.ID == id })
	if i < 0 {
		return none
	}
	return lines[i].Result
}
