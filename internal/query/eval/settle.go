package eval

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// settleLines bounds where the line of a refusal or an order is looked for: an
// hour at the letter's 4,200 changes a day. Changes themselves are found by
// the Committer, however old.
const settleLines = 175

// Ordered is the result in an order's first line, written before it is sent.
const Ordered = "ordered"

// RefusedID is the id of a refused command's line in the trail. It is not the
// command's own: a commit that finds its id in the trail takes it for done.
func RefusedID(id string) string {
	return id + "/refused"
}

// ResultID is the id of the line with an order's result.
func ResultID(id string) string {
	return id + "/result"
}

// settle tells the fate of a command from the trail.
func (e *Evaluator) settle(ctx context.Context, id string, a *Answer) error {
	c, err := e.src.Committer.Settle(ctx, id)
	missing := errors.Is(err, fireflypath.ErrNotFound)
	if err != nil && !missing {
		return errors.Wrapf(ErrTrail, "command %s: %v", id, err)
	}
	lines, terr := e.src.Committer.Trail(ctx, settleLines)
	if terr != nil {
		return errors.Wrapf(ErrTrail, "command %s: %v", id, terr)
	}
	if missing {
		a.Lines = []string{"not done: " + result(lines, RefusedID(id), "the trail holds no command "+id)}
		return nil
	}
	if result(lines, id, "") == Ordered {
		a.Lines = []string{"ordered: " + result(lines, ResultID(id), "the trail holds no result, the target may or may not have taken it")}
		return nil
	}
	a.Commit = &c
	a.Lines = []string{fmt.Sprintf("done: in force from generation %d", c.Generation)}
	return nil
}

// result is the result in the line with an id, or the words for none.
func result(lines []fireflypath.AuditLine, id, none string) string {
	i := slices.IndexFunc(lines, func(l fireflypath.AuditLine) bool { return l.ID == id })
	if i < 0 {
		return none
	}
	return lines[i].Result
}
