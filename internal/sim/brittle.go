package sim

import (
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/load"
)

const (
	// brittleNotice is how long engines say that they are brittle before they let fewer wait.
	brittleNotice = 3 * time.Second
	// fallTime is how long an engine that has fallen over is down.
	fallTime = 4 * time.Second
)

// brittleness is what an engine bears that fails when it turns away too much.
type brittleness struct {
	// active is true once too many refusals make the engine fall.
	active     bool
	turnedAway []time.Time
	falls      int
}

// applyBrittle makes engines brittle for some time.
func (w *world) applyBrittle(b load.Brittle) {
	for _, t := range w.randomTargets(b.Fraction) {
		t.notice.Brittle, t.notice.MaxTurnedAway = true, b.MaxTurnedAway
		w.loop.After(brittleNotice, func() {
			t.brittleness.active = true
			t.SetQueue(0)
		})
		w.loop.After(b.Duration, func() {
			t.notice.Brittle, t.notice.MaxTurnedAway = false, 0
			t.brittleness.active = false
			t.SetQueue(w.options.Fleet.Engines.Queue)
		})
	}
}

// recordTurnedAway counts a request for which the engine had no room.
func (w *world) recordTurnedAway(t *target) {
	b, now := &t.brittleness, w.loop.Now()
	if !b.active || t.Stopped() {
		return
	}
	b.turnedAway = append(b.turnedAway, now)
	for now.Sub(b.turnedAway[0]) > time.Second {
		b.turnedAway = b.turnedAway[1:]
	}
	if len(b.turnedAway) > t.notice.MaxTurnedAway {
		b.falls++
		b.turnedAway = nil
		t.Stop()
		w.loop.After(fallTime, t.Restart)
	}
}

// applySilence makes engines fall silent and go on.
func (w *world) applySilence(s load.Silence) {
	for _, t := range w.randomTargets(s.Fraction) {
		t.Pause()
		w.loop.After(s.Duration, t.Resume)
	}
}
