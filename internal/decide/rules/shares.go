package rules

import (
	"math"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// maxSharedLimits bounds the limits whose demand daemons exchange. One limit takes
	// about 50 bytes to each of up to sixteen peers, and is sent when the demand changes
	// by a tenth of the limit, at most once a second; 256 limits that all change would
	// cost many times the 3 KB/s meant for control traffic. Limits after the first eight
	// are split evenly.
	maxSharedLimits = 8
	// averagingTime is how long demand is averaged: twice the interval between exchanges,
	// so that demand in one-second bursts does not move the shares.
	averagingTime = 2 * time.Second
)

// Demands returns the demand for each shared limit in tokens per second, in the form of a
// pool's demand whose slots are the limit's tokens. It must be called a few times a
// second.
func (r *Rules) Demands(now time.Time, cfg *fireflypath.Config) []fireflypath.Demand {
	list := r.current(cfg).rules
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fireflypath.Demand
	for _, name := range SharedLimits(cfg) {
		for i := range list {
			if l := &list[i]; l.Name == name {
				rate := int(l.limit.updateRate(now))
				out = append(out, fireflypath.Demand{Pool: DemandKey(name), Slots: l.Limit, RunningRequests: []int{rate}})
			}
		}
	}
	return out
}

// keyPrefix distinguishes limits from pools in an exchange.
const keyPrefix = "limit "

// DemandKey is the name of a rule's limit in an exchange.
func DemandKey(rule string) string {
	return keyPrefix + rule
}

// RuleOfKey is the inverse of DemandKey.
func RuleOfKey(key string) (rule string, ok bool) {
	return strings.CutPrefix(key, keyPrefix)
}

// SharedLimits names the rules whose limits are split by demand.
func SharedLimits(cfg *fireflypath.Config) []string {
	var out []string
	for _, r := range cfg.Rules {
		if r.Act == fireflypath.RuleLimit && len(out) < maxSharedLimits {
			out = append(out, r.Name)
		}
	}
	return out
}

// SetShare sets this daemon's share of a rule's limit; 0 selects the even share.
func (r *Rules) SetShare(cfg *fireflypath.Config, name string, share float64) {
	list := r.current(cfg).rules
	for i := range list {
		if l := &list[i]; l.Name == name {
			l.limit.shareBits.Store(math.Float64bits(share))
		}
	}
}

// share is the share in effect.
func (l *limit) share(daemons int) float64 {
	if share := math.Float64frombits(l.shareBits.Load()); share > 0 {
		return share
	}
	return 1 / float64(max(daemons, 1))
}

// updateRate brings the rate up to date. The caller holds Rules.mu.
func (l *limit) updateRate(now time.Time) float64 {
	offered := l.offered.Load()
	elapsed := now.Sub(l.measuredAt).Seconds()
	switch {
	case l.measuredAt.IsZero():
	case elapsed <= 0:
		return l.rate
	default:
		weight := 1 - math.Exp(-elapsed/averagingTime.Seconds())
		l.rate += (float64(offered-l.lastOffered)/elapsed - l.rate) * weight
	}
	l.lastOffered, l.measuredAt = offered, now
	return l.rate
}
