package engine

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
)

const pathOrders = "/orders"

// Order gives an order to a target once. A target that heeds fencing numbers
// refuses an old one, which is fireflypath.ErrFenced.
func (e *Engine) Order(ctx context.Context, t fireflypath.Target, o fireflypath.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode an order"), fireflypath.ErrUnsent)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	prepare(req, fasthttp.MethodPost, t.Addr, pathOrders)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	x, err := e.notices.Send(ctx, t.Addr, req, true)
	if err != nil {
		return errors.Wrapf(err, "order to %s", t.Name)
	}
	defer x.Close()
	switch code := x.Header.StatusCode(); {
	case code == fasthttp.StatusConflict:
		return errors.Wrapf(fireflypath.ErrFenced, "order to %s", t.Name)
	case code >= fasthttp.StatusBadRequest && code < fasthttp.StatusInternalServerError:
		return errors.Wrapf(fireflypath.ErrNotRun, "order to %s: status %d", t.Name, code)
	case code >= fasthttp.StatusInternalServerError:
		return errors.Newf("order to %s: status %d", t.Name, code)
	}
	return nil
}
