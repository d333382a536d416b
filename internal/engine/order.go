package engine

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
)

const pathOrders = "/orders"

// Order sends an order to a target once. A target that supports fencing numbers rejects an
// outdated one, which is reported as fireflypath.ErrFenced.
func (e *Engine) Order(ctx context.Context, target fireflypath.Target, order fireflypath.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode an order"), fireflypath.ErrUnsent)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	initRequest(req, fasthttp.MethodPost, target.Addr, pathOrders)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	x, err := e.control.Send(ctx, target.Addr, req, true)
	if err != nil {
		return errors.Wrapf(err, "order to %s", target.Name)
	}
	defer x.Close()
	switch code := x.Header.StatusCode(); {
	case code == fasthttp.StatusConflict:
		return errors.Wrapf(fireflypath.ErrFenced, "order to %s", target.Name)
	case code >= fasthttp.StatusBadRequest && code < fasthttp.StatusInternalServerError:
		return errors.Wrapf(fireflypath.ErrNotRun, "order to %s: status %d", target.Name, code)
	case code >= fasthttp.StatusInternalServerError:
		return errors.Newf("order to %s: status %d", target.Name, code)
	}
	return nil
}
