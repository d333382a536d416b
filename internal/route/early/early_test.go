package early_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/early"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// A refused caller comes back at once, again and again. Its requests are
// marked until the time it was given, and nobody else's are.
func TestEarly(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := early.New(clock)
	ask := func(team, body string) *request.Request {
		r := &request.Request{Team: &fireflypath.Team{Name: team}, Inbound: request.Inbound{Path: "/p", Body: []byte(body)}}
		r.Work.Arrived = clock.Now()
		is.NoErr(e.Run(t.Context(), r))
		return r
	}
	first := ask("a", "x")
	is.True(!first.Work.Early)
	e.RecordRefusal(first, &fireflypath.Refusal{RetryAfter: time.Second})
	is.True(ask("a", "x").Work.Early)
	is.True(!ask("a", "y").Work.Early)
	is.True(!ask("b", "x").Work.Early)
	clock.Advance(time.Second)
	is.True(!ask("a", "x").Work.Early)
}
