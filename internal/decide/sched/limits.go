package sched

import "github.com/fireflypath/fireflypath"

// SetPool applies changed limits of the pool and a changed lowest tier. If more
// work waits than a reduced limit allows, the next Offer sheds the excess.
func (s *Scheduler) SetPool(pool fireflypath.Pool, lowest int) {
	s.cfg.Pool = withDefaultLimits(pool)
	s.cfg.LowestRank = lowest
}

// withDefaultLimits fills in the limits that the pool does not set.
func withDefaultLimits(pool fireflypath.Pool) fireflypath.Pool {
	if pool.Requests == 0 {
		pool.Requests = defaultMaxRequests
	}
	if pool.Bytes == 0 {
		pool.Bytes = defaultMaxBytes
	}
	return pool
}
