package dispatch

import (
	"sync"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// leaseHeartbeat is the longest time between two updates of a daemon while a target names a rate
	// limit or is brittle. heartbeatsPerLease is the number of them for which the lease of a daemon's
	// part of such targets lasts.
	leaseHeartbeat     = 250 * time.Millisecond
	heartbeatsPerLease = 3
	// leaseMargin is how long after the end of a lease a daemon uses its part itself: the last requests
	// that the dispatcher placed there have been sent by then, and most have ended.
	leaseMargin = 500 * time.Millisecond
)

// leaseInterval returns leaseHeartbeat, or more in a group so large that its dispatcher would get more
// than a hundred heartbeats a second.
func leaseInterval(daemons int) time.Duration {
	return max(leaseHeartbeat, time.Duration(daemons)*idleHeartbeatPerDaemon)
}

// leases holds until when dispatchers may use this daemon's part of what targets bear, by session.
//
// Each update grants the part from the moment at which the dispatcher sent the last message that this
// daemon has received, by the dispatcher's clock. An update that arrives late therefore extends
// nothing, and the dispatcher's use ends before this daemon's own begins, whichever of them is delayed.
type leases struct {
	mu   sync.Mutex
	ends map[uint64]time.Time
}

// grant extends the lease of a session with an update that is sent now.
func (l *leases) grant(session uint64, now time.Time, lease time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[session] = now.Add(lease + leaseMargin)
}

// release shortens the lease of a session that its dispatcher has ended.
func (l *leases) release(session uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := now.Add(leaseMargin); end.Before(l.ends[session]) {
		l.ends[session] = end
	}
}

// forget removes the lease of a session that another one with the same dispatcher has replaced.
func (l *leases) forget(session uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ends, session)
}

// remaining returns how long sessions other than the given one may still use the part.
func (l *leases) remaining(now time.Time, current uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := time.Duration(0)
	for session, end := range l.ends {
		switch {
		case !now.Before(end):
			delete(l.ends, session)
		case session != current:
			longest = max(longest, end.Sub(now))
		}
	}
	return longest
}

// leaseTerms is the part of an update that grants the use of the daemon's part of what targets bear.
type leaseTerms struct {
	// Received is when the dispatcher sent the last message that the daemon has received, by the
	// dispatcher's boot-time clock.
	Received fireflypath.Micros `json:"rx,omitempty"`
	// Lease is how long the part may be used from then on.
	Lease fireflypath.Micros `json:"lease,omitempty"`
	// Held is how long an earlier dispatcher may still use the part.
	Held fireflypath.Micros `json:"held,omitempty"`
}
