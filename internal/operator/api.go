// Package operator serves operators' commands and queries over HTTP.
package operator

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/keys"
	"github.com/fireflypath/fireflypath/internal/keys/tries"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/query/eval"
)

const (
	// doTimeout bounds a command: the platform's service answers in
	// milliseconds, so what takes longer is an outage, and an operator waits no
	// longer than this to read that the outcome is unknown.
	doTimeout = 5 * time.Second
	// askTimeout bounds a query, a forwarded one too.
	askTimeout = 5 * time.Second
)

// Deps are what the endpoints work with.
type Deps struct {
	// Sources answer queries; Name, Configs, Committer, Members and Clock of
	// them serve commands too.
	eval.Sources
	// Orderer sends orders; nil refuses them.
	Orderer fireflypath.Orderer
	// Forwarder asks another daemon; nil says that it is out of reach.
	Forwarder Forwarder
	// Quarantine is nil where no request is held.
	Quarantine Quarantine
	Scope      tally.Scope
	Log        *zap.Logger
}

// Forwarder asks the daemon with an operators' address once.
type Forwarder interface {
	// Ask returns the other daemon's status and body.
	Ask(addr, authorization, words string, timeout time.Duration) (status int, body []byte, err error)
}

// API is the operators' endpoints.
type API struct {
	deps  Deps
	eval  *eval.Evaluator
	ring  *keys.Keyring
	tries *tries.Tries
	count counters
}

type counters struct {
	asked, failed, forwarded, denied tally.Counter
	outcomes                         tally.Scope
}

// New returns the endpoints.
func New(deps Deps) *API {
	scope := deps.Scope.SubScope("operator")
	return &API{
		deps:  deps,
		eval:  eval.New(deps.Sources),
		ring:  keys.New(deps.Configs),
		tries: tries.New(deps.Clock),
		count: counters{
			asked:     scope.Counter("asked"),
			failed:    scope.Counter("failed"),
			forwarded: scope.Counter("forwarded"),
			denied:    scope.Counter("denied"),
			outcomes:  scope,
		},
	}
}

// Register adds the endpoints to the operators' listener.
func (a *API) Register(r fiber.Router) {
	r.Post(wire.PathDo, a.do)
	r.Post(wire.PathAsk, a.ask)
	r.Get(wire.PathSettle+"/:id", a.settle)
	r.Post(wire.PathHeld, a.held)
	r.Post(wire.PathRelease, a.release)
}

func failure(c fiber.Ctx, status int, f wire.ErrorResponse) error {
	return c.Status(status).JSON(f)
}
