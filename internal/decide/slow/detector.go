// Package slow detects stragglers among targets.
//
// A target that still answers, but ten times slower than before, would otherwise
// keep its share of the requests. All of them would finish too late, and their
// prefill would be wasted.
package slow

import "time"

// State limits what a target may receive.
type State int8

const (
	// Ready is a target that is as fast as usual, compared with the others.
	Ready State = iota
	// Slow targets receive requests only when no ready target has room.
	Slow
	// Ejected targets receive nothing until the next probe.
	Ejected
	// Probing targets have one request in flight that decides their state.
	Probing
)

const (
	// averageWeight is the weight of a new answer: two or three slow ones outweigh
	// the history.
	averageWeight = 0.35
	// slowRatio and ejectRatio are how many times longer answers may take than at
	// the other targets, each target relative to its own history. Batching and
	// caching change the time of answers by a factor of about two without any
	// fault.
	slowRatio  = 2.5
	ejectRatio = 5
	// minSamples is how many answers are needed before a target is marked slow or
	// ejected.
	minSamples = 3
	// minEjection is the time until the first probe; each further ejection doubles
	// it, up to maxEjection. Probes are rare because each costs a request that may
	// finish late.
	minEjection = 2 * time.Second
	maxEjection = 30 * time.Second
)

// Detector watches one target. The zero value is ready.
type Detector struct {
	averageRatio float64
	samples      int
	state        State
	ejection     time.Duration
	ejectedUntil time.Time
}

// ObserveAnswer records how many times longer than expected an answer took. pool is
// the average of that ratio over all targets, so that an overload ejects no target.
func (d *Detector) ObserveAnswer(now time.Time, ratio, pool float64) {
	if d.samples == 0 {
		d.averageRatio = ratio
	}
	d.samples++
	d.averageRatio += averageWeight * (ratio - d.averageRatio)
	relative := d.averageRatio / max(pool, 1)
	if d.state == Probing {
		d.finishProbe(now, ratio/max(pool, 1))
		return
	}
	switch {
	case relative > ejectRatio && d.samples >= minSamples:
		d.eject(now)
	case relative > slowRatio && d.samples >= minSamples:
		d.state = Slow
	case d.state != Ejected:
		d.state = Ready
		d.ejection = 0
	}
}

// ObserveFailure ejects a target that refused a request or broke off an answer.
func (d *Detector) ObserveFailure(now time.Time) {
	d.eject(now)
}

// RevokeEjection revokes an ejection: the target stays in use as a slow one.
func (d *Detector) RevokeEjection() {
	d.state = Slow
}

// StartProbe marks an ejected target as probing once the probe is sent.
func (d *Detector) StartProbe() {
	if d.state == Ejected {
		d.state = Probing
	}
}

// Reset clears the history, for a target that came back.
func (d *Detector) Reset() {
	*d = Detector{}
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// ProbeAt returns when an ejected target may be probed.
func (d *Detector) ProbeAt() time.Time { return d.ejectedUntil }

// finishProbe ejects the target again for longer, or marks it ready, by the answer
// to a probe.
func (d *Detector) finishProbe(now time.Time, ratio float64) {
	if ratio > slowRatio {
		d.eject(now)
		return
	}
	d.state = Ready
	d.averageRatio = ratio
	d.samples = 1
	d.ejection = 0
}

// eject ejects the target for twice as long as the last time.
func (d *Detector) eject(now time.Time) {
	d.ejection = min(max(2*d.ejection, minEjection), maxEjection)
	d.ejectedUntil = now.Add(d.ejection)
	d.state = Ejected
}
