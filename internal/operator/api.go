// Package operator provides the HTTP API through which operators run commands and queries.
package operator

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/keys"
	"github.com/fireflypath/fireflypath/internal/keys/throttle"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/query/eval"
)

const (
	// commandTimeout limits the duration of a command. The platform's store
	// responds within milliseconds, so anything slower is an outage, and the
	// operator learns after this time that the outcome is unknown.
	commandTimeout = 5 * time.Second
	// queryTimeout limits the duration of a query, and of forwarding it.
	queryTimeout = 5 * time.Second
)

// Deps holds the dependencies of the API.
type Deps struct {
	// Sources provides the data for queries. Commands also use its Name,
	// Configs, Committer, Members and Clock.
	eval.Sources
	// Orderer sends orders to targets. If it is nil, orders are refused.
	Orderer fireflypath.Orderer
	// Forwarder sends a query to another daemon. If it is nil, other daemons are
	// treated as unreachable.
	Forwarder Forwarder
	// Quarantine lists and releases held requests. It is nil if the daemon does
	// not hold requests.
	Quarantine Quarantine
	Scope      tally.Scope
	Log        *zap.Logger
}

// Forwarder sends queries to other daemons.
type Forwarder interface {
	// Ask sends a query once to the operator API at addr and returns the status
	// and body of the response.
	Ask(addr, authorization, text string, timeout time.Duration) (status int, body []byte, err error)
}

// API implements the endpoints for operators.
type API struct {
	deps     Deps
	eval     *eval.Evaluator
	keyring  *keys.Keyring
	throttle *throttle.Throttle
	metrics  metrics
}

type metrics struct {
	queries, failedQueries, forwardedQueries, denied tally.Counter
	outcomes                                         tally.Scope
}

// New returns an API with the given dependencies.
func New(deps Deps) *API {
	scope := deps.Scope.SubScope("operator")
	return &API{
		deps:     deps,
		eval:     eval.New(deps.Sources),
		keyring:  keys.New(deps.Configs),
		throttle: throttle.New(deps.Clock),
		metrics: metrics{
			queries:          scope.Counter("asked"),
			failedQueries:    scope.Counter("failed"),
			forwardedQueries: scope.Counter("forwarded"),
			denied:           scope.Counter("denied"),
			outcomes:         scope,
		},
	}
}

// Register adds the endpoints to r.
func (a *API) Register(r fiber.Router) {
	r.Post(wire.PathDo, a.handleCommand)
	r.Post(wire.PathAsk, a.handleQuery)
	r.Get(wire.PathSettle+"/:id", a.handleSettle)
	r.Post(wire.PathHeld, a.handleHeld)
	r.Post(wire.PathRelease, a.handleRelease)
}

func sendError(c fiber.Ctx, status int, f wire.ErrorResponse) error {
	return c.Status(status).JSON(f)
}
