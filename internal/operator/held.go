package operator

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/quarantine"
)

// Quarantine holds the requests that crash targets.
type Quarantine interface {
	// List returns the requests that are held or suspected.
	List() []quarantine.Row
	// Release allows a request to run again. It reports false if the request is not held.
	Release(d digest.Digest) bool
}

// handleHeld lists the requests that are held, or suspected of crashing targets.
func (a *API) handleHeld(c fiber.Ctx) error {
	operator, err := a.authenticate(c)
	if operator == nil {
		return err
	}
	a.metrics.queries.Inc(1)
	if a.deps.Quarantine == nil {
		return c.JSON(wire.HeldResponse{})
	}
	return c.JSON(wire.HeldResponse{Rows: a.deps.Quarantine.List()})
}

// handleRelease allows a held request to run again on all daemons.
func (a *API) handleRelease(c fiber.Ctx) error {
	operator, err := a.authenticate(c)
	if operator == nil {
		return err
	}
	if !allows(operator.Role, fireflypath.RoleChange) {
		return sendError(c, fiber.StatusForbidden, wire.ErrorResponse{Detail: "operator " + operator.Name + " has the role " + string(operator.Role) + "; this needs change"})
	}
	var r wire.ReleaseRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return sendError(c, fiber.StatusBadRequest, wire.ErrorResponse{Detail: "the body is no release: " + err.Error()})
	}
	d, err := digest.Parse(r.Digest)
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, wire.ErrorResponse{Detail: "a digest has 16 hexadecimal digits"})
	}
	if a.deps.Quarantine == nil || !a.deps.Quarantine.Release(d) {
		return sendError(c, fiber.StatusNotFound, wire.ErrorResponse{Detail: "no request with the digest " + r.Digest + " is held"})
	}
	a.metrics.outcomes.Counter("released").Inc(1)
	return c.JSON(r)
}
