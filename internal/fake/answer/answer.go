// Package answer writes the HTTP responses that several fakes share.
package answer

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/fake/fault"
)

// JSON responds with the JSON encoding of a value.
func JSON(r *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.SetContentType("application/json")
	r.SetBody(body)
}

// Fault handles POST /fault: it passes the fault in the body to apply.
func Fault(r *fasthttp.RequestCtx, apply func(fault.Fault) error) {
	f, err := fault.Parse(r.PostBody())
	if err == nil {
		err = apply(f)
	}
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}
