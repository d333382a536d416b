// Package retry tells callers that retry too early to wait longer.
//
// It limits retry storms. Refused callers that retry at once multiply the load; every
// retry costs an admission decision and, if admitted, takes the place of a request that
// waited its turn.
package retry

import "time"

const (
	// maxTeams bounds the number of teams counted, 64 bytes each.
	maxTeams = 1024
	// resetAfter is how long a team must not retry early for its count to be reset.
	resetAfter = 10 * time.Second
	// maxDoublings bounds how often the wait is doubled.
	maxDoublings = 4
)

// Backoff counts early retries by team. It never delays an answer: callers are refused at
// once, with a longer Retry-After.
type Backoff struct {
	teams map[string]earlyCount
	total int
}

type earlyCount struct {
	retries int
	last    time.Time
}

// New returns an empty Backoff.
func New() *Backoff {
	return &Backoff{teams: make(map[string]earlyCount)}
}

// RecordEarly counts a retry before the time that the caller was told.
func (b *Backoff) RecordEarly(now time.Time, team string) {
	b.total++
	c, ok := b.teams[team]
	if !ok && len(b.teams) >= maxTeams {
		clear(b.teams)
	}
	if now.Sub(c.last) > resetAfter {
		c.retries = 0
	}
	b.teams[team] = earlyCount{retries: c.retries + 1, last: now}
}

// Extend lengthens a team's wait: it is doubled for every tenfold increase of the early
// retries.
func (b *Backoff) Extend(now time.Time, team string, wait time.Duration) time.Duration {
	c, ok := b.teams[team]
	if !ok || now.Sub(c.last) > resetAfter {
		return wait
	}
	doublings := 0
	for retries := c.retries; retries >= 10 && doublings < maxDoublings; retries /= 10 {
		doublings++
	}
	return wait << doublings
}

// EarlyRetries is the total number of early retries.
func (b *Backoff) EarlyRetries() int { return b.total }
