// Package answer writes the stand-ins' answers that are alike.
package answer

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/fake/fault"
)

// JSON answers with a value.
func JSON(r *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.SetContentType("application/json")
	r.SetBody(body)
}

// Fault answers POST /fault: apply switches the fault that the body names.
func Fault(r *fasthttp.RequestCtx, apply func(fault.Fault) error) {
	f, err := fault.Parse(r.PostBody())
	if err == nil {
		err = apply(f)
	}
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}
