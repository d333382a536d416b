package operator

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/eval"
)

func (a *API) handleQuery(c fiber.Ctx) error {
	operator, err := a.authenticate(c)
	if operator == nil {
		return err
	}
	var req wire.QueryRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return sendError(c, fiber.StatusBadRequest, wire.ErrorResponse{Detail: "the body is no query: " + err.Error()})
	}
	return a.answerQuery(c, req.Text)
}

// handleSettle answers the query "settle ID" for the ID in the path.
func (a *API) handleSettle(c fiber.Ctx) error {
	operator, err := a.authenticate(c)
	if operator == nil {
		return err
	}
	return a.answerQuery(c, "settle "+c.Params("id"))
}

func (a *API) answerQuery(c fiber.Ctx, text string) error {
	a.metrics.queries.Inc(1)
	ctx, cancel := context.WithTimeout(c.Context(), queryTimeout)
	defer cancel()
	q, err := query.Parse(text)
	if err != nil {
		return a.sendQueryError(c, err)
	}
	ans, err := a.eval.Evaluate(ctx, q)
	var elsewhere *eval.WrongDaemonError
	if errors.As(err, &elsewhere) {
		return a.forwardQuery(c, elsewhere.Daemon, text)
	}
	if err != nil {
		return a.sendQueryError(c, err)
	}
	return c.JSON(ans)
}

// sendQueryError responds with the HTTP status that matches the error.
func (a *API) sendQueryError(c fiber.Ctx, err error) error {
	a.metrics.failedQueries.Inc(1)
	f := wire.ErrorResponse{Detail: err.Error()}
	status := fiber.StatusInternalServerError
	switch {
	case errors.As(err, &f.Syntax):
		status = fiber.StatusBadRequest
	case errors.Is(err, eval.ErrNoRecord):
		status = fiber.StatusNotFound
	case errors.Is(err, eval.ErrAuditTrail):
		status = fiber.StatusServiceUnavailable
	}
	return sendError(c, status, f)
}

// forwardQuery forwards a query about a request that another daemon received. A
// forwarded query is not forwarded again, because two daemons that each consider the
// other responsible would forward it forever.
func (a *API) forwardQuery(c fiber.Ctx, daemon, text string) error {
	addr := a.operatorAddr(daemon)
	if c.Get(wire.HeaderForwarded) != "" || addr == "" || a.deps.Forwarder == nil {
		detail := "daemon " + daemon + " is gone or not known, and its records with it; the refusal that the caller got says why"
		return sendError(c, fiber.StatusNotFound, wire.ErrorResponse{Detail: detail})
	}
	a.metrics.forwardedQueries.Inc(1)
	status, body, err := a.deps.Forwarder.Ask(addr, c.Get(fiber.HeaderAuthorization), text, queryTimeout)
	if err != nil {
		detail := "daemon " + daemon + " took the request and cannot be asked now: " + err.Error()
		return sendError(c, fiber.StatusBadGateway, wire.ErrorResponse{Detail: detail})
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

func (a *API) operatorAddr(daemon string) string {
	live := a.deps.Members.Live()
	i := slices.IndexFunc(live, func(m fireflypath.Member) bool { return m.Name == daemon })
	if i < 0 {
		return ""
	}
	return live[i].OperatorAddr
}
