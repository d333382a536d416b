package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxCells bounds the routes and targets of which a daemon keeps samples. The responses of
	// further ones are not compared.
	maxCells = 256
)

// Permission is what a coordinator lets a daemon do until it expires.
type Permission struct {
	// Granted is the part of the slack that the daemon has been given in all.
	Granted float64 `json:"g,omitempty"`
	// Share is the fraction of the requests of the daemon that may be trial requests besides.
	Share float64 `json:"s,omitempty"`
	// Most is the number of trial requests in all up to which the permission holds. It bounds bursts.
	Most int `json:"m,omitempty"`
	// Targets are the targets of the new version that are tried.
	Targets []string `json:"t,omitempty"`
}

// Report is what a daemon has counted since it learned of the order.
type Report struct {
	// Seen is the number of requests that the daemon has sent to targets of the pool, Trial the number
	// of those that it has sent to the new version.
	Seen  int `json:"n,omitempty"`
	Trial int `json:"t,omitempty"`
	// Granted is the part of the slack that it has been given.
	Granted float64 `json:"g,omitempty"`
	// Old is the number of requests in flight at targets of the old version, Stopped is true if no
	// more are sent there.
	Old     int  `json:"o,omitempty"`
	Stopped bool `json:"x,omitempty"`
	// Longest is how long the longest request to the old version took, in milliseconds.
	Longest int    `json:"l,omitempty"`
	Cells   []Cell `json:"c,omitempty"`
}

// Counter is a daemon's part of a trial: it decides which requests go to the version on trial and
// counts results. It is not safe for concurrent use.
//
// The daemons' trial requests stay below the share of their own requests plus what the coordinator has
// granted. The exposure of the fleet is bounded without a sum over daemons, whichever of them fail.
type Counter struct {
	seen, trial int
	permission  Permission
	until       time.Time
	cells       map[cellKey]*Sample
	longest     time.Duration
}

// Permit records a permission that expires at the given time.
func (c *Counter) Permit(p Permission, until time.Time) {
	p.Granted = max(p.Granted, c.permission.Granted) // answers may overtake each other
	c.permission, c.until = p, until
}

// Revoke ends the permission.
func (c *Counter) Revoke() { c.until = time.Time{} }

// See counts a request that is sent to a target of the pool.
func (c *Counter) See() { c.seen++ }

// Allowed reports whether a request may be sent to the version on trial.
func (c *Counter) Allowed(now time.Time) bool {
	const rounding = 1e-9
	budget := int(c.permission.Granted + c.permission.Share*float64(c.seen+1) + rounding)
	if c.permission.Most > 0 {
		budget = min(budget, c.permission.Most)
	}
	return now.Before(c.until) && len(c.permission.Targets) > 0 && c.trial < budget
}

// Start counts a request that is sent to the version on trial.
func (c *Counter) Start() { c.trial++ }

// Cancel takes back a request of which nothing was sent. trial is true if it counts as one on trial.
func (c *Counter) Cancel(trial bool) {
	c.seen--
	if trial {
		c.trial--
	}
}

// Targets returns the targets that are tried.
func (c *Counter) Targets() []string { return c.permission.Targets }

// First counts the time to the first byte of a response on a route, at a target of the new version or, if
// it is empty, at the old one. It is counted before the end of the response, which comes late if a target
// is slow.
func (c *Counter) First(route, target string, took time.Duration) {
	if s := c.sample(route, target); s != nil {
		s.First.Add(took.Seconds())
	}
}

// Ripen counts a response that has not ended and is as good as others that have: a long stream says
// nothing of its version until its end otherwise. To count all at their first byte would make a version look
// bad whose failures take longer than that.
func (c *Counter) Ripen(route, target string) {
	if s := c.sample(route, target); s != nil {
		s.N++
	}
}

// Result is the outcome of a request.
type Result struct {
	Failed bool
	// Ripe is true if Ripen has counted the response.
	Ripe bool
	// Pace is the mean time between events, or 0.
	Pace time.Duration
	// Took is the time to the end.
	Took time.Duration
}

// End counts a result on a route.
func (c *Counter) End(route, target string, r Result) {
	if target == "" && !r.Failed {
		c.longest = max(c.longest, r.Took)
	}
	s := c.sample(route, target)
	if s == nil {
		return
	}
	if !r.Ripe {
		s.N++
	}
	if r.Failed {
		s.Failed++
	} else if r.Pace > 0 {
		s.Pace.Add(r.Pace.Seconds())
	}
}

// sample returns the sample of a route and a target, or nil if there are too many.
func (c *Counter) sample(route, target string) *Sample {
	key := cellKey{route, target}
	if s := c.cells[key]; s != nil {
		return s
	}
	if len(c.cells) >= maxCells {
		return nil
	}
	if c.cells == nil {
		c.cells = map[cellKey]*Sample{}
	}
	s := &Sample{}
	c.cells[key] = s
	return s
}

// Report returns what was counted. The caller adds what is in flight.
func (c *Counter) Report() Report {
	r := Report{
		Seen: c.seen, Trial: c.trial, Granted: c.permission.Granted, Longest: int(c.longest.Milliseconds()),
	}
	for key, s := range c.cells {
		r.Cells = append(r.Cells, Cell{key.route, key.target, s.rounded()})
	}
	// The old version comes first: its samples are what the others are compared with.
	slices.SortFunc(r.Cells, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Route, b.Route))
	})
	return r
}

// Pick returns one of the names, the one with fewer requests in flight of two random ones.
func Pick(names []string, inFlight func(string) int) string {
	if len(names) == 0 {
		return ""
	}
	a, b := names[rand.IntN(len(names))], names[rand.IntN(len(names))]
	if inFlight(b) < inFlight(a) {
		return b
	}
	return a
}
