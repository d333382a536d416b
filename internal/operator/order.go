package operator

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/command"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/query/eval"
)

// order sends an order to a target. Its line goes into the trail before it is
// sent, and a second one with the result afterwards: an order of which nobody
// can say who gave it is not sent.
func (a *API) order(ctx context.Context, who string, req wire.CommandRequest, s *command.Script) wire.CommandResult {
	done := wire.CommandResult{ID: req.ID}
	o := *s.Order
	o.ID = req.ID
	if why := a.unsendable(o); why != "" {
		done.Outcome, done.Detail = wire.OutcomeRefused, why
		return a.noteRefusal(ctx, who, req, done)
	}
	if err := a.note(ctx, req.ID, who, req.Text, eval.Ordered); err != nil {
		done.Outcome = wire.OutcomeUnavailable
		done.Detail = "the order was not sent, because the trail cannot be written: " + err.Error()
		return done
	}
	done = sent(done, a.deps.Orderer.Order(ctx, o))
	result := string(done.Outcome)
	if done.Detail != "" {
		result += ": " + done.Detail
	}
	done.AuditFailed = a.note(ctx, eval.ResultID(req.ID), who, req.Text, result) != nil
	return done
}

func (a *API) unsendable(o fireflypath.Order) string {
	targets := a.deps.Configs.Current().Targets
	if !slices.ContainsFunc(targets, func(t fireflypath.Target) bool { return t.Name == o.Target }) {
		return "target " + o.Target + " does not exist"
	}
	if a.deps.Orderer == nil {
		return "this daemon sends no orders"
	}
	return ""
}

func sent(done wire.CommandResult, err error) wire.CommandResult {
	switch {
	case err == nil:
		done.Outcome = wire.OutcomeDone
	case errors.Is(err, fireflypath.ErrUnknown):
		done.Outcome, done.Detail = wire.OutcomeUnknown, "the target may or may not have taken it: "+err.Error()
	default:
		done.Outcome, done.Detail = wire.OutcomeRefused, "the target did not take it: "+err.Error()
	}
	return done
}
