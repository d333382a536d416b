// Package speed learns how fast one target works from its own answers.
//
// It answers unlike targets: replicas of five hardware generations differ
// several times in speed, and without learned speeds the slow ones get as much
// work as the fast ones and end it too late.
package speed

import "time"

const (
	// rise and fall weigh a sample of the prefill speed above or below the
	// estimate. Samples are low whenever other daemons' work stood before ours,
	// so the estimate follows the fastest answers and forgets them in about
	// twenty samples.
	rise = 0.3
	fall = 0.05
	// smooth weighs a sample of delay or decode speed: about ten samples, a few
	// seconds of work at one target.
	smooth = 0.1
	// enough is the least number of tokens of a sample of speed; below it the
	// network and the engine's step time hide the speed.
	enough = 64
	// least is the delay in seconds that counts: a hop of the network.
	least = 0.001
	// reach is how long a measured delay counts in full: load reports lag by up
	// to two seconds, so what was seen longer ago is no better than no news.
	reach = 4 * time.Second
)

// Speed is what is known of one target. The zero value knows nothing.
type Speed struct {
	prefill float64
	decode  float64
	delay   float64
	// at is when delay was last measured.
	at time.Time
}

// First learns from a first token: tokens is what had to be prefilled since
// the dispatch, this daemon's own work ahead included.
func (s *Speed) First(now time.Time, tokens int, took time.Duration) {
	sec := max(took.Seconds(), 1e-4)
	if tokens >= enough {
		rate := float64(tokens) / sec
		w := fall
		if rate > s.prefill {
			w = rise
		}
		if s.prefill == 0 {
			w = 1
		}
		s.prefill += w * (rate - s.prefill)
	}
	own := 0.0
	if s.prefill > 0 {
		own = float64(tokens) / s.prefill
	}
	s.delay += smooth * 2 * (max(sec-own, 0) - s.delay)
	s.at = now
}

// Done learns from a whole answer that took so long after its first token.
func (s *Speed) Done(output int, took time.Duration) {
	if output < 2 {
		return
	}
	rate := float64(output-1) / max(took.Seconds(), 1e-4)
	if s.decode == 0 {
		s.decode = rate
	}
	s.decode += smooth * (rate - s.decode)
}

// Adopt takes over what another daemon learned, if nothing is known here.
func (s *Speed) Adopt(prefill, decode float64) {
	if s.prefill == 0 && s.decode == 0 {
		s.prefill, s.decode = prefill, decode
	}
}

// Prefill is in tokens a second, 0 if unknown.
func (s *Speed) Prefill() float64 { return s.prefill }

// Decode is in tokens a second for one request, 0 if unknown.
func (s *Speed) Decode() float64 { return s.decode }

// Delay is the expected wait in the target that own work does not explain; it
// fades with its age.
func (s *Speed) Delay(now time.Time) time.Duration {
	if s.delay < least {
		return 0
	}
	age := now.Sub(s.at)
	d := s.delay
	if age > reach {
		d *= float64(reach) / float64(age)
	}
	return time.Duration(d * float64(time.Second))
}
