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
	// SettleSearchLines is how far back a command is looked for: two hours at the
	// letter's 4,200 changes a day, and no further than a Committer looks.
	SettleSearchLines = 384
	// settleSkew is how much the clock of the client that made an id may be off.
	settleSkew = 5 * time.Minute
)

// ResultOrdered is the result in an order's first line, written before it is sent.
const ResultOrdered = "ordered"

// RefusalLineID is the id of a refused command's line in the trail. It is not the
// command's own: a commit that finds its id in the trail takes it for done.
func RefusalLineID(id string) string {
	return id + "/refused"
}

// ResultLineID is the id of the line with an order's result.
func ResultLineID(id string) string {
	return id + "/result"
}

// settle tells the fate of a command from the trail.
func (e *Evaluator) settle(ctx context.Context, id string, a *Result) error {
	c, err := e.src.Committer.FindCommit(ctx, id)
	missing := errors.Is(err, fireflypath.ErrNotFound)
	if err != nil && !missing {
		return errors.Wrapf(ErrAuditTrail, "command %s: %v", id, err)
	}
	lines, terr := e.src.Committer.Trail(ctx, SettleSearchLines)
	if terr != nil {
		return errors.Wrapf(ErrAuditTrail, "command %s: %v", id, terr)
	}
	if missing {
		a.Lines = []string{undone(lines, id)}
		return nil
	}
	if result(lines, id, "") == ResultOrdered {
		a.Lines = []string{"ordered: " + result(lines, ResultLineID(id), "the trail holds no result, the target may or may not have taken it")}
		return nil
	}
	a.Commit = &c
	a.Lines = []string{fmt.Sprintf("done: in force from generation %d", c.Generation)}
	return nil
}

// undone tells of a command that was not found. One made before the oldest line
// that was looked at may have been done: saying that it was not would be untrue.
func undone(lines []fireflypath.AuditLine, id string) string {
	if why := result(lines, RefusalLineID(id), ""); why != "" {
		return "not done: " + why
	}
	made, err := ulid.ParseStrict(id)
	if err != nil {
		return "not done: the trail holds no command " + id
	}
	if n := len(lines); n == SettleSearchLines && ulid.Time(made.Time()).Before(lines[n-1].At.Add(settleSkew)) {
		return fmt.Sprintf("unknown: command %s is older than the %d newest lines of the trail", id, n)
	}
	return "not done: the trail holds no command " + id
}

// result is the result in the line with an id, or the words for none.
func result(lines []fireflypath.AuditLine, id, none string) string {
	i := slices.IndexFunc(lines, func(l fireflypath.AuditLine) bool { return l.ID == id })
	if i < 0 {
		return none
	}
	return lines[i].Result
}
