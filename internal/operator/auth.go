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

// local is who acts while the configuration holds no operator.
const local = "local"

// operator returns who asks, or writes the answer to somebody without a key
// and returns nil.
//
// With no operator in the configuration, callers from the daemon's own host may
// do everything: somebody must create the first operator, and whoever has a
// shell on the host could read its settings anyway. Others are refused.
func (a *API) operator(c fiber.Ctx) (*fireflypath.Operator, error) {
	addr := source(c)
	if len(a.deps.Configs.Current().Operators) == 0 {
		if own(c, addr) {
			return &fireflypath.Operator{Name: local, Role: fireflypath.RoleOrder}, nil
		}
		return nil, a.deny(c, "no operator is configured: create the first one from the daemon's host")
	}
	key := keys.Bearer(c.Get(fiber.HeaderAuthorization))
	who := a.ring.Operator(key, a.deps.Clock.Now())
	wait := a.tries.Wait(addr)
	if who != nil && (wait == 0 || a.tries.Known(addr, who.Name)) {
		a.tries.Passed(addr, who.Name)
		return who, nil
	}
	if wait > 0 {
		a.count.denied.Inc(1)
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		detail := fmt.Sprintf("too many failed keys from %s: wait %s", addr, wait.Round(time.Millisecond))
		return nil, failure(c, fiber.StatusTooManyRequests, wire.ErrorResponse{Detail: detail})
	}
	a.tries.Fail(addr)
	return nil, a.deny(c, "the operator's key is missing, unknown or ended")
}

func (a *API) deny(c fiber.Ctx, detail string) error {
	a.count.denied.Inc(1)
	return failure(c, fiber.StatusUnauthorized, wire.ErrorResponse{Detail: detail})
}

// own is true for a connection from the daemon's host: over loopback, or from
// the address that it was made to, which the kernel takes from no wire.
func own(c fiber.Ctx, addr netip.Addr) bool {
	tcp, ok := c.RequestCtx().LocalAddr().(*net.TCPAddr)
	return addr.IsLoopback() || ok && tcp.AddrPort().Addr().Unmap() == addr
}

// source is the address of the connection; headers that claim another one are
// not believed.
func source(c fiber.Ctx) netip.Addr {
	tcp, ok := c.RequestCtx().RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// may says whether a role allows what another one names: order includes
// change, and change includes ask.
func may(has, needs fireflypath.Role) bool {
	return level(has) >= level(needs)
}

func level(r fireflypath.Role) int {
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
