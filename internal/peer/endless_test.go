package peer

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// Guards against a daemon, or what answers at its address, whose answer to the hello never ends.
func TestHelloWithoutEndFails(t *testing.T) {
	for name, sent := range map[string]struct{ once, repeated string }{
		"length above the limit": {"", "\xff"},
		"no document":            {"\x00\x0f\xff\xff", "x"},
		"messages of nothing":    {"", "\x00"},
		"text":                   {"HTTP/1.1 400 Bad Request\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New(TCP{}, nil, func() fireflypath.Member { return fireflypath.Member{Name: "a"} }, time.Second,
				clockwork.NewRealClock(), tally.NoopScope, zap.NewNop())
			defer e.Close()
			_, err := e.Connect(t.Context(), testkit.ServeEndless(t, sent.once, sent.repeated))
			is.True(errors.Is(err, ErrUnreachable))
		})
	}
}
