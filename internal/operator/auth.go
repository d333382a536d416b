package operator

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/keys"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
)

// localOperator is the name of the operator who acts while the configuration defines
// no operators.
const localOperator = "local"

// authenticate returns the operator who sent the request. If the request has no valid
// key, it writes an error response and returns a nil operator.
//
// While the configuration defines no operators, connections from the daemon's own
// host have full access and all others are refused: the first operator must be created
// somehow, and anyone with a shell on the host can already read the daemon's settings.
func (a *API) authenticate(c fiber.Ctx) (*fireflypath.Operator, error) {
	addr := sourceAddr(c)
	if len(a.deps.Configs.Current().Operators) == 0 {
		if isLocal(c, addr) {
			return &fireflypath.Operator{Name: localOperator, Role: fireflypath.RoleOrder}, nil
		}
		return nil, a.sendUnauthorized(c, "no operator is configured: create the first one from the daemon's host")
	}
	key := keys.Bearer(c.Get(fiber.HeaderAuthorization))
	operator := a.keyring.Operator(key, a.deps.Clock.Now())
	wait := a.throttle.Wait(addr)
	if operator != nil && (wait == 0 || a.throttle.Known(addr, operator.Name)) {
		a.throttle.RecordSuccess(addr, operator.Name)
		return operator, nil
	}
	if wait > 0 {
		a.metrics.denied.Inc(1)
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		detail := fmt.Sprintf("too many failed keys from %s: wait %s", addr, wait.Round(time.Millisecond))
		return nil, sendError(c, fiber.StatusTooManyRequests, wire.ErrorResponse{Detail: detail})
	}
	a.throttle.RecordFailure(addr)
	return nil, a.sendUnauthorized(c, "the operator's key is missing, unknown or ended")
}

func (a *API) sendUnauthorized(c fiber.Ctx, detail string) error {
	a.metrics.denied.Inc(1)
	return sendError(c, fiber.StatusUnauthorized, wire.ErrorResponse{Detail: detail})
}

// isLocal reports whether a connection comes from the daemon's own host: over
// loopback, or from the same address that it connects to. The kernel accepts no packets
// from the network with one of the host's own addresses as source.
func isLocal(c fiber.Ctx, addr netip.Addr) bool {
	tcp, ok := c.RequestCtx().LocalAddr().(*net.TCPAddr)
	return addr.IsLoopback() || ok && tcp.AddrPort().Addr().Unmap() == addr
}

// sourceAddr returns the peer address of the connection. Headers that claim another
// address are ignored.
func sourceAddr(c fiber.Ctx) netip.Addr {
	tcp, ok := c.RequestCtx().RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// allows reports whether a role includes another one. The role order includes change,
// and change includes ask.
func allows(has, needs fireflypath.Role) bool {
	return roleLevel(has) >= roleLevel(needs)
}

func roleLevel(r fireflypath.Role) int {
	switch r {
	case fireflypath.RoleOrder:
		return 3
	case fireflypath.RoleChange:
		return 2
	case fireflypath.RoleAsk:
		return 1
	default:
		return 0
	}
}
