package sched

import "github.com/fireflypath/fireflypath"

// SetPool puts changed bounds of the pool and a changed lowest tier in force.
// Waiting work above a lower bound gives way at the next offer.
func (s *Scheduler) SetPool(pool fireflypath.Pool, lowest int) {
	s.cfg.Pool = bounded(pool)
	s.cfg.LowestRank = lowest
}

// bounded fills in the bounds that a pool does not name.
func bounded(pool fireflypath.Pool) fireflypath.Pool {
	if pool.Requests == 0 {
		pool.Requests = defaultRequests
	}
	if pool.Bytes == 0 {
		pool.Bytes = defaultBytes
	}
	return pool
}
