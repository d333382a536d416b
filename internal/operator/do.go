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

// statuses maps outcomes to HTTP; the body's outcome is what counts.
var statuses = map[wire.Outcome]int{
	wire.OutcomeDone:        fiber.StatusOK,
	wire.OutcomePlanned:     fiber.StatusOK,
	wire.OutcomeRefused:     fiber.StatusConflict,
	wire.OutcomeUnavailable: fiber.StatusServiceUnavailable,
	wire.OutcomeInvalid:     fiber.StatusBadRequest,
	wire.OutcomeUnknown:     fiber.StatusGatewayTimeout,
}

func (a *API) do(c fiber.Ctx) error {
	who, err := a.operator(c)
	if who == nil {
		return err
	}
	var req wire.CommandRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return a.finish(c, bad(wire.CommandResult{}, "the body is no command: "+err.Error()))
	}
	done := wire.CommandResult{ID: req.ID}
	id, err := ulid.ParseStrict(req.ID)
	if err != nil {
		return a.finish(c, bad(done, "the command's id is not a ULID"))
	}
	script, err := command.Parse(req.Text)
	if err != nil {
		return a.finish(c, unparsed(done, err))
	}
	if script.Base == 0 {
		script.Base = req.Base
	}
	ctx, cancel := context.WithTimeout(c.Context(), doTimeout)
	defer cancel()
	if need := needed(script); !may(who.Role, need) {
		done.Outcome = wire.OutcomeRefused
		done.Detail = fmt.Sprintf("operator %s has the role %s; this needs %s", who.Name, who.Role, need)
		return a.finish(c, a.noteRefusal(ctx, who.Name, req, done))
	}
	if a.stale(ctx, id) {
		done.Outcome = wire.OutcomeRefused
		done.Detail = "the id is older than the trail that is looked through, so the command may have been done: look, and give it anew"
		return a.finish(c, done)
	}
	return a.finish(c, a.run(ctx, who.Name, req, script))
}

// fresh is the age up to which an id is certainly within reach of the trail.
const fresh = time.Minute

// stale is true for an id that was made before the oldest line a committer looks
// through. Repeating such a command could do it twice.
func (a *API) stale(ctx context.Context, id ulid.ULID) bool {
	made := ulid.Time(id.Time())
	if a.deps.Clock.Now().Sub(made) < fresh {
		return false
	}
	// Without the trail nothing is committed either.
	lines, _ := a.deps.Committer.Trail(ctx, eval.SettleLines)
	n := len(lines)
	return n == eval.SettleLines && made.Before(lines[n-1].At)
}

func needed(s *command.Script) fireflypath.Role {
	switch {
	case s.Order != nil:
		return fireflypath.RoleOrder
	case s.Plan:
		return fireflypath.RoleAsk
	default:
		return fireflypath.RoleChange
	}
}

func (a *API) finish(c fiber.Ctx, done wire.CommandResult) error {
	a.count.outcomes.Counter(string(done.Outcome)).Inc(1)
	return c.Status(statuses[done.Outcome]).JSON(done)
}

func (a *API) run(ctx context.Context, who string, req wire.CommandRequest, s *command.Script) wire.CommandResult {
	switch {
	case s.Plan:
		return a.plan(req, s)
	case s.Order != nil:
		return a.order(ctx, who, req, s)
	default:
		return a.change(ctx, who, req, s)
	}
}

func (a *API) plan(req wire.CommandRequest, s *command.Script) wire.CommandResult {
	done := wire.CommandResult{ID: req.ID}
	old := a.deps.Configs.Current()
	done.Generation = old.Generation
	if s.Order != nil {
		done.Outcome = wire.OutcomePlanned
		done.Plan = &plan.Plan{Lines: []string{fmt.Sprintf("order %s %s to target %s", s.Order.Kind, s.Order.Value, s.Order.Target)}}
		return done
	}
	if s.Base != 0 && s.Base != old.Generation {
		done.Outcome = wire.OutcomeRefused
		done.Detail = fmt.Sprintf("it was written against generation %d, and %d is in force here", s.Base, old.Generation)
		return done
	}
	next, err := s.Apply(old, a.deps.Clock.Now())
	if err != nil {
		return refused(done, err)
	}
	done.Outcome, done.Plan = wire.OutcomePlanned, plan.New(old, next)
	return done
}

func (a *API) change(ctx context.Context, who string, req wire.CommandRequest, s *command.Script) wire.CommandResult {
	now := a.deps.Clock.Now()
	commit, err := a.deps.Committer.Commit(ctx, fireflypath.Change{
		ID: req.ID, Operator: who, Command: req.Text, Base: s.Base,
		Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) { return s.Apply(old, now) },
	})
	done := wire.CommandResult{ID: req.ID, Generation: commit.Generation, Repeated: commit.Repeated, ConflictingID: commit.ConflictingID}
	switch {
	case err == nil && commit.ConflictingID == "":
		return a.committed(ctx, done, req.Text)
	case commit.ConflictingID != "":
		done = a.lost(ctx, done, s.Base)
	case errors.Is(err, fireflypath.ErrUnknown):
		done.Outcome = wire.OutcomeUnknown
		done.Detail = "it may or may not be in force: " + err.Error()
		return done
	case unavailable(ctx, err):
		done.Outcome = wire.OutcomeUnavailable
		done.Detail = "nothing was changed: " + err.Error()
		return done
	default:
		done = refused(done, err)
	}
	return a.noteRefusal(ctx, who, req, done)
}

// committed checks that a repeated command is the one that its id was made for.
// A script that uses an id twice for two commands would otherwise read that the
// second was done.
func (a *API) committed(ctx context.Context, done wire.CommandResult, words string) wire.CommandResult {
	done.Outcome = wire.OutcomeDone
	if !done.Repeated {
		return done
	}
	lines, _ := a.deps.Committer.Trail(ctx, repeatLines)
	for _, l := range lines {
		if l.ID == done.ID && l.Command != words {
			done.Outcome = wire.OutcomeRefused
			done.Detail = "the id was used before, for another command: " + l.Command
		}
	}
	return done
}

// repeatLines bounds where a repeated command's words are looked for: an hour
// at the letter's 4,200 changes a day.
const repeatLines = 175

func (a *API) noteRefusal(ctx context.Context, who string, req wire.CommandRequest, done wire.CommandResult) wire.CommandResult {
	done.AuditFailed = a.note(ctx, eval.RefusedID(req.ID), who, req.Text, "refused: "+done.Detail) != nil
	return done
}

// unavailable is true for errors that time may mend.
func unavailable(ctx context.Context, err error) bool {
	return errors.IsAny(err, fireflypath.ErrUnavailable, fireflypath.ErrLimited, fireflypath.ErrConflict,
		context.DeadlineExceeded, context.Canceled) || ctx.Err() != nil
}

// lost names the change that was committed first, with its author and words if
// the trail tells them.
func (a *API) lost(ctx context.Context, done wire.CommandResult, base uint64) wire.CommandResult {
	done.Outcome = wire.OutcomeRefused
	done.Detail = fmt.Sprintf("generation %d is no longer in force: change %s was committed first", base, done.ConflictingID)
	lines, _ := a.deps.Committer.Trail(ctx, lostLines)
	for _, l := range lines {
		if l.ID == done.ConflictingID {
			done.Detail += fmt.Sprintf(" by %s: %s", l.Operator, l.Command)
		}
	}
	return done
}

// lostLines bounds where the words of a change that won are looked for.
const lostLines = 64

func refused(done wire.CommandResult, err error) wire.CommandResult {
	done.Outcome = wire.OutcomeRefused
	done.Detail = err.Error()
	if problems, ok := check.From(err); ok {
		done.Problems = problems
		done.Detail = problems.Error()
	}
	return done
}

func bad(done wire.CommandResult, detail string) wire.CommandResult {
	done.Outcome, done.Detail = wire.OutcomeInvalid, detail
	return done
}

func unparsed(done wire.CommandResult, err error) wire.CommandResult {
	done = bad(done, err.Error())
	var at *syntax.Error
	if errors.As(err, &at) {
		done.Syntax = at
	}
	return done
}

// note writes a line about something that changed no configuration.
func (a *API) note(ctx context.Context, id, who, words, result string) error {
	return a.deps.Committer.AppendAudit(ctx, fireflypath.AuditLine{
		ID: id, At: a.deps.Clock.Now().UTC(), Operator: who, Command: words, Result: result,
	})
}
