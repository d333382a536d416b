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

func (a *API) ask(c fiber.Ctx) error {
	who, err := a.operator(c)
	if who == nil {
		return err
	}
	var req wire.QueryRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return failure(c, fiber.StatusBadRequest, wire.ErrorResponse{Detail: "the body is no query: " + err.Error()})
	}
	return a.answer(c, req.Text)
}

// settle is the query "settle ID" as an address.
func (a *API) settle(c fiber.Ctx) error {
	who, err := a.operator(c)
	if who == nil {
		return err
	}
	return a.answer(c, "settle "+c.Params("id"))
}

func (a *API) answer(c fiber.Ctx, words string) error {
	a.count.asked.Inc(1)
	ctx, cancel := context.WithTimeout(c.Context(), askTimeout)
	defer cancel()
	q, err := query.Parse(words)
	if err != nil {
		return a.fail(c, err)
	}
	ans, err := a.eval.Ask(ctx, q)
	var elsewhere *eval.Elsewhere
	if errors.As(err, &elsewhere) {
		return a.forward(c, elsewhere.Daemon, words)
	}
	if err != nil {
		return a.fail(c, err)
	}
	return c.JSON(ans)
}

// fail answers with the status that fits the error.
func (a *API) fail(c fiber.Ctx, err error) error {
	a.count.failed.Inc(1)
	f := wire.ErrorResponse{Detail: err.Error()}
	status := fiber.StatusInternalServerError
	switch {
	case errors.As(err, &f.Syntax):
		status = fiber.StatusBadRequest
	case errors.Is(err, eval.ErrNotKept):
		status = fiber.StatusNotFound
	case errors.Is(err, eval.ErrTrail):
		status = fiber.StatusServiceUnavailable
	}
	return failure(c, status, f)
}

// forward passes a question about another daemon's request on, once: two
// daemons that each take the other for its owner would pass it on for ever.
func (a *API) forward(c fiber.Ctx, daemon, words string) error {
	addr := a.address(daemon)
	if c.Get(wire.HeaderForwarded) != "" || addr == "" || a.deps.Forwarder == nil {
		detail := "daemon " + daemon + " is gone or not known, and its records with it; the refusal that the caller got says why"
		return failure(c, fiber.StatusNotFound, wire.ErrorResponse{Detail: detail})
	}
	a.count.forwarded.Inc(1)
	status, body, err := a.deps.Forwarder.Ask(addr, c.Get(fiber.HeaderAuthorization), words, askTimeout)
	if err != nil {
		detail := "daemon " + daemon + " took the request and cannot be asked now: " + err.Error()
		return failure(c, fiber.StatusBadGateway, wire.ErrorResponse{Detail: detail})
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

func (a *API) address(daemon string) string {
	live := a.deps.Members.Live()
	i := slices.IndexFunc(live, func(m fireflypath.Member) bool { return m.Name == daemon })
	if i < 0 {
		return ""
	}
	return live[i].Operator
}
