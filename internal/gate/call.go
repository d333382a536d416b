package gate

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/gate/callerconn"
	"github.com/fireflypath/fireflypath/internal/gate/events"
	"github.com/fireflypath/fireflypath/internal/gate/table"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/memory"
	"github.com/fireflypath/fireflypath/internal/rollout"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// call is the state of one caller's request.
type call struct {
	w    http.ResponseWriter
	r    *http.Request
	conn *callerconn.Conn
	ctx  context.Context
	// cancel releases ctx; it is set together with the request's deadline.
	cancel context.CancelFunc
	cfg    *fireflypath.Config
	table  *table.Table

	id      string
	arrived time.Time
	// viewAge is the age of the configuration when the request arrived.
	viewAge  time.Duration
	deadline time.Time
	// timeLimit is for how long the request may be kept, callerTime for how long its caller waits, or 0 if it
	// does not tell.
	timeLimit, callerTime time.Duration
	// callerElapsed is the estimated time for which the caller has been trying before this
	// request.
	callerElapsed time.Duration
	route         *fireflypath.Route
	team          *fireflypath.Team
	pool          string
	rank          int
	body          []byte
	// bodyRead is true once nothing of the body is left on the connection.
	bodyRead bool
	// bodyMemory is the memory of the body, or nil if there is none.
	bodyMemory *memory.Reservation
	// held are all reservations of the request.
	held []*memory.Reservation
	// digest is equal for requests for the same work, whichever caller or daemon sends them.
	digest digest.Digest
	// parts are the digests of the parts that the prompt may share with others, whichever team
	// sends them.
	parts []digest.Digest
	// causes are what may be to blame if a target crashes: digest, then each part in requests of
	// the team and of all teams.
	causes []digest.Digest
	cost   fireflypath.Cost
	// expectedOutput is the expected number of output tokens.
	expectedOutput int
	// quotaUnits are the units taken from the team's quota, or 0.
	quotaUnits float64
	// unconfirmed is true for units granted without a decision of the quota's coordinator.
	unconfirmed bool

	// attempts are all attempts in order.
	attempts []*attempt
	// savedFailure is a failure response of a target, forwarded if no other target gives a
	// better one.
	savedFailure *savedAnswer
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	// headerWritten is true once the response header was written.
	headerWritten bool
	// endsWithConn is true if the response has neither a length nor chunks, so that its end is that of
	// the caller's connection.
	endsWithConn bool
	// truncated is true if the response cannot be completed.
	truncated bool
	// status is the response status; refusal is set if this daemon made the response.
	status  int
	refusal *refusal
	// firstByte is when the response of a target began.
	firstByte time.Time
	// chunks counts the forwarded chunks of events; lastEvent is the id of the last event.
	chunks    int
	lastEvent string
	// position is how far the stream was passed on.
	position events.Position
	// source is the attempt whose target gave the last event, or nil.
	source *attempt
	// version is the version of the targets that may go on with the stream, or empty if it has not
	// begun.
	version string
	// resumes is the id of the request whose answer began the stream that the caller resumes.
	resumes string
	// lastSent is when the last chunk was forwarded, maxGap the longest time between chunks.
	lastSent time.Time
	maxGap   time.Duration
}

// attempt is one wait for a target and its result.
type attempt struct {
	request.Request
	target fireflypath.Target
	pool   *pool.Pool
	// rollout tracks the attempt by the version of its target.
	rollout rollout.Attempt
	// direct is true if the pool did not choose the target, and unsent if nothing was sent there.
	direct, unsent bool
	// status is the status of the target's response.
	status int
	// started is true once the target's response began.
	started bool
	// timedOut is true once the attempt was cancelled because the target stayed silent.
	timedOut atomic.Bool
	// pathLost is true if the connection was lost for a reason other than the target.
	pathLost bool
	// framing is how the target marks the end of its response; it is valid once started is true.
	framing http1.Framing
	// spliced is true once it was recorded that the target goes on with another one's stream.
	spliced bool
	// partialEvent is the number of bytes that followed the last event of a stream.
	partialEvent int
	// result describes the outcome, for logs and refusals.
	result string
}

// savedAnswer is a fully read response of a target.
type savedAnswer struct {
	answer *http1.Response
	body   []byte
	memory *memory.Reservation
}

// requestURI returns the path and query as the caller wrote them.
func (c *call) requestURI() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI()
}

// path returns the path as the caller wrote it.
func (c *call) path() string {
	path, _, _ := strings.Cut(c.requestURI(), "?")
	return path
}

// lastAttempt returns the latest attempt, or nil.
func (c *call) lastAttempt() *attempt {
	if len(c.attempts) == 0 {
		return nil
	}
	return c.attempts[len(c.attempts)-1]
}

// remaining returns the time until the request's deadline.
func (c *call) remaining(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}
