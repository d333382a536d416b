package platform_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/platform"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// Guards against a key-value service, or what answers at its address, whose bytes never end: they fill the
// daemon's memory until the call times out.
func TestAnswerWithoutEndFails(t *testing.T) {
	const maxMemory = 200 << 20 // what a host of 284 MB has left beside an idle daemon, in bytes
	for name, sent := range map[string]struct{ once, repeated string }{
		"no line end":  {"", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X: v\r\n"},
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"end of file":  {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := platform.New(testkit.ServeEndless(t, sent.once, sent.repeated), time.Minute)
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := c.Get(ctx, "k")
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(after.TotalAlloc-before.TotalAlloc < maxMemory)
		})
	}
}
