package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/answer"
)

// staleOrder is the response to an order with an outdated fencing number.
type staleOrder struct {
	Fence uint64 `json:"fence"`
}

func (e *Engine) serveOrder(r *fasthttp.RequestCtx) {
	var o fireflypath.Order
	if err := json.Unmarshal(r.PostBody(), &o); err != nil {
		r.Error(errors.Wrap(err, "parse order").Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.Fence < e.highestFence
	if stale && !e.cfg.IgnoreFences {
		answer.JSON(r, staleOrder{e.highestFence})
		r.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	e.highestFence = max(e.highestFence, o.Fence)
	if e.executedOrders[o.ID] {
		return
	}
	e.executedOrders[o.ID] = true
	e.counts.Orders = append(e.counts.Orders, o)
	if stale {
		e.counts.Stale++
	}
}
