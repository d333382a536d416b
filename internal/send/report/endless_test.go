package report_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/send/report"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// Guards against a probe of a target whose answer never ends: the target is not probed again meanwhile,
// and the answer fills the daemon's memory.
func TestReportWithoutEndFails(t *testing.T) {
	for name, sent := range map[string]struct{ once, repeated string }{
		"no line end":  {"", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X: v\r\n"},
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", " "},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n    \r\n"},
		"failure":      {"HTTP/1.1 500 Failed\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := testkit.ServeEndless(t, sent.once, sent.repeated)
			r := report.New(clockwork.NewRealClock())
			defer r.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := r.Load(ctx, fireflypath.Target{Name: "t", Addr: addr}, nil)
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}
