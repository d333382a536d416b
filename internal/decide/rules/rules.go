// Package rules applies the operators' admission rules.
//
// They are for a team or kind of request that sends more than the operators granted it
// while the pools still have capacity. Without rules, fair shares limit such a team only
// once requests wait; by then, long prompts of a low tier have been prefilled ahead of the
// others.
package rules

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
)

// burst is how far requests may run ahead of a limit's rate. Callers are told to retry
// after at least a second, so a smaller burst would refuse a steady stream that arrives in
// one-second bursts.
const burst = time.Second

// Decision is the result of the rules for a request.
type Decision struct {
	// Rule is the name of the rule that decided, empty if none matched.
	Rule string
	// Refused is true if the request is not admitted.
	Refused bool
	// Detail is the reason, with the figures.
	Detail string
	// RetryAfter is the time until the limit has room; 0 means that retrying cannot help.
	RetryAfter time.Duration
}

// Rules decides on requests of all pools of a daemon. Requests take no lock: the compiled
// list is swapped when the configuration changes, and limits are updated atomically.
type Rules struct {
	list atomic.Pointer[compiled]
	// mu is held while the list of a new configuration is compiled.
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

// Decide applies the first matching rule. A limit is divided between the given number of
// daemons, evenly unless SetShare set another share: a common count would cost messages
// for every request.
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
	dec := Decision{Rule: r.Name}
	switch r.Act {
	case fireflypath.RuleRefuse:
		dec.Refused = true
		dec.Detail = fmt.Sprintf("rule %s refuses this work of %d estimated tokens", r.Name, w.Cost.Tokens())
	case fireflypath.RuleLimit:
		r.limit.offered.Add(int64(w.Cost.Tokens()))
		dec.RetryAfter = r.limit.admit(now, timePerToken(r.Limit, r.limit.share(daemons)), w.Cost.Tokens())
		dec.Refused = dec.RetryAfter > 0
		if dec.Refused {
			dec.Detail = fmt.Sprintf("rule %s allows %d tokens a second over %d daemons", r.Name, r.Limit, max(daemons, 1))
		}
	}
	return dec
}

// timePerToken is the time between two tokens at this daemon's share of a limit.
func timePerToken(tokens int, share float64) float64 {
	return float64(time.Second) / share / float64(max(tokens, 1))
}

// current returns the compiled list of the configuration. Limits that it keeps continue to
// count.
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
	// A request may still carry the previous configuration; the newer list is kept.
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

// limit is a rate limiter by virtual scheduling (GCRA): its clock runs ahead of real time
// by the cost of the admitted requests. A request of any length is admitted while the
// clock is less than burst ahead, and its cost is charged afterwards: request lengths vary
// by a factor of a hundred, and a limit that long requests could never pass would refuse
// them for good.
type limit struct {
	// clock is a Unix time in nanoseconds.
	clock atomic.Int64
	// shareBits is this daemon's share of the limit as the bits of a float64; 0 if the
	// daemons have not exchanged demands yet.
	shareBits atomic.Uint64
	// offered counts the tokens of all requests, admitted or not.
	offered atomic.Int64
	// rate is the mean number of offered tokens per second as of measuredAt. These three
	// fields are guarded by Rules.mu.
	rate        float64
	lastOffered int64
	measuredAt  time.Time
}

// admit counts the tokens and returns 0, or returns the time until there is room.
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
