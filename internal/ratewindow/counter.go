// Package ratewindow counts the requests that a target gets within the spans of time in which
// its rate limit is checked. Tests, the simulation and the soak use it.
package ratewindow

import "time"

const (
	// Length is the length of a span. A span may hold overshoot times what the limit allows and
	// slack requests more.
	Length    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
)

// Allowed returns how many requests a span may hold at a limit in requests per second.
func Allowed(perSecond float64) int {
	return int(overshoot*perSecond*Length.Seconds()) + slack
}

// Counter counts requests within sliding spans. Its zero value is empty.
type Counter struct {
	times []time.Time
	most  int
}

// Add adds a request and returns the number of requests in the span that ends with it. Requests
// are added in the order of their times.
func (c *Counter) Add(at time.Time) int {
	c.times = append(c.times, at)
	for c.times[0].Before(at.Add(-Length)) {
		c.times = c.times[1:]
	}
	c.most = max(c.most, len(c.times))
	return len(c.times)
}

// Most returns the largest number of requests in a span.
func (c *Counter) Most() int { return c.most }
