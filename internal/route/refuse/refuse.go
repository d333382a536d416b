// Package refuse writes refusals for callers.
package refuse

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// statusClientClosed is the customary code for a caller that left; nobody reads it.
const statusClientClosed = 499

// Status is the HTTP status that fits the reason.
func Status(r fireflypath.Reason) int {
	switch r {
	case fireflypath.ReasonMalformed:
		return http.StatusBadRequest
	case fireflypath.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case fireflypath.ReasonUnauthorized:
		return http.StatusUnauthorized
	case fireflypath.ReasonForbidden:
		return http.StatusForbidden
	case fireflypath.ReasonNoPool:
		return http.StatusNotFound
	case fireflypath.ReasonDeadline:
		return http.StatusGatewayTimeout
	case fireflypath.ReasonRule, fireflypath.ReasonEarly:
		return http.StatusTooManyRequests
	case fireflypath.ReasonClaimed:
		return http.StatusConflict
	case fireflypath.ReasonWithdrawn:
		return statusClientClosed
	case fireflypath.ReasonTarget:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// JSON is the refusal's body.
func JSON(refusal *fireflypath.Refusal) []byte {
	r := *refusal
	r.RetryMS = int64((r.RetryAfter + time.Millisecond - 1) / time.Millisecond)
	body, err := json.Marshal(&r)
	if err != nil {
		// The struct holds only strings and numbers.
		panic(err)
	}
	return body
}

// Reply is the refusal as an answer.
func Reply(refusal *fireflypath.Refusal) request.Reply {
	h := map[string]string{"Content-Type": "application/json"}
	if refusal.RetryAfter > 0 {
		h["Retry-After"] = strconv.Itoa(int((refusal.RetryAfter + time.Second - 1) / time.Second))
	}
	return request.Reply{Status: Status(refusal.Code), Header: h, Body: JSON(refusal)}
}
