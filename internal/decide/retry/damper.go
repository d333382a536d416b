// Package retry damps callers that come back before they were told to.
//
// It answers a retry storm. Refused callers that come back at once multiply the
// load by their impatience; each return costs an admission decision and, if
// admitted, takes the place of work that waited its turn.
package retry

import "time"

const (
	// maxTeams bounds the teams that are counted, 64 bytes each.
	maxTeams = 1024
	// resetAfter is how long a team must come back on time to be forgotten.
	resetAfter = 10 * time.Second
	// maxDoublings bounds the doubling of the time a caller is told.
	maxDoublings = 4
)

// Backoff counts early returns by team. It never delays an answer: a damped
// caller is refused at once, with a longer time.
type Backoff struct {
	teams map[string]earlyCount
	total int
}

type earlyCount struct {
	retries int
	last    time.Time
}

// New makes an empty Damper.
func New() *Backoff {
	return &Backoff{teams: make(map[string]earlyCount)}
}

// RecordEarly counts a return before its time.
func (d *Backoff) RecordEarly(now time.Time, team string) {
	d.total++
	c, ok := d.teams[team]
	if !ok && len(d.teams) >= maxTeams {
		clear(d.teams)
	}
	if now.Sub(c.last) > resetAfter {
		c.retries = 0
	}
	d.teams[team] = earlyCount{retries: c.retries + 1, last: now}
}

// Extend lengthens the time that a team is told, doubling it for each tenfold
// of early returns.
func (d *Backoff) Extend(now time.Time, team string, after time.Duration) time.Duration {
	c, ok := d.teams[team]
	if !ok || now.Sub(c.last) > resetAfter {
		return after
	}
	n := 0
	for e := c.retries; e >= 10 && n < maxDoublings; e /= 10 {
		n++
	}
	return after << n
}

// EarlyRetries is the number of early returns.
func (d *Backoff) EarlyRetries() int { return d.total }
