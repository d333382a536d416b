// Package speed estimates how fast a target works from its answers.
//
// Replicas of five hardware generations differ several times in speed. Without
// learned rates the slow ones would receive as many requests as the fast ones and
// finish them too late.
package speed

import "time"

const (
	// riseWeight and fallWeight are the weights of a prefill rate sample above and
	// below the estimate. A sample is too low whenever requests of other daemons
	// were ahead, so the estimate follows the fastest answers and forgets them
	// after about twenty samples.
	riseWeight = 0.3
	fallWeight = 0.05
	// averageWeight is the weight of a decode rate sample: about ten samples, a few
	// seconds of requests at one target. Delay samples have twice this weight.
	averageWeight = 0.1
	// minSampleTokens is the minimum number of tokens of a prefill rate sample.
	// Below it the latency of the network and of the engine's steps dominates.
	minSampleTokens = 64
	// minDelay is the smallest delay reported, in seconds: one network hop.
	minDelay = 0.001
	// delayLifetime is how long a measured delay counts in full. Load reports lag
	// by up to two seconds, so an older measurement is no better than none.
	delayLifetime = 4 * time.Second
)

// Estimator estimates the speed of one target. The zero value knows nothing.
type Estimator struct {
	prefillRate float64
	decodeRate  float64
	queueDelay  float64
	// measuredAt is when queueDelay was last measured.
	measuredAt time.Time
}

// ObserveFirstToken updates the estimate with a first token. tokens is the number
// of prompt tokens that had to be prefilled since the dispatch, including those of
// this daemon's requests ahead.
func (s *Estimator) ObserveFirstToken(now time.Time, tokens int, took time.Duration) {
	sec := max(took.Seconds(), 1e-4)
	if tokens >= minSampleTokens {
		rate := float64(tokens) / sec
		weight := fallWeight
		if rate > s.prefillRate {
			weight = riseWeight
		}
		if s.prefillRate == 0 {
			weight = 1
		}
		s.prefillRate += weight * (rate - s.prefillRate)
	}
	expected := 0.0
	if s.prefillRate > 0 {
		expected = float64(tokens) / s.prefillRate
	}
	s.queueDelay += averageWeight * 2 * (max(sec-expected, 0) - s.queueDelay)
	s.measuredAt = now
}

// ObserveAnswer updates the decode rate with a complete answer and the time since
// its first token.
func (s *Estimator) ObserveAnswer(output int, took time.Duration) {
	if output < 2 {
		return
	}
	rate := float64(output-1) / max(took.Seconds(), 1e-4)
	if s.decodeRate == 0 {
		s.decodeRate = rate
	}
	s.decodeRate += averageWeight * (rate - s.decodeRate)
}

// AdoptRates sets the rates learned by another daemon if none are known.
func (s *Estimator) AdoptRates(prefillRate, decodeRate float64) {
	if s.prefillRate == 0 && s.decodeRate == 0 {
		s.prefillRate, s.decodeRate = prefillRate, decodeRate
	}
}

// PrefillRate returns the prefill rate in tokens per second, 0 if unknown.
func (s *Estimator) PrefillRate() float64 { return s.prefillRate }

// DecodeRate returns the decode rate of one request in tokens per second, 0 if
// unknown.
func (s *Estimator) DecodeRate() float64 { return s.decodeRate }

// QueueDelay returns the expected wait in the target that is not explained by the
// prefill of known requests. It decreases with its age.
func (s *Estimator) QueueDelay(now time.Time) time.Duration {
	if s.queueDelay < minDelay {
		return 0
	}
	age := now.Sub(s.measuredAt)
	d := s.queueDelay
	if age > delayLifetime {
		d *= float64(delayLifetime) / float64(age)
	}
	return time.Duration(d * float64(time.Second))
}
