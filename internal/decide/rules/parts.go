package rules

import (
	"math"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// maxSharedLimits bounds the limits whose arrivals daemons tell each other. A line
	// takes about 50 bytes to each of up to sixteen mates and is told when it
	// changes by a tenth of the limit, a second apart at most; 256 limits that all
	// change would cost many times the 3 KB a second for control. Limits after
	// the first eight are split evenly.
	maxSharedLimits = 8
	// averagingTime is how long arrivals are averaged: twice the time between two
	// exchanges, so that lumps of a second do not move the parts.
	averagingTime = 2 * time.Second
)

// Demands is what comes for each shared limit, in tokens a second, as the
// demand of a pool that has the limit's tokens as slots. It is to be called a
// few times a second.
func (r *Rules) Demands(now time.Time, cfg *fireflypath.Config) []fireflypath.Demand {
	list := r.current(cfg).rules
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fireflypath.Demand
	for _, name := range SharedLimits(cfg) {
		for i := range list {
			if l := &list[i]; l.Name == name {
				rate := int(l.limit.updateRate(now))
				out = append(out, fireflypath.Demand{Pool: DemandKey(name), Slots: l.Limit, Busy: []int{rate}})
			}
		}
	}
	return out
}

// keyPrefix marks a limit between the pools of an exchange.
const keyPrefix = "limit "

// DemandKey is what a rule's limit is called between the pools of an exchange.
func DemandKey(rule string) string {
	return keyPrefix + rule
}

// RuleOfKey is the rule of a key.
func RuleOfKey(key string) (rule string, ok bool) {
	return strings.CutPrefix(key, keyPrefix)
}

// SharedLimits names the rules whose limits are split by what comes.
func SharedLimits(cfg *fireflypath.Config) []string {
	var out []string
	for _, r := range cfg.Rules {
		if r.Act == fireflypath.RuleLimit && len(out) < maxSharedLimits {
			out = append(out, r.Name)
		}
	}
	return out
}

// SetShare puts a part of a rule's limit in force; 0 is the even part.
func (r *Rules) SetShare(cfg *fireflypath.Config, name string, part float64) {
	list := r.current(cfg).rules
	for i := range list {
		if l := &list[i]; l.Name == name {
			l.limit.shareBits.Store(math.Float64bits(part))
		}
	}
}

// share is the part in force.
func (l *limit) share(daemons int) float64 {
	if part := math.Float64frombits(l.shareBits.Load()); part > 0 {
		return part
	}
	return 1 / float64(max(daemons, 1))
}

// updateRate brings the rate up to date. The caller holds Rules.mu.
func (l *limit) updateRate(now time.Time) float64 {
	total := l.offered.Load()
	passed := now.Sub(l.measuredAt).Seconds()
	switch {
	case l.measuredAt.IsZero():
	case passed <= 0:
		return l.rate
	default:
		weight := 1 - math.Exp(-passed/averagingTime.Seconds())
		l.rate += (float64(total-l.lastOffered)/passed - l.rate) * weight
	}
	l.lastOffered, l.measuredAt = total, now
	return l.rate
}
