package gate

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/gate/table"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// call is one request of a caller on its way.
type call struct {
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	// cancel ends ctx, once it has the request's own deadline.
	cancel context.CancelFunc
	cfg    *fireflypath.Config
	table  *table.Table

	id      string
	arrived time.Time
	// viewAge is that of the view when the request arrived.
	viewAge  time.Duration
	deadline time.Time
	// callerElapsed is for how long the caller tried before this attempt.
	callerElapsed time.Duration
	route         *fireflypath.Route
	team          *fireflypath.Team
	pool          string
	rank          int
	body          []byte
	// digest tells the same work apart from other work, whoever asks again and where.
	digest digest.Digest
	cost   fireflypath.Cost
	// expectedOutput is the expected number of output tokens.
	expectedOutput int
	// quotaUnits is what the request took of its team's quota; 0 if nothing.
	quotaUnits float64
	// unconfirmed is true for units that no keeper knew of beforehand.
	unconfirmed bool

	// attempts are the attempts made, the last one at the end.
	attempts []*attempt
	// savedFailure is a failure that a target answered, for the case that no other
	// target brings something better.
	savedFailure *savedAnswer
	// mayHaveRun is true once an attempt may have been run by its target.
	mayHaveRun bool
	// headerWritten is true once the answer's header was written.
	headerWritten bool
	// truncated is true if the answer cannot be completed.
	truncated bool
	// status is the answer's, refusal the reason if a daemon made it.
	status  int
	refusal *refusal
	// firstByte is when the answer began.
	firstByte time.Time
	// chunks counts the pieces passed on; lastEvent is the id of the last event.
	chunks    int
	lastEvent string
	// lastSent is when the last piece was passed on, gap the longest pause so far.
	lastSent time.Time
	maxGap   time.Duration
}

// attempt is one attempt: a wait for a target and what came of it.
type attempt struct {
	request.Request
	target fireflypath.Target
	pool   *pool.Pool
	// started is true once its answer began.
	started bool
	// timedOut is true once the target was given up for its silence.
	timedOut atomic.Bool
	// result says what came of it, for the log.
	result string
}

// savedAnswer is an answer that was read whole.
type savedAnswer struct {
	answer *http1.Answer
	body   []byte
}

// requestURI is the path and query as the caller wrote them.
func (c *call) requestURI() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI()
}

// path is the path as the caller wrote it.
func (c *call) path() string {
	path, _, _ := strings.Cut(c.requestURI(), "?")
	return path
}

// lastAttempt is the newest attempt, or nil.
func (c *call) lastAttempt() *attempt {
	if len(c.attempts) == 0 {
		return nil
	}
	return c.attempts[len(c.attempts)-1]
}

// remaining is the time until the request's deadline.
func (c *call) remaining(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}
