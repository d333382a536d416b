package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/fair"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

// Demand summarizes the waiting and running work for other daemons.
func (s *Scheduler) Demand(_ time.Time) fireflypath.Demand {
	n := min(s.cfg.LowestRank+1, fair.Ranks)
	d := fireflypath.Demand{
		Pool:            s.cfg.Pool.Name,
		Waiting:         make([]int, n),
		Running:         make([]int, n),
		WaitingRequests: make([]int, n),
		RunningRequests: make([]int, n),
	}
	for r := range n {
		d.Waiting[r] = s.queue.Tokens(r)
		d.Running[r] = s.inFlightTokens[r]
		d.WaitingRequests[r] = s.queue.Requests(r)
		d.RunningRequests[r] = s.inFlightByRank[r]
	}
	for i := range s.targets {
		if t := &s.targets[i]; t.usable() {
			d.Slots += int(t.window.Requests())
		}
	}
	return d
}

// Views appends the state of each target, for operators.
func (s *Scheduler) Views(now time.Time, out []fireflypath.TargetView) []fireflypath.TargetView {
	for i := range s.targets {
		t := &s.targets[i]
		if t.removed {
			continue
		}
		out = append(out, fireflypath.TargetView{
			Target:      t.Name,
			Pool:        s.cfg.Pool.Name,
			State:       t.state(),
			Window:      t.window.Tokens(s.prefillRate(t)),
			Share:       t.part,
			InFlight:    t.tokens,
			Requests:    t.requests,
			PrefillRate: t.speed.PrefillRate(),
			DecodeRate:  t.speed.DecodeRate(),
			Age:         now.Sub(t.report.MeasuredAt),
		})
	}
	return out
}

func (t *target) state() string {
	if t.Drained {
		return "drained"
	}
	if t.leaving {
		return "leaving"
	}
	switch t.slow.State() {
	case slow.Slow:
		return "slow"
	case slow.Ejected:
		return "ejected"
	case slow.Probing:
		return "probing"
	case slow.Ready:
	}
	return "ready"
}
