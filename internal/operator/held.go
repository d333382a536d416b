package operator

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/quarantine"
)

// Quarantine knows the requests that are held since they end targets.
type Quarantine interface {
	List() []quarantine.Row
	// Release lets a request run again; it reports false for one that is not held.
	Release(d digest.Digest) bool
}

// held lists the requests that are held or suspected.
func (a *API) held(c fiber.Ctx) error {
	who, err := a.operator(c)
	if who == nil {
		return err
	}
	a.count.asked.Inc(1)
	if a.deps.Quarantine == nil {
		return c.JSON(wire.HeldResponse{})
	}
	return c.JSON(wire.HeldResponse{Rows: a.deps.Quarantine.List()})
}

// release lets a request run again at all daemons.
func (a *API) release(c fiber.Ctx) error {
	who, err := a.operator(c)
	if who == nil {
		return err
	}
	if !may(who.Role, fireflypath.RoleChange) {
		return failure(c, fiber.StatusForbidden, wire.ErrorResponse{Detail: "operator " + who.Name + " has the role " + string(who.Role) + "; this needs change"})
	}
	var r wire.ReleaseRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return failure(c, fiber.StatusBadRequest, wire.ErrorResponse{Detail: "the body is no release: " + err.Error()})
	}
	d, err := digest.Parse(r.Digest)
	if err != nil {
		return failure(c, fiber.StatusBadRequest, wire.ErrorResponse{Detail: "a digest has 16 hexadecimal digits"})
	}
	if a.deps.Quarantine == nil || !a.deps.Quarantine.Release(d) {
		return failure(c, fiber.StatusNotFound, wire.ErrorResponse{Detail: "no request with the digest " + r.Digest + " is held"})
	}
	a.count.outcomes.Counter("released").Inc(1)
	return c.JSON(r)
}
