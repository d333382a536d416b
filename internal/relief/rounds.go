// Package relief asks the other daemons to give up waiting work of lower tiers.
package relief

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	method = "relieve"
	// callTimeout is the timeout of a call. A slower peer is called again. The work that it
	// gave up already stays given up, which does not harm a higher tier.
	callTimeout = time.Second
	// retryInterval is the pause before a peer is called again after a failure. Such a peer
	// either answers or leaves the membership within a few seconds.
	retryInterval = 200 * time.Millisecond
	// gracePeriod is how long a round in which tokens were freed waits for more responses.
	gracePeriod = 100 * time.Millisecond
)

// Caller calls a method of another daemon.
type Caller interface {
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Windows transfers fractions of the concurrency windows together with the work given up. It
// may be nil.
type Windows interface {
	// LendForRelief lends the fraction of a pool's windows that tokens of a rank need.
	LendForRelief(pool string, rank, tokens int) float64
	// Borrow uses a fraction that was asked for at askedAt.
	Borrow(pool string, askedAt time.Time, fraction float64)
}

// Rounds implements fireflypath.Relief. It runs one round at a time per pool. In a round, each
// live peer is called once for all waiting requests, so that the number of messages does not
// grow with the overload.
type Rounds struct {
	members fireflypath.Members
	self    string
	caller  Caller
	cluster func() fireflypath.Cluster
	windows Windows
	clock   clockwork.Clock
	metrics metrics

	mu    sync.Mutex
	pools map[string]*queue
}

type metrics struct {
	rounds, asked, joined, freed, none, unanswered tally.Counter
}

// queue holds the state of a pool's rounds.
type queue struct {
	running bool
	// next holds the requests for the next round.
	next []*waiter
}

// waiter is one call of Ask.
type waiter struct {
	ctx    context.Context
	rank   int
	tokens int
	result chan int
}

// need is the number of tokens that the requests of one rank need.
type need struct {
	Rank   int `json:"rank"`
	Tokens int `json:"tokens"`
}

// reliefRequest asks a peer to give up work.
type reliefRequest struct {
	Pool string `json:"pool"`
	// Needs is ordered by rank, the highest tier first.
	Needs []need `json:"needs"`
}

// reliefResponse holds the tokens that the peer freed for each need of the request.
type reliefResponse struct {
	Freed []int `json:"freed"`
	// Fraction is the fraction of the pool's windows that is lent with the tokens.
	Fraction float64 `json:"part,omitempty"`
}

var _ fireflypath.Relief = (*Rounds)(nil)

// New returns the rounds of the daemon self. cluster returns this daemon's own pools, which
// serve the requests of peers, or nil before they are created. windows may be nil.
func New(self string, members fireflypath.Members, caller Caller, cluster func() fireflypath.Cluster,
	windows Windows, clock clockwork.Clock, scope tally.Scope,
) *Rounds {
	scope = scope.SubScope("relief")
	return &Rounds{
		members: members, self: self, caller: caller, cluster: cluster, windows: windows, clock: clock,
		pools: map[string]*queue{},
		metrics: metrics{
			rounds: scope.Counter("rounds"), asked: scope.Counter("asked"), joined: scope.Counter("joined"),
			freed: scope.Counter("freed"), none: scope.Counter("none"), unanswered: scope.Counter("unanswered"),
		},
	}
}

// Ask joins the pool's next round. It returns 0 without an error only if every live peer
// answered, after this call began, that it holds no waiting work of lower tiers. If the
// context ends first, it returns the context's error.
func (r *Rounds) Ask(ctx context.Context, pool string, rank, tokens int) (int, error) {
	w := &waiter{ctx: ctx, rank: rank, tokens: max(1, tokens), result: make(chan int, 1)}
	r.mu.Lock()
	q := r.pools[pool]
	if q == nil {
		q = &queue{}
		r.pools[pool] = q
	}
	q.next = append(q.next, w)
	if q.running {
		r.metrics.joined.Inc(1)
	} else {
		q.running = true
		go r.runRounds(pool, q)
	}
	r.mu.Unlock()
	select {
	case granted := <-w.result:
		return granted, nil
	case <-ctx.Done():
		r.metrics.unanswered.Inc(1)
		return 0, errors.Wrapf(ctx.Err(), "relief for pool %s", pool)
	}
}

// runRounds runs rounds until no request is waiting for one.
func (r *Rounds) runRounds(pool string, q *queue) {
	for {
		r.mu.Lock()
		batch := q.next
		q.next = nil
		if len(batch) == 0 {
			q.running = false
			delete(r.pools, pool)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		unserved := r.runRound(pool, batch)
		r.mu.Lock()
		q.next = append(unserved, q.next...)
		r.mu.Unlock()
	}
}

// contextOfAny returns a context that ends when the contexts of all waiters have ended.
func contextOfAny(batch []*waiter) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	var remaining atomic.Int64
	remaining.Store(int64(len(batch)))
	stops := make([]func() bool, 0, len(batch))
	for _, w := range batch {
		stops = append(stops, context.AfterFunc(w.ctx, func() {
			if remaining.Add(-1) == 0 {
				cancel()
			}
		}))
	}
	return ctx, func() {
		for _, stop := range stops {
			stop()
		}
		cancel()
	}
}

// runRound calls all peers for a batch and distributes the tokens that they free. It returns
// the waiters that got nothing although not every peer has answered.
func (r *Rounds) runRound(pool string, batch []*waiter) []*waiter {
	r.metrics.rounds.Inc(1)
	ctx, cancel := contextOfAny(batch)
	defer cancel()
	needs := sumByRank(batch)
	freed, complete := r.askPeers(ctx, reliefRequest{Pool: pool, Needs: needs})
	// Expired work asks for all tokens that peers can free. If it were served first, it
	// would take the tokens freed for requests that can still run, and those would be told
	// that there are none and be refused.
	slices.SortStableFunc(batch, func(a, b *waiter) int { return cmp.Compare(a.tokens, b.tokens) })
	var unserved []*waiter
	for _, w := range batch {
		if w.ctx.Err() != nil {
			continue // Ask has returned
		}
		granted := 0
		for i, n := range needs {
			if n.Rank == w.rank {
				granted = min(freed[i], w.tokens)
				freed[i] -= granted
			}
		}
		if granted == 0 && !complete {
			unserved = append(unserved, w)
			continue
		}
		w.result <- granted
	}
	return unserved
}

// sumByRank sums the tokens of the batch by rank, the highest tier first.
func sumByRank(batch []*waiter) []need {
	const ranks = 16 // the settings allow ranks from 0 to 15
	var sums [ranks]int
	for _, w := range batch {
		sums[min(ranks-1, max(0, w.rank))] += w.tokens
	}
	var out []need
	for rank, tokens := range sums {
		if tokens > 0 {
			out = append(out, need{Rank: rank, Tokens: tokens})
		}
	}
	return out
}

// peerResponse is the response of one peer.
type peerResponse struct {
	peer  incarnation
	freed []int
}

// incarnation identifies one process of a peer. A restarted peer may hold work again.
type incarnation struct {
	name   string
	number uint64
}

// askPeers calls every live peer until each has answered or left the membership, and reports
// whether that happened. It returns earlier, with the tokens freed so far, once those suffice
// or the grace period ends.
//
// A peer that does not answer may hold work of lower tiers, so that shedding now could shed a
// higher tier first. It is called again until it answers or leaves the membership. Meanwhile,
// the requests wait, at most until their deadlines.
func (r *Rounds) askPeers(ctx context.Context, req reliefRequest) ([]int, bool) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	total := make([]int, len(req.Needs))
	answered, asked := map[incarnation]bool{}, map[incarnation]bool{}
	responses := make(chan peerResponse)
	ticker := r.clock.NewTicker(retryInterval)
	defer ticker.Stop()
	var grace <-chan time.Time
	for {
		unanswered := 0
		for _, m := range r.members.Live() {
			id := incarnation{m.Name, m.Incarnation}
			if m.Name == r.self || answered[id] {
				continue
			}
			unanswered++
			if !asked[id] {
				asked[id] = true
				wg.Go(func() { r.askUntilAnswered(ctx, m, req, responses) })
			}
		}
		if unanswered == 0 || isCovered(req.Needs, total) {
			return total, unanswered == 0
		}
		select {
		case resp := <-responses:
			answered[resp.peer] = true
			for i, n := range resp.freed {
				total[i] += n
				if n > 0 && grace == nil {
					grace = r.clock.After(gracePeriod)
				}
			}
		case <-ticker.Chan(): // peers may have left the membership
		case <-grace:
			return total, false
		case <-ctx.Done():
			return total, false
		}
	}
}

// askUntilAnswered calls one peer until it answers. If a response is lost, the peer gives up
// more work than requested, which does not harm a higher tier.
func (r *Rounds) askUntilAnswered(ctx context.Context, m fireflypath.Member, req reliefRequest, responses chan<- peerResponse) {
	for ctx.Err() == nil {
		resp, err := r.askOnce(ctx, m, req)
		if err == nil {
			select {
			case responses <- peerResponse{peer: incarnation{m.Name, m.Incarnation}, freed: resp.Freed}:
			case <-ctx.Done():
			}
			return
		}
		select {
		case <-r.clock.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

func (r *Rounds) askOnce(ctx context.Context, m fireflypath.Member, req reliefRequest) (reliefResponse, error) {
	r.metrics.asked.Inc(1)
	askedAt := r.clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, callTimeout)
	defer cancel()
	var resp reliefResponse
	if err := r.caller.Call(ctx, m, method, req, &resp); err != nil {
		return resp, err
	}
	if len(resp.Freed) != len(req.Needs) {
		return resp, errors.Newf("response of %s does not match the request", m.Name)
	}
	if r.windows != nil && resp.Fraction > 0 {
		r.windows.Borrow(req.Pool, askedAt, resp.Fraction)
	}
	return resp, nil
}

func isCovered(needs []need, total []int) bool {
	for i, n := range needs {
		if total[i] < n.Tokens {
			return false
		}
	}
	return true
}

// Register registers the handler for the requests of peers.
func (r *Rounds) Register(e *peer.Endpoint) {
	e.Handle(method, r.handleRelieve)
}

func (r *Rounds) handleRelieve(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req reliefRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode the question for relief")
	}
	c := r.cluster()
	if c == nil {
		return nil, errors.New("daemon is starting")
	}
	resp := reliefResponse{Freed: make([]int, len(req.Needs))}
	for i, n := range req.Needs {
		resp.Freed[i] = max(0, c.Relieve(req.Pool, n.Rank, n.Tokens))
		if resp.Freed[i] == 0 {
			r.metrics.none.Inc(1)
			continue
		}
		r.metrics.freed.Inc(int64(resp.Freed[i]))
		if r.windows != nil {
			resp.Fraction += r.windows.LendForRelief(req.Pool, n.Rank, resp.Freed[i])
		}
	}
	return resp, nil
}
