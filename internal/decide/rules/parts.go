package rules

import (
	"math"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// maxShared bounds the limits whose arrivals daemons tell each other. A line
	// takes about 50 bytes to each of up to sixteen mates and is told when it
	// changes by a tenth of the limit, a second apart at most; 256 limits that all
	// change would cost many times the 3 KB a second for control. Limits after
	// the first eight are split evenly.
	maxShared = 8
	// horizon is how long arrivals are averaged: twice the time between two
	// exchanges, so that lumps of a second do not move the parts.
	horizon = 2 * time.Second
)

// Offered is what comes for each shared limit, in tokens a second, as the
// demand of a pool that has the limit's tokens as slots. It is to be called a
// few times a second.
func (r *Rules) Offered(now time.Time, cfg *fireflypath.Config) []fireflypath.Demand {
	list := r.current(cfg).rules
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fireflypath.Demand
	for _, name := range Shared(cfg) {
		for i := range list {
			if l := &list[i]; l.Name == name {
				rate := int(l.limit.measure(now))
				out = append(out, fireflypath.Demand{Pool: Key(name), Slots: l.Limit, Busy: []int{rate}})
			}
		}
	}
	return out
}

// prefix marks a limit between the pools of an exchange.
const prefix = "limit "

// Key is what a rule's limit is called between the pools of an exchange.
func Key(rule string) string {
	return prefix + rule
}

// Named is the rule of a key.
func Named(key string) (rule string, ok bool) {
	return strings.CutPrefix(key, prefix)
}

// Shared names the rules whose limits are split by what comes.
func Shared(cfg *fireflypath.Config) []string {
	var out []string
	for _, r := range cfg.Rules {
		if r.Act == fireflypath.RuleLimit && len(out) < maxShared {
			out = append(out, r.Name)
		}
	}
	return out
}

// Apply puts a part of a rule's limit in force; 0 is the even part.
func (r *Rules) Apply(cfg *fireflypath.Config, name string, part float64) {
	list := r.current(cfg).rules
	for i := range list {
		if l := &list[i]; l.Name == name {
			l.limit.part.Store(math.Float64bits(part))
		}
	}
}

// share is the part in force.
func (l *limit) share(daemons int) float64 {
	if part := math.Float64frombits(l.part.Load()); part > 0 {
		return part
	}
	return 1 / float64(max(daemons, 1))
}

// measure brings the rate up to date. The caller holds Rules.mu.
func (l *limit) measure(now time.Time) float64 {
	total := l.offered.Load()
	passed := now.Sub(l.measured).Seconds()
	switch {
	case l.measured.IsZero():
	case passed <= 0:
		return l.rate
	default:
		weight := 1 - math.Exp(-passed/horizon.Seconds())
		l.rate += (float64(total-l.counted)/passed - l.rate) * weight
	}
	l.counted, l.measured = total, now
	return l.rate
}
