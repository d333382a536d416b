package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/oklog/ulid/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/check"
	"github.com/fireflypath/fireflypath/internal/command"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/plan"
	"github.com/fireflypath/fireflypath/internal/query/eval"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

// httpStatuses maps outcomes to HTTP status codes. Clients rely on the outcome in
// the body.
var httpStatuses = map[wire.Outcome]int{
	wire.OutcomeDone:        fiber.StatusOK,
	wire.OutcomePlanned:     fiber.StatusOK,
	wire.OutcomeRefused:     fiber.StatusConflict,
	wire.OutcomeUnavailable: fiber.StatusServiceUnavailable,
	wire.OutcomeInvalid:     fiber.StatusBadRequest,
	wire.OutcomeUnknown:     fiber.StatusGatewayTimeout,
}

func (a *API) handleCommand(c fiber.Ctx) error {
	operator, err := a.authenticate(c)
	if operator == nil {
		return err
	}
	var req wire.CommandRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return a.respond(c, invalidResult(wire.CommandResult{}, "the body is no command: "+err.Error()))
	}
	result := wire.CommandResult{ID: req.ID}
	id, err := ulid.ParseStrict(req.ID)
	if err != nil {
		return a.respond(c, invalidResult(result, "the command's id is not a ULID"))
	}
	script, err := command.Parse(req.Text)
	if err != nil {
		return a.respond(c, syntaxErrorResult(result, err))
	}
	if script.Base == 0 {
		script.Base = req.Base
	}
	ctx, cancel := context.WithTimeout(c.Context(), commandTimeout)
	defer cancel()
	if needed := requiredRole(script); !allows(operator.Role, needed) {
		result.Outcome = wire.OutcomeRefused
		result.Detail = fmt.Sprintf("operator %s has the role %s; this needs %s", operator.Name, operator.Role, needed)
		return a.respond(c, a.auditRefusal(ctx, operator.Name, req, result))
	}
	if a.predatesAuditTrail(ctx, id) {
		result.Outcome = wire.OutcomeRefused
		result.Detail = "the id is older than the trail that is looked through, so the command may have been done: look, and give it anew"
		return a.respond(c, result)
	}
	return a.respond(c, a.execute(ctx, operator.Name, req, script))
}

// recentIDAge is the age up to which an ID is certainly within the searched part of the
// audit trail, so that predatesAuditTrail does not need to read it.
const recentIDAge = time.Minute

// predatesAuditTrail reports whether an ID was created before the oldest audit line
// that a committer searches for repeated IDs. Repeating such a command could execute
// it twice.
func (a *API) predatesAuditTrail(ctx context.Context, id ulid.ULID) bool {
	createdAt := ulid.Time(id.Time())
	if a.deps.Clock.Now().Sub(createdAt) < recentIDAge {
		return false
	}
	// The error is ignored: if the trail is unreadable, the commit fails too.
	lines, _ := a.deps.Committer.Trail(ctx, eval.SettleSearchLines)
	n := len(lines)
	return n == eval.SettleSearchLines && createdAt.Before(lines[n-1].At)
}

func requiredRole(s *command.Script) fireflypath.Role {
	switch {
	case s.Order != nil:
		return fireflypath.RoleOrder
	case s.Plan:
		return fireflypath.RoleAsk
	default:
		return fireflypath.RoleChange
	}
}

func (a *API) respond(c fiber.Ctx, result wire.CommandResult) error {
	a.metrics.outcomes.Counter(string(result.Outcome)).Inc(1)
	return c.Status(httpStatuses[result.Outcome]).JSON(result)
}

func (a *API) execute(ctx context.Context, operator string, req wire.CommandRequest, s *command.Script) wire.CommandResult {
	switch {
	case s.Plan:
		return a.planChange(req, s)
	case s.Order != nil:
		return a.sendOrder(ctx, operator, req, s)
	default:
		return a.commitChange(ctx, operator, req, s)
	}
}

func (a *API) planChange(req wire.CommandRequest, s *command.Script) wire.CommandResult {
	result := wire.CommandResult{ID: req.ID}
	old := a.deps.Configs.Current()
	result.Generation = old.Generation
	if s.Order != nil {
		result.Outcome = wire.OutcomePlanned
		result.Plan = &plan.Plan{Lines: []string{fmt.Sprintf("order %s %s to target %s", s.Order.Kind, s.Order.Value, s.Order.Target)}}
		return result
	}
	if s.Base != 0 && s.Base != old.Generation {
		result.Outcome = wire.OutcomeRefused
		result.Detail = fmt.Sprintf("it was written against generation %d, and %d is in force here", s.Base, old.Generation)
		return result
	}
	next, err := s.Apply(old, a.deps.Clock.Now())
	if err != nil {
		return refusedResult(result, err)
	}
	result.Outcome, result.Plan = wire.OutcomePlanned, plan.Compare(old, next)
	return result
}

func (a *API) commitChange(ctx context.Context, operator string, req wire.CommandRequest, s *command.Script) wire.CommandResult {
	now := a.deps.Clock.Now()
	commit, err := a.deps.Committer.Commit(ctx, fireflypath.Change{
		ID: req.ID, Operator: operator, Command: req.Text, Base: s.Base,
		Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) { return s.Apply(old, now) },
	})
	result := wire.CommandResult{ID: req.ID, Generation: commit.Generation, Repeated: commit.Repeated, ConflictingID: commit.ConflictingID}
	switch {
	case err == nil && commit.ConflictingID == "":
		return a.verifyRepeat(ctx, result, req.Text)
	case commit.ConflictingID != "":
		result = a.describeConflict(ctx, result, s.Base)
	case errors.Is(err, fireflypath.ErrUnknown):
		result.Outcome = wire.OutcomeUnknown
		result.Detail = "it may or may not be in force: " + err.Error()
		return result
	case isTransient(ctx, err):
		result.Outcome = wire.OutcomeUnavailable
		result.Detail = "nothing was changed: " + err.Error()
		return result
	default:
		result = refusedResult(result, err)
	}
	return a.auditRefusal(ctx, operator, req, result)
}

// verifyRepeat refuses a repeated ID whose earlier command had a different text. A
// script that uses one ID for two commands would otherwise be told that the second
// was executed.
func (a *API) verifyRepeat(ctx context.Context, result wire.CommandResult, text string) wire.CommandResult {
	result.Outcome = wire.OutcomeDone
	if !result.Repeated {
		return result
	}
	lines, _ := a.deps.Committer.Trail(ctx, repeatAuditLines)
	for _, l := range lines {
		if l.ID == result.ID && l.Command != text {
			result.Outcome = wire.OutcomeRefused
			result.Detail = "the id was used before, for another command: " + l.Command
		}
	}
	return result
}

// repeatAuditLines is the number of audit lines searched for the text of a repeated
// command. It covers one hour at 4,200 changes a day.
const repeatAuditLines = 175

func (a *API) auditRefusal(ctx context.Context, operator string, req wire.CommandRequest, result wire.CommandResult) wire.CommandResult {
	result.AuditFailed = a.audit(ctx, eval.RefusalLineID(req.ID), operator, req.Text, "refused: "+result.Detail) != nil
	return result
}

// isTransient reports whether a command that failed with err may succeed later.
func isTransient(ctx context.Context, err error) bool {
	return errors.IsAny(err, fireflypath.ErrUnavailable, fireflypath.ErrLimited, fireflypath.ErrConflict,
		context.DeadlineExceeded, context.Canceled) || ctx.Err() != nil
}

// describeConflict names the change that was committed first, with its author and
// text if they are in the audit trail.
func (a *API) describeConflict(ctx context.Context, result wire.CommandResult, base uint64) wire.CommandResult {
	result.Outcome = wire.OutcomeRefused
	result.Detail = fmt.Sprintf("generation %d is no longer in force: change %s was committed first", base, result.ConflictingID)
	lines, _ := a.deps.Committer.Trail(ctx, conflictAuditLines)
	for _, l := range lines {
		if l.ID == result.ConflictingID {
			result.Detail += fmt.Sprintf(" by %s: %s", l.Operator, l.Command)
		}
	}
	return result
}

// conflictAuditLines is the number of audit lines searched for the change that was
// committed first.
const conflictAuditLines = 64

func refusedResult(result wire.CommandResult, err error) wire.CommandResult {
	result.Outcome = wire.OutcomeRefused
	result.Detail = err.Error()
	if problems, ok := check.AsProblems(err); ok {
		result.Problems = problems
		result.Detail = problems.Error()
	}
	return result
}

func invalidResult(result wire.CommandResult, detail string) wire.CommandResult {
	result.Outcome, result.Detail = wire.OutcomeInvalid, detail
	return result
}

func syntaxErrorResult(result wire.CommandResult, err error) wire.CommandResult {
	result = invalidResult(result, err.Error())
	var syntaxErr *syntax.Error
	if errors.As(err, &syntaxErr) {
		result.Syntax = syntaxErr
	}
	return result
}

// audit appends an audit line for a command that did not change the configuration.
func (a *API) audit(ctx context.Context, id, operator, text, result string) error {
	return a.deps.Committer.AppendAudit(ctx, fireflypath.AuditLine{
		ID: id, At: a.deps.Clock.Now().UTC(), Operator: operator, Command: text, Result: result,
	})
}
