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

// Requests of a refused caller that retries immediately are marked until the
// Retry-After time, and other requests are not.
func TestRetriesBeforeRetryAfterAreMarked(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := early.New(clock)
	run := func(team, body string) *request.Request {
		r := &request.Request{Team: &fireflypath.Team{Name: team}, Inbound: request.Inbound{Path: "/p", Body: []byte(body)}}
		r.Work.Arrived = clock.Now()
		is.NoErr(e.Run(t.Context(), r))
		return r
	}
	first := run("a", "x")
	is.True(!first.Work.RetriedEarly)
	e.RecordRefusal(first, &fireflypath.Refusal{RetryAfter: time.Second})
	is.True(run("a", "x").Work.RetriedEarly)
	is.True(!run("a", "y").Work.RetriedEarly)
	is.True(!run("b", "x").Work.RetriedEarly)
	clock.Advance(time.Second)
	is.True(!run("a", "x").Work.RetriedEarly)
}
