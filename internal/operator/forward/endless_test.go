package forward_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/operator/forward"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// Guards against a daemon whose answer to an operator's query never ends: it fills the memory of the daemon
// that asked it.
func TestAnswerWithoutEndFails(t *testing.T) {
	for name, sent := range map[string]struct{ once, repeated string }{
		"no line end":  {"", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X: v\r\n"},
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := forward.New(nil).Ask(testkit.ServeEndless(t, sent.once, sent.repeated), "", "hosts", time.Minute)
			is.True(err != nil)
			is.True(!errors.Is(err, fasthttp.ErrTimeout))
		})
	}
}
