// Package lending carries the messages by which cells lend slots to each other.
//
// The dispatcher of a cell in need asks the dispatchers of a few other cells of the pool. It finds them
// as the daemons of those cells do: all compute the same cells and the same order of candidates. A
// daemon that is not the dispatcher answers with the one that it has chosen. What is asked, granted and
// used is decided in package lend; which daemon places work, in package dispatch.
package lending

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/lend"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodAsk = "lend"
	// pollInterval is how often a dispatcher checks whether a request to another cell is due.
	pollInterval = 50 * time.Millisecond
	// callTimeout bounds a call. A host that has used up its CPU quota stalls for up to 100 ms, and
	// the lender has its grant confirmed before it answers.
	callTimeout = 250 * time.Millisecond
	// maxTries is how many daemons of a cell are asked for a request: the expected dispatcher, the one
	// that it names and the one after that.
	maxTries = 3
)

// Dispatch is the dispatchers' side of lending.
type Dispatch interface {
	PlanBorrowing() []dispatch.AskRequest
	ApplyGrant(r *dispatch.AskRequest, g *lend.Grant)
	AskFailed(r *dispatch.AskRequest)
	AnswerAsk(pool, from string, ask *lend.Ask) (lend.Grant, error)
	CellCandidates(cell int) []fireflypath.Member
	Dispatcher(pool string) string
	LendingStates() []dispatch.LendingState
}

// Peers registers methods for calls from other daemons and makes such calls.
type Peers interface {
	Handle(method string, m peer.Handler)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// key identifies a lender.
type key struct {
	pool string
	cell int
}

// Lending exchanges requests and grants with other cells.
type Lending struct {
	self     string
	peers    Peers
	dispatch Dispatch
	clock    clockwork.Clock
	log      *zap.Logger
	metrics  metrics
	calls    conc.WaitGroup

	mu sync.Mutex
	// busy holds the cells that a request is on the way to; known the dispatchers that answered last.
	busy  map[key]bool
	known map[key]string
	// lenders holds the dispatchers whose grants this daemon has got in the present episode, by pool.
	lenders map[string]map[string]bool
	// reports holds what was last logged, by pool. It belongs to Run.
	reports map[string]*report
}

type metrics struct {
	asked, unanswered, granted, refused, expired tally.Counter
	held, lent                                   tally.Gauge
}

// New registers the method for calls. It must be called before the endpoint serves.
func New(self string, peers Peers, d Dispatch, clock clockwork.Clock, scope tally.Scope, log *zap.Logger) *Lending {
	scope = scope.SubScope("lending")
	l := &Lending{
		self: self, peers: peers, dispatch: d, clock: clock, log: log,
		metrics: metrics{
			asked: scope.Counter("asked"), unanswered: scope.Counter("unanswered"), granted: scope.Counter("granted"),
			refused: scope.Counter("refused"), expired: scope.Counter("expired"), held: scope.Gauge("held"), lent: scope.Gauge("lent"),
		},
		busy: map[key]bool{}, known: map[key]string{}, lenders: map[string]map[string]bool{}, reports: map[string]*report{},
	}
	peers.Handle(methodAsk, l.handleAsk)
	return l
}

// askMessage is a request to another cell.
type askMessage struct {
	Pool string `json:"pool"`
	lend.Ask
}

// answerMessage is the answer to it.
type answerMessage struct {
	lend.Grant
	// NotDispatcher is true if the daemon does not place the work of its cell; Dispatcher is the one
	// that it has chosen.
	NotDispatcher bool   `json:"not,omitempty"`
	Dispatcher    string `json:"d,omitempty"`
}

func (l *Lending) handleAsk(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m askMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode request for slots")
	}
	g, err := l.dispatch.AnswerAsk(m.Pool, from, &m.Ask)
	if errors.Is(err, dispatch.ErrNotDispatcher) {
		return answerMessage{NotDispatcher: true, Dispatcher: l.dispatch.Dispatcher(m.Pool)}, nil
	}
	return answerMessage{Grant: g}, err
}

// Run sends requests that are due until the context ends.
func (l *Lending) Run(ctx context.Context) {
	defer l.calls.Wait()
	t := l.clock.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		for _, r := range l.dispatch.PlanBorrowing() {
			if l.begin(key{r.Pool, r.Cell}) {
				l.calls.Go(func() { l.ask(ctx, &r) })
			}
		}
		l.report()
	}
}

// begin reports whether a request may be sent to a lender: only one is on the way at a time.
func (l *Lending) begin(k key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[k] {
		return false
	}
	l.busy[k] = true
	return true
}

func (l *Lending) end(k key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, k)
}

// nextCandidate returns the preferred member if it was not tried, or else the first one that was not.
func nextCandidate(candidates []fireflypath.Member, preferred string, tried map[string]bool) (fireflypath.Member, bool) {
	i := slices.IndexFunc(candidates, func(m fireflypath.Member) bool { return m.Name == preferred && !tried[m.Name] })
	if i < 0 {
		i = slices.IndexFunc(candidates, func(m fireflypath.Member) bool { return !tried[m.Name] })
	}
	if i < 0 {
		return fireflypath.Member{}, false
	}
	return candidates[i], true
}

// ask sends a request to the dispatcher of another cell and applies its answer.
func (l *Lending) ask(ctx context.Context, r *dispatch.AskRequest) {
	k := key{r.Pool, r.Cell}
	defer l.end(k)
	l.metrics.asked.Inc(1)
	candidates := l.dispatch.CellCandidates(r.Cell)
	to := l.lastKnown(k)
	tried := map[string]bool{}
	for len(tried) < maxTries {
		m, ok := nextCandidate(candidates, to, tried)
		if !ok {
			break
		}
		tried[m.Name] = true
		answer, err := l.call(ctx, m, r)
		if err == nil && !answer.NotDispatcher {
			l.remember(k, m.Name)
			if answer.Lease > 0 {
				l.addLender(r.Pool, m.Name)
			}
			l.dispatch.ApplyGrant(r, &answer.Grant)
			return
		}
		to = answer.Dispatcher
		if err != nil && !errors.Is(err, peer.ErrUnreachable) {
			l.log.Debug("no answer to request for slots", zap.String("pool", r.Pool), zap.String("dispatcher", m.Name), logs.Err(err))
			break
		}
	}
	l.remember(k, "")
	l.metrics.unanswered.Inc(1)
	l.dispatch.AskFailed(r)
}

func (l *Lending) call(ctx context.Context, to fireflypath.Member, r *dispatch.AskRequest) (answerMessage, error) {
	var answer answerMessage
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.peers.Call(ctx, to, methodAsk, askMessage{Pool: r.Pool, Ask: r.Ask}, &answer)
	return answer, err
}

// addLender notes a dispatcher for the log.
func (l *Lending) addLender(pool, dispatcher string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lenders[pool] == nil {
		l.lenders[pool] = map[string]bool{}
	}
	l.lenders[pool][dispatcher] = true
}

// takeLenders returns the dispatchers whose grants this daemon has got, and forgets them if end is true.
func (l *Lending) takeLenders(pool string, end bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Sorted(maps.Keys(l.lenders[pool]))
	if end {
		delete(l.lenders, pool)
	}
	return out
}

func (l *Lending) lastKnown(k key) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[k]
}

func (l *Lending) remember(k key, dispatcher string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if dispatcher == "" {
		delete(l.known, k)
		return
	}
	l.known[k] = dispatcher
}
