// Package refuse encodes refusals as HTTP replies.
package refuse

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// statusClientClosed is the nonstandard code, introduced by nginx, for a caller that
// closed its connection. It appears in no reply that is read.
const statusClientClosed = 499

// Status returns the HTTP status for the reason.
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

// JSON returns the body of a reply with the refusal.
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

// Reply returns the refusal as a reply to the caller.
func Reply(refusal *fireflypath.Refusal) request.Reply {
	h := map[string]string{"Content-Type": "application/json"}
	if refusal.RetryAfter > 0 {
		h["Retry-After"] = strconv.Itoa(int((refusal.RetryAfter + time.Second - 1) / time.Second))
	}
	return request.Reply{Status: Status(refusal.Code), Header: h, Body: JSON(refusal)}
}
