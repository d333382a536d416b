// Package rules applies the operators' rules for admission.
//
// The load pattern is one team or kind of work that sends more than the
// operators have granted it, while the pools still take everything. Without
// rules, fair shares bound such a team only once work waits; long prompts of a
// low tier have by then been prefilled in front of the others.
package rules

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
)

// burst is how far ahead of its rate limited work may run: callers are told to
// come back after a second at the least, so that less would refuse an even
// stream that arrives in lumps of a second.
const burst = time.Second

// Decision is what the rules say of a request.
type Decision struct {
	// Rule is the name of the rule that decided, empty if none matched.
	Rule string
	// Refused is true if the work is not let in.
	Refused bool
	// Detail says why, with the figures.
	Detail string
	// RetryAfter is when the limit has room; 0 means that it never has.
	RetryAfter time.Duration
}

// Rules decide on requests of all pools of a daemon. They hold no lock on a
// request's path: the compiled list is swapped when the configuration is, and a
// limit is one atomic word.
type Rules struct {
	list atomic.Pointer[compiled]
	// mu is held while a new configuration's list is made.
	mu sync.Mutex
}

type compiled struct {
	cfg   *fireflypath.Config
	rules []rule
}

type rule struct {
	fireflypath.Rule
	limit *limit
}

// Decide applies the first rule that matches. A limit is shared by the given
// number of daemons, evenly unless Apply gave another part: counting together
// would cost messages for each request.
func (r *Rules) Decide(now time.Time, cfg *fireflypath.Config, daemons int, w *fireflypath.Work) Decision {
	list := r.current(cfg).rules
	for i := range list {
		if matches(&list[i].Rule, w) {
			return list[i].decide(now, daemons, w)
		}
	}
	return Decision{}
}

func matches(r *fireflypath.Rule, w *fireflypath.Work) bool {
	return (r.Team == "" || r.Team == w.Team) &&
		(r.Tier == "" || r.Tier == w.Tier) &&
		(r.Pool == "" || r.Pool == w.Pool) &&
		(r.Above == 0 || w.Cost.Tokens() > r.Above)
}

func (r *rule) decide(now time.Time, daemons int, w *fireflypath.Work) Decision {
	v := Decision{Rule: r.Name}
	switch r.Act {
	case fireflypath.RuleRefuse:
		v.Refused = true
		v.Detail = fmt.Sprintf("rule %s refuses this work of %d estimated tokens", r.Name, w.Cost.Tokens())
	case fireflypath.RuleLimit:
		r.limit.offered.Add(int64(w.Cost.Tokens()))
		v.RetryAfter = r.limit.admit(now, timePerToken(r.Limit, r.limit.share(daemons)), w.Cost.Tokens())
		v.Refused = v.RetryAfter > 0
		if v.Refused {
			v.Detail = fmt.Sprintf("rule %s allows %d tokens a second over %d daemons", r.Name, r.Limit, max(daemons, 1))
		}
	}
	return v
}

// timePerToken is the time that one token takes at this daemon's part of a limit.
func timePerToken(tokens int, part float64) float64 {
	return float64(time.Second) / part / float64(max(tokens, 1))
}

// current is the compiled list of the configuration; limits that stay keep
// what they have counted.
func (r *Rules) current(cfg *fireflypath.Config) *compiled {
	if c := r.list.Load(); c != nil && c.cfg == cfg {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.list.Load()
	if old != nil && old.cfg == cfg {
		return old
	}
	c := compile(cfg, old)
	// A request may still carry the configuration before; the newer list stays.
	if old == nil || cfg.Generation >= old.cfg.Generation {
		r.list.Store(c)
	}
	return c
}

func compile(cfg *fireflypath.Config, old *compiled) *compiled {
	limits := make(map[string]*limit)
	if old != nil {
		for _, r := range old.rules {
			limits[r.Name] = r.limit
		}
	}
	c := &compiled{cfg: cfg, rules: make([]rule, 0, len(cfg.Rules))}
	for _, r := range cfg.Rules {
		l := limits[r.Name]
		if l == nil {
			l = &limit{}
		}
		c.rules = append(c.rules, rule{Rule: r, limit: l})
	}
	return c
}

// limit is a virtual scheduling clock: it runs ahead of real time by the cost of
// what was let in. Work enters while the clock is less than burst ahead,
// however long it is, and pays afterwards: request lengths vary by a factor of
// a hundred, and a limit that long work could never pass would not be a limit
// but a refusal.
type limit struct {
	// clock is in Unix nanoseconds.
	clock atomic.Int64
	// shareBits is this daemon's part of the limit as the bits of a float64; 0 if the
	// daemons did not tell each other yet.
	shareBits atomic.Uint64
	// offered counts the tokens that came, let in or not.
	offered atomic.Int64
	// rate is the mean of the tokens that come in a second, as of measured; both
	// and counted are used under Rules.mu.
	rate        float64
	lastOffered int64
	measuredAt  time.Time
}

// admit books the tokens and returns 0, or returns how long there is no room.
func (l *limit) admit(now time.Time, perToken float64, tokens int) time.Duration {
	at := now.UnixNano()
	for {
		clock := l.clock.Load()
		if ahead := time.Duration(clock - at); ahead >= burst {
			return ahead - burst + 1
		}
		next := max(clock, at) + int64(perToken*float64(tokens))
		if l.clock.CompareAndSwap(clock, next) {
			return 0
		}
	}
}
