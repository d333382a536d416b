// Package retry damps callers that come back before they were told to.
//
// It answers a retry storm. Refused callers that come back at once multiply the
// load by their impatience; each return costs an admission decision and, if
// admitted, takes the place of work that waited its turn.
package retry

import "time"

const (
	// limit bounds the teams that are counted, 64 bytes each.
	limit = 1024
	// quiet is how long a team must come back on time to be forgotten.
	quiet = 10 * time.Second
	// steps bounds the doubling of the time a caller is told.
	steps = 4
)

// Damper counts early returns by team. It never delays an answer: a damped
// caller is refused at once, with a longer time.
type Damper struct {
	teams map[string]count
	total int
}

type count struct {
	early int
	last  time.Time
}

// New makes an empty Damper.
func New() *Damper {
	return &Damper{teams: make(map[string]count)}
}

// Early counts a return before its time.
func (d *Damper) Early(now time.Time, team string) {
	d.total++
	c, ok := d.teams[team]
	if !ok && len(d.teams) >= limit {
		clear(d.teams)
	}
	if now.Sub(c.last) > quiet {
		c.early = 0
	}
	d.teams[team] = count{early: c.early + 1, last: now}
}

// Stretch lengthens the time that a team is told, doubling it for each tenfold
// of early returns.
func (d *Damper) Stretch(now time.Time, team string, after time.Duration) time.Duration {
	c, ok := d.teams[team]
	if !ok || now.Sub(c.last) > quiet {
		return after
	}
	n := 0
	for e := c.early; e >= 10 && n < steps; e /= 10 {
		n++
	}
	return after << n
}

// Total is the number of early returns.
func (d *Damper) Total() int { return d.total }
