package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// spreadTime is how long callers spread over all daemons before they crowd at one, crowdTime how
	// long they do that. Requests count from crowdSettled on.
	spreadTime   = 5 * time.Second
	crowdTime    = 10 * time.Second
	crowdSettled = 3 * time.Second
	// crowdSpared is the ratio of all requests to those that still go to any daemon.
	crowdSpared = 10
	// minCrowdCount is the smallest number of requests on both sides that is checked.
	minCrowdCount = 20
)

// crowd is where most callers open a new connection for each request.
type crowd struct {
	at *process
	// before and during count first attempts that a daemon has read.
	before, during *servedCount
	// counting is where requests are counted at present, or nil.
	counting atomic.Pointer[servedCount]
	// client opens a connection for each request.
	client *http.Client
}

// servedCount counts requests that a daemon has read, and those of them that were served.
type servedCount struct{ read, served atomic.Int64 }

func (s *servedCount) add(served bool) {
	s.read.Add(1)
	if served {
		s.served.Add(1)
	}
}

// moveCallers has nearly all callers come to one daemon after the other, as a balancer does that hands
// out most connections of a zone to one of them.
func (r *run) moveCallers(ctx context.Context) {
	for _, d := range r.daemons[:min(2, len(r.daemons))] {
		c := &crowd{before: &servedCount{}, during: &servedCount{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		c.counting.Store(c.before)
		r.crowd.Store(c)
		sleep(ctx, spreadTime)
		c.counting.Store(nil)
		moved := &crowd{at: d, before: c.before, during: c.during, client: c.client}
		r.crowd.Store(moved)
		sleep(ctx, crowdSettled)
		moved.counting.Store(c.during)
		sleep(ctx, crowdTime-crowdSettled)
		r.crowd.Store(nil)
		r.countFault("callers at one daemon")
		r.checkCrowd(d, c)
	}
}

// checkCrowd checks that the daemon has served at least three quarters as many of the first attempts
// that it read as all daemons did before.
func (r *run) checkCrowd(d *process, c *crowd) {
	before, servedBefore := c.before.read.Load(), c.before.served.Load()
	during, served := c.during.read.Load(), c.during.served.Load()
	if before < minCrowdCount || during < minCrowdCount {
		return
	}
	r.history.check(invariantCrowd, 4*served*before >= 3*servedBefore*during, "%s served %d of %d first attempts, all daemons %d of %d before",
		d.name, served, during, servedBefore, before)
}

// countCrowd counts a request, unless it is refused for what the caller did: a revoked key, a quota or
// a crashing part.
func (c *caller) countCrowd(at *crowd, d *process, status int, served bool) {
	if at == nil || c.poison || at.at != nil && at.at != d {
		return
	}
	switch status {
	case http.StatusUnauthorized, http.StatusTooManyRequests:
		return
	}
	if n := at.counting.Load(); n != nil {
		n.add(served)
	}
}
