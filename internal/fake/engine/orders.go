package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/answer"
)

// refusedOrder is the answer to an order with an old fencing number.
type refusedOrder struct {
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
	old := o.Fence < e.fence
	if old && !e.cfg.Unfenced {
		answer.JSON(r, refusedOrder{e.fence})
		r.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	if e.orders[o.ID] {
		return
	}
	e.orders[o.ID] = true
	e.counts.Orders = append(e.counts.Orders, o)
	if old {
		e.counts.Stale++
	}
}
