package dispatcher

import "time"

// Lease is the time in which a dispatcher may use a daemon's part of what targets bear: of their rate
// limits and, at brittle ones, of their slots.
//
// A daemon that hears nothing from its dispatcher in time places its work itself, while the dispatcher
// may go on: one of the two is late, and neither knows. If both used the part, the targets would get
// more than they bear. So a dispatcher's use ends before the daemon's own use begins.
type Lease struct {
	// From is when the lease begins. An earlier dispatcher may use the part until then.
	From time.Time
	// Until is when the lease ends if it is not renewed; zero means never.
	Until time.Time
}

func (l Lease) validAt(now time.Time) bool {
	return !now.Before(l.From) && (l.Until.IsZero() || now.Before(l.Until))
}

// nextChange returns when the lease begins or ends, whichever is next, or zero if neither is to come.
func (l Lease) nextChange(now time.Time) time.Time {
	if now.Before(l.From) {
		return l.From
	}
	if now.Before(l.Until) {
		return l.Until
	}
	return time.Time{}
}

// leaseCount is the number of daemons whose leases are valid.
type leaseCount struct {
	valid int
	// until is when the number may change by itself; zero means never. begins is when the next lease
	// begins.
	until, begins time.Time
}

// SetLease sets the time in which the part of a daemon with a session may be used. Without a lease it
// may be used as long as the session lasts.
func (d *Dispatcher) SetLease(now time.Time, daemon string, l Lease) {
	s := d.sessions[daemon]
	if s == nil {
		return
	}
	wasValid := s.lease.validAt(now)
	s.lease = l
	if l.validAt(now) != wasValid || now.Before(l.From) {
		d.countLeases(now)
		return
	}
	d.leases.until = earliest(d.leases.until, l.nextChange(now))
}

// EndLeases ends the leases of all daemons but the given one.
func (d *Dispatcher) EndLeases(now time.Time, except string) {
	for name, s := range d.sessions {
		if name != except {
			s.lease.Until = now
		}
	}
	d.countLeases(now)
}

// updateLeases counts the leases again if one may have begun or ended.
func (d *Dispatcher) updateLeases(now time.Time) {
	if !d.leases.until.IsZero() && !now.Before(d.leases.until) {
		d.countLeases(now)
	}
}

// countLeases sets for how many daemons the scheduler decides.
func (d *Dispatcher) countLeases(now time.Time) {
	d.leases = leaseCount{}
	for _, s := range d.sessions {
		if s.lease.validAt(now) {
			d.leases.valid++
		}
		at := s.lease.nextChange(now)
		if at.IsZero() {
			continue
		}
		d.leases.until = earliest(d.leases.until, at)
		if at.Equal(s.lease.From) {
			d.leases.begins = earliest(d.leases.begins, at)
		}
	}
	d.scheduler.SetRepresented(now, d.leases.valid)
}

// earliest returns the earlier of two times, of which zero ones do not count.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
