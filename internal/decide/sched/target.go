package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
	"github.com/fireflypath/fireflypath/internal/decide/speed"
	"github.com/fireflypath/fireflypath/internal/decide/window"
)

const (
	// defaultPrefillRate and defaultDecodeRate are the speeds in tokens per
	// second assumed before any answer. 27 tokens per second correspond to the
	// specified 37 ms between tokens; a prompt of 2,000 tokens within the
	// specified 0.49 s to the first token requires about 5,000.
	defaultPrefillRate = 5000
	defaultDecodeRate  = 27
	// fastFactor is how many times slower than the fastest target a fast target
	// may be. Of five hardware generations whose speeds span a factor of five,
	// it selects the upper three.
	fastFactor = 2.5
	// blockTokens is the size of a cache block in tokens (docs/PROTOCOLS.md).
	blockTokens = 64
)

// target holds the state of one target as known to this daemon.
type target struct {
	fireflypath.Target
	removed bool
	leaving bool
	window  window.Window
	speed   speed.Estimator
	slow    slow.Detector
	// part is this daemon's fraction of the target's window; dither is the
	// offset used to round it to whole requests.
	part, dither float64
	// nameHash is the hash of the name, equal on all daemons.
	nameHash uint64
	// requests and tokens are this daemon's work in flight; prefillTokens
	// counts the uncached prompt tokens of the requests without a first token.
	requests      int
	tokens        int
	prefillTokens int
	// prefilling is the number of requests without a first token.
	prefilling int
	report     fireflypath.Report
	// countedSlots and countedBusy are the target's contributions to
	// Scheduler.fastSlots and fastBusy.
	countedSlots, countedBusy int
	// countedPart is the target's contribution to Scheduler.totalParts.
	countedPart float64
	// firstTokenDue is the time after which the next first token is overdue.
	firstTokenDue time.Time
	// availablePos is the position in Scheduler.available, or -1.
	availablePos int32
}

// SetTargets replaces the targets. The state of targets that remain is kept.
func (s *Scheduler) SetTargets(_ time.Time, targets []fireflypath.Target) {
	for i := range s.targets {
		s.targets[i].removed = true
	}
	for _, t := range targets {
		s.putTarget(t)
	}
	for i := range s.targets {
		s.updateAvailability(int32(i))
	}
}

// putTarget adds or updates a target. A changed address resets what was learned
// about its window, slowness and cache.
func (s *Scheduler) putTarget(t fireflypath.Target) {
	if i, ok := s.targetIndex[t.Name]; ok {
		old := &s.targets[i]
		old.removed = false
		if old.Addr != t.Addr {
			old.window.Reset()
			old.slow.Reset()
			old.leaving = false
			s.prefixIndex.RemoveTarget(i)
		}
		old.Target = t
		return
	}
	i := s.allocTarget()
	s.targets[i] = target{
		Target:       t,
		window:       window.New(t.Window),
		part:         s.partOf(t.Name),
		dither:       s.ditherOf(t.Name),
		nameHash:     xxhash.Sum64String(t.Name),
		availablePos: none,
	}
	s.targetIndex[t.Name] = i
}

// allocTarget returns the index of a removed target without work in flight, or
// of a new one.
func (s *Scheduler) allocTarget() int32 {
	for i := range s.targets {
		t := &s.targets[i]
		if t.removed && t.requests == 0 && t.availablePos == none {
			delete(s.targetIndex, t.Name)
			s.prefixIndex.RemoveTarget(int32(i))
			return int32(i)
		}
	}
	s.targets = append(s.targets, target{})
	return int32(len(s.targets) - 1)
}

// SetShare sets this daemon's part of each target's window.
func (s *Scheduler) SetShare(_ time.Time, share fireflypath.Share) {
	s.share = share
	for i := range s.targets {
		s.targets[i].part = s.partOf(s.targets[i].Name)
		s.updateAvailability(int32(i))
	}
}

func (s *Scheduler) partOf(name string) float64 {
	if p, ok := s.share.Fractions[name]; ok {
		return p
	}
	return s.share.Default
}

// usable reports whether the target may receive work at all.
func (t *target) usable() bool {
	return !t.removed && !t.leaving && !t.Drained && t.part > 0
}

// maxRequests returns how many requests this daemon may have in flight at the
// target. A part of a window may be a fractional number of requests; dithering
// the rounding with an offset that differs between daemons makes the sum over
// all daemons match the window. Rounding up would overload every target, and
// rounding down would leave small windows unused.
func (t *target) maxRequests() int {
	return int(t.part*t.window.Requests() + t.dither)
}

// hasRoom reports whether one more request may be sent to the target. A target
// below its limits takes one request of any size, so a daemon may exceed its
// part by less than one request. Otherwise a long request that is larger than
// the daemon's part of the window would wait forever. The request limit does
// not apply while nothing is in flight anywhere.
func (s *Scheduler) hasRoom(t *target) bool {
	if !t.usable() {
		return false
	}
	if t.slow.State() == slow.Probing {
		return false
	}
	if s.inFlight > 0 && t.requests >= t.maxRequests() {
		return false
	}
	return t.prefillTokens == 0 || t.prefillTokens < int(t.part*float64(t.window.Tokens(s.prefillRate(t))))
}

// updateAvailability adds a target to the list of available ones or removes it.
func (s *Scheduler) updateAvailability(i int32) {
	t := &s.targets[i]
	s.updateTotals(t)
	if t.slow.State() == slow.Ejected {
		s.removeAvailable(i)
		s.addEjected(i)
		return
	}
	if s.hasRoom(t) {
		if t.availablePos == none {
			t.availablePos = int32(len(s.available))
			s.available = append(s.available, i)
		}
		return
	}
	s.removeAvailable(i)
}

// updateTotals updates the target's contributions to the totals over all
// targets.
func (s *Scheduler) updateTotals(t *target) {
	part := 0.0
	if t.usable() && t.slow.State() != slow.Ejected {
		part = t.part
	}
	s.totalParts += part - t.countedPart
	t.countedPart = part
	slots, busy := 0, 0
	if t.usable() && t.slow.State() == slow.Ready && s.isFast(t) {
		slots, busy = t.maxRequests(), t.requests
	}
	s.fastSlots += slots - t.countedSlots
	s.fastBusy += busy - t.countedBusy
	t.countedSlots, t.countedBusy = slots, busy
}

// isFast reports whether the target is fast enough for work with a tight
// deadline.
func (s *Scheduler) isFast(t *target) bool {
	return fastFactor*s.decodeRate(t) >= s.maxDecodeRate
}

func (s *Scheduler) removeAvailable(i int32) {
	t := &s.targets[i]
	if t.availablePos == none {
		return
	}
	n := len(s.available) - 1
	last := s.available[n]
	s.available[t.availablePos] = last
	s.targets[last].availablePos = t.availablePos
	s.available = s.available[:n]
	t.availablePos = none
}

func (s *Scheduler) addEjected(i int32) {
	for _, j := range s.ejected {
		if i == j {
			return
		}
	}
	s.ejected = append(s.ejected, i)
}

// openForProbing makes ejected targets whose ejection time has passed available
// for one request each.
func (s *Scheduler) openForProbing(now time.Time) {
	for k := 0; k < len(s.ejected); k++ {
		i := s.ejected[k]
		t := &s.targets[i]
		isEjected := t.slow.State() == slow.Ejected
		if isEjected && (now.Before(t.slow.ProbeAt()) || !t.usable() || t.requests > 0) {
			continue
		}
		s.ejected[k] = s.ejected[len(s.ejected)-1]
		s.ejected = s.ejected[:len(s.ejected)-1]
		k--
		if isEjected && t.availablePos == none {
			t.availablePos = int32(len(s.available))
			s.available = append(s.available, i)
		}
	}
}

// hasSpeeds reports whether the target's speeds were learned from answers.
func (t *target) hasSpeeds() bool {
	return t.speed.PrefillRate() > 0 && t.speed.DecodeRate() > 0
}

// prefillRate returns the target's prefill speed. While it is unknown, half the
// highest known speed is assumed.
func (s *Scheduler) prefillRate(t *target) float64 {
	if r := t.speed.PrefillRate(); r > 0 {
		return r
	}
	if s.maxPrefillRate > 0 {
		return s.maxPrefillRate / 2
	}
	return defaultPrefillRate
}

// decodeRate returns the target's decode speed. While it is unknown, half the
// highest known speed is assumed.
func (s *Scheduler) decodeRate(t *target) float64 {
	if r := t.speed.DecodeRate(); r > 0 {
		return r
	}
	if s.maxDecodeRate > 0 {
		return s.maxDecodeRate / 2
	}
	return defaultDecodeRate
}

// expectedSeconds returns how long work takes at a target: the queueing delay
// caused by other daemons, this daemon's prefills ahead of it, its own uncached
// prompt and its output.
func (s *Scheduler) expectedSeconds(now time.Time, t *target, w *fireflypath.Work, cached int) float64 {
	uncached := max(w.Cost.Prompt-cached, 0)
	queueing := max(t.speed.QueueDelay(now).Seconds(), s.othersQueueSeconds(now, t))
	prefill := float64(t.prefillTokens+uncached) / s.prefillRate(t)
	decode := s.expectedOutput(w) / s.decodeRate(t)
	return queueing + prefill + decode
}

// othersQueueSeconds returns how long the target takes to prefill the queued
// work of other daemons, according to its last report and less the time since
// then.
func (s *Scheduler) othersQueueSeconds(now time.Time, t *target) float64 {
	othersWaiting := float64(t.report.Waiting - t.prefilling)
	if othersWaiting <= 0 {
		return 0
	}
	return max(othersWaiting*s.avgUncached/s.prefillRate(t)-now.Sub(t.report.MeasuredAt).Seconds(), 0)
}

// expectedOutput returns the expected number of output tokens.
func (s *Scheduler) expectedOutput(w *fireflypath.Work) float64 {
	return float64(w.Cost.MaxOutput) * s.outputRatio
}
