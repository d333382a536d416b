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

// sendOrder sends an order to a target. It appends an audit line before sending and
// one with the result afterwards. An order that cannot be audited is not sent, so that
// every order can be traced to an operator.
func (a *API) sendOrder(ctx context.Context, operator string, req wire.CommandRequest, s *command.Script) wire.CommandResult {
	result := wire.CommandResult{ID: req.ID}
	o := *s.Order
	o.ID = req.ID
	if reason := a.rejectOrder(o); reason != "" {
		result.Outcome, result.Detail = wire.OutcomeRefused, reason
		return a.auditRefusal(ctx, operator, req, result)
	}
	if err := a.audit(ctx, req.ID, operator, req.Text, eval.ResultOrdered); err != nil {
		result.Outcome = wire.OutcomeUnavailable
		result.Detail = "the order was not sent, because the trail cannot be written: " + err.Error()
		return result
	}
	result = orderResult(result, a.deps.Orderer.Order(ctx, o))
	summary := string(result.Outcome)
	if result.Detail != "" {
		summary += ": " + result.Detail
	}
	result.AuditFailed = a.audit(ctx, eval.ResultLineID(req.ID), operator, req.Text, summary) != nil
	return result
}

// rejectOrder returns the reason why an order cannot be sent, or an empty string.
func (a *API) rejectOrder(o fireflypath.Order) string {
	targets := a.deps.Configs.Current().Targets
	if !slices.ContainsFunc(targets, func(t fireflypath.Target) bool { return t.Name == o.Target }) {
		return "target " + o.Target + " does not exist"
	}
	if a.deps.Orderer == nil {
		return "this daemon sends no orders"
	}
	return ""
}

func orderResult(result wire.CommandResult, err error) wire.CommandResult {
	switch {
	case err == nil:
		result.Outcome = wire.OutcomeDone
	case errors.Is(err, fireflypath.ErrUnknown):
		result.Outcome, result.Detail = wire.OutcomeUnknown, "the target may or may not have taken it: "+err.Error()
	default:
		result.Outcome, result.Detail = wire.OutcomeRefused, "the target did not take it: "+err.Error()
	}
	return result
}
