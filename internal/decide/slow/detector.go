// Package slow finds targets that have become stragglers.
//
// It answers a slow target. Without it a target that still answers, ten times
// slower than before, keeps its part of the work: whatever is sent there ends
// too late, and its prefill is thrown away.
package slow

import "time"

// State is what a straggler may still get.
type State int8

const (
	// Ready is a target that works as it used to, compared with the others.
	Ready State = iota
	// Slow gets work only when no ready target has room.
	Slow
	// Ejected gets nothing until its next probe.
	Ejected
	// Probing has one request that decides.
	Probing
)

const (
	// smooth weighs a new answer: two or three bad ones outweigh the past.
	smooth = 0.35
	// suspect and eject are how many times longer than the other targets, each
	// against its own past, a target may take. Batches and caches move answers
	// by a factor of about two without any fault.
	suspect = 2.5
	eject   = 5
	// samples is how many answers are needed before a target is ejected.
	samples = 3
	// pause is the time before the first probe; it doubles to at most longest.
	// A probe costs a request that may end late, so it is rare.
	pause   = 2 * time.Second
	longest = 30 * time.Second
)

// Detector watches one target.
type Detector struct {
	ratio float64
	n     int
	state State
	wait  time.Duration
	until time.Time
}

// Sample takes how many times longer than expected an answer took; pool is the
// average of that over all targets, so that overload ejects nobody.
func (d *Detector) Sample(now time.Time, ratio, pool float64) {
	if d.n == 0 {
		d.ratio = ratio
	}
	d.n++
	d.ratio += smooth * (ratio - d.ratio)
	rel := d.ratio / max(pool, 1)
	if d.state == Probing {
		d.probed(now, ratio/max(pool, 1))
		return
	}
	switch {
	case rel > eject && d.n >= samples:
		d.eject(now)
	case rel > suspect && d.n >= samples:
		d.state = Slow
	case d.state != Ejected:
		d.state = Ready
		d.wait = 0
	}
}

// Fail ejects a target that refused or cut work.
func (d *Detector) Fail(now time.Time) {
	d.eject(now)
}

// Spare takes an ejection back: the target stays in use as a slow one.
func (d *Detector) Spare() {
	d.state = Slow
}

// Probe marks a probe as sent.
func (d *Detector) Probe() {
	if d.state == Ejected {
		d.state = Probing
	}
}

// Reset forgets the past, for a target that came back.
func (d *Detector) Reset() {
	*d = Detector{}
}

// State is the present state.
func (d *Detector) State() State { return d.state }

// Due is when an ejected target may be probed.
func (d *Detector) Due() time.Time { return d.until }

func (d *Detector) probed(now time.Time, rel float64) {
	if rel > suspect {
		d.eject(now)
		return
	}
	d.state = Ready
	d.ratio = rel
	d.n = 1
	d.wait = 0
}

func (d *Detector) eject(now time.Time) {
	d.wait = min(max(2*d.wait, pause), longest)
	d.until = now.Add(d.wait)
	d.state = Ejected
}
