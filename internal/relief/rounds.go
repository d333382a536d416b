// Package relief asks the other daemons to give up lower waiting work.
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
	// askTimeout bounds one question; a peer that is slower is asked again. The
	// work it gave up by then stays given up, which harms no higher tier.
	askTimeout = time.Second
	// askAgain is the pause before a peer that failed is asked again. It is
	// out of the membership after a few seconds, or it answers.
	askAgain = 200 * time.Millisecond
	// linger is how long a round that has freed something waits for the rest.
	linger = 100 * time.Millisecond
)

// Caller asks one daemon.
type Caller interface {
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Windows hands parts of windows over together with the work given up. It may
// be nil.
type Windows interface {
	// LendForRelief gives a part of a pool's windows for tokens of work of a rank.
	LendForRelief(pool string, rank, tokens int) float64
	// Borrow uses such a part, asked for at that time.
	Borrow(pool string, asked time.Time, part float64)
}

// Rounds implements fireflypath.Relief: one round in flight per pool, in which
// each live peer is asked once for all requests that wait for relief, so that
// overload does not multiply messages.
type Rounds struct {
	members fireflypath.Members
	self    string
	caller  Caller
	cluster func() fireflypath.Cluster
	windows Windows
	clock   clockwork.Clock
	count   counters

	mu    sync.Mutex
	pools map[string]*queue
}

type counters struct {
	rounds, asked, joined, freed, none, unanswered tally.Counter
}

// queue is one pool's rounds.
type queue struct {
	running bool
	// next are the requests that wait for the next round.
	next []*waiter
}

// waiter is one call of Ask.
type waiter struct {
	ctx    context.Context
	rank   int
	tokens int
	done   chan int
}

// need is what the requests of one rank want.
type need struct {
	Rank   int `json:"rank"`
	Tokens int `json:"tokens"`
}

// question is sent to each peer.
type question struct {
	Pool string `json:"pool"`
	// Needs are ordered by rank, the highest tier first.
	Needs []need `json:"needs"`
}

// answer says what the peer freed, by the question's needs.
type answer struct {
	Freed []int `json:"freed"`
	// Part of the pool's windows goes with it.
	Part float64 `json:"part,omitempty"`
}

var _ fireflypath.Relief = (*Rounds)(nil)

// New makes the rounds of the daemon self. cluster gives this daemon's own
// route, which answers peers; windows may be nil.
func New(self string, members fireflypath.Members, caller Caller, cluster func() fireflypath.Cluster,
	windows Windows, clock clockwork.Clock, scope tally.Scope,
) *Rounds {
	scope = scope.SubScope("relief")
	return &Rounds{
		members: members, self: self, caller: caller, cluster: cluster, windows: windows, clock: clock,
		pools: map[string]*queue{},
		count: counters{
			rounds: scope.Counter("rounds"), asked: scope.Counter("asked"), joined: scope.Counter("joined"),
			freed: scope.Counter("freed"), none: scope.Counter("none"), unanswered: scope.Counter("unanswered"),
		},
	}
}

// Ask joins the pool's next round. It returns 0 without an error only after
// every live peer, asked after this call began, said that it holds no lower
// waiting work. If the context ends first, it returns the context's error.
func (r *Rounds) Ask(ctx context.Context, pool string, rank, tokens int) (int, error) {
	w := &waiter{ctx: ctx, rank: rank, tokens: max(1, tokens), done: make(chan int, 1)}
	r.mu.Lock()
	q := r.pools[pool]
	if q == nil {
		q = &queue{}
		r.pools[pool] = q
	}
	q.next = append(q.next, w)
	if q.running {
		r.count.joined.Inc(1)
	} else {
		q.running = true
		go r.run(pool, q)
	}
	r.mu.Unlock()
	select {
	case got := <-w.done:
		return got, nil
	case <-ctx.Done():
		r.count.unanswered.Inc(1)
		return 0, errors.Wrapf(ctx.Err(), "relief for pool %s", pool)
	}
}

// run makes rounds until nobody waits for one.
func (r *Rounds) run(pool string, q *queue) {
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
		rest := r.round(pool, batch)
		r.mu.Lock()
		q.next = append(rest, q.next...)
		r.mu.Unlock()
	}
}

// wanted lasts as long as one of the waiters wants an answer.
func wanted(batch []*waiter) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	var left atomic.Int64
	left.Store(int64(len(batch)))
	stops := make([]func() bool, 0, len(batch))
	for _, w := range batch {
		stops = append(stops, context.AfterFunc(w.ctx, func() {
			if left.Add(-1) == 0 {
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

// round asks all peers for a batch and hands out what they free. It returns the
// waiters that got nothing although not every peer has answered.
func (r *Rounds) round(pool string, batch []*waiter) []*waiter {
	r.count.rounds.Inc(1)
	ctx, cancel := wanted(batch)
	defer cancel()
	needs := join(batch)
	freed, complete := r.askAll(ctx, question{Pool: pool, Needs: needs})
	// Work that is past its time wants all that anybody holds. Served first, it
	// would take what was given up for requests that can still run, and those
	// would hear "none" and be refused.
	slices.SortStableFunc(batch, func(a, b *waiter) int { return cmp.Compare(a.tokens, b.tokens) })
	var rest []*waiter
	for _, w := range batch {
		if w.ctx.Err() != nil {
			continue // Ask has returned
		}
		got := 0
		for i, n := range needs {
			if n.Rank == w.rank {
				got = min(freed[i], w.tokens)
				freed[i] -= got
			}
		}
		if got == 0 && !complete {
			rest = append(rest, w)
			continue
		}
		w.done <- got
	}
	return rest
}

// join sums the batch by rank, the highest tier first.
func join(batch []*waiter) []need {
	const ranks = 16 // settings allow ranks from 0 to 15
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

// reply is what one peer said.
type reply struct {
	peer  incarnation
	freed []int
}

// incarnation names one life of a peer: one that came back may hold work again.
type incarnation struct {
	name   string
	number uint64
}

// askAll asks every live peer until each has answered or is gone; it reports
// whether that is so. It ends early, with what was freed, once that is enough
// or the rest is slow.
//
// A peer that does not answer may hold lower work, so that shedding now could
// shed a higher tier first. It is asked again until it answers or the
// membership drops it; the requests wait meanwhile, at most to their deadlines.
func (r *Rounds) askAll(ctx context.Context, q question) ([]int, bool) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	total := make([]int, len(q.Needs))
	answered, asked := map[incarnation]bool{}, map[incarnation]bool{}
	replies := make(chan reply)
	look := r.clock.NewTicker(askAgain)
	defer look.Stop()
	var enough <-chan time.Time
	for {
		open := 0
		for _, m := range r.members.Live() {
			k := incarnation{m.Name, m.Incarnation}
			if m.Name == r.self || answered[k] {
				continue
			}
			open++
			if !asked[k] {
				asked[k] = true
				wg.Go(func() { r.ask(ctx, m, q, replies) })
			}
		}
		if open == 0 || covered(q.Needs, total) {
			return total, open == 0
		}
		select {
		case a := <-replies:
			answered[a.peer] = true
			for i, n := range a.freed {
				total[i] += n
				if n > 0 && enough == nil {
					enough = r.clock.After(linger)
				}
			}
		case <-look.Chan(): // peers that left the membership no longer count
		case <-enough:
			return total, false
		case <-ctx.Done():
			return total, false
		}
	}
}

// ask puts the question to one peer until it answers. If an answer is lost, the
// peer gives up more work than was asked for; no higher tier is harmed by that.
func (r *Rounds) ask(ctx context.Context, m fireflypath.Member, q question, replies chan<- reply) {
	for ctx.Err() == nil {
		a, err := r.askOnce(ctx, m, q)
		if err == nil {
			select {
			case replies <- reply{peer: incarnation{m.Name, m.Incarnation}, freed: a.Freed}:
			case <-ctx.Done():
			}
			return
		}
		select {
		case <-r.clock.After(askAgain):
		case <-ctx.Done():
		}
	}
}

func (r *Rounds) askOnce(ctx context.Context, m fireflypath.Member, q question) (answer, error) {
	r.count.asked.Inc(1)
	asked := r.clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, askTimeout)
	defer cancel()
	var a answer
	if err := r.caller.Call(ctx, m, method, q, &a); err != nil {
		return a, err
	}
	if len(a.Freed) != len(q.Needs) {
		return a, errors.Newf("answer of %s does not fit the question", m.Name)
	}
	if r.windows != nil && a.Part > 0 {
		r.windows.Borrow(q.Pool, asked, a.Part)
	}
	return a, nil
}

func covered(needs []need, total []int) bool {
	for i, n := range needs {
		if total[i] < n.Tokens {
			return false
		}
	}
	return true
}

// Register registers the answer to peers' questions.
func (r *Rounds) Register(e *peer.Endpoint) {
	e.Handle(method, r.answer)
}

func (r *Rounds) answer(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decode the question for relief")
	}
	c := r.cluster()
	if c == nil {
		return nil, errors.New("daemon is starting")
	}
	a := answer{Freed: make([]int, len(q.Needs))}
	for i, n := range q.Needs {
		a.Freed[i] = max(0, c.Relieve(q.Pool, n.Rank, n.Tokens))
		if a.Freed[i] == 0 {
			r.count.none.Inc(1)
			continue
		}
		r.count.freed.Inc(int64(a.Freed[i]))
		if r.windows != nil {
			a.Part += r.windows.LendForRelief(q.Pool, n.Rank, a.Freed[i])
		}
	}
	return a, nil
}
