package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// recordPrefix is where daemons leave their records for others to find.
	recordPrefix = "members/"
	// renewLeast is the time between two renewals in a small fleet, and
	// renewEach what each daemon adds to it: the whole fleet then makes at most
	// four calls a second, whatever its size.
	renewLeast = 5 * time.Second
	renewEach  = 250 * time.Millisecond
	// registerAfter is how long a daemon that starts waits before it writes its
	// record: its addresses are known by then, so that it is written once, and in a
	// fleet that starts at once most others can be found by the first reading.
	registerAfter = 400 * time.Millisecond
	// ttlRenewals is the lease in renewals; two may fail.
	ttlRenewals = 3
	// leastTTL is the shortest lease. A daemon that starts knows of no other and
	// would take the lease of a small fleet, only to need another one a second
	// later. What a dead daemon leaves costs the others one dial each.
	leastTTL = time.Minute
	// listRenewals is how many renewals pass between two readings of the list.
	listRenewals = 4
)

// record is this daemon's leased record. The record is only for finding peers:
// who is alive is decided by heartbeats, since the service has outages.
type record struct {
	lease fireflypath.LeaseID
	// written is the member as it stands in the service.
	written fireflypath.Member
	// ttl is that of the lease.
	ttl time.Duration
}

// register keeps the record up to date and looks for peers, until ctx ends.
func (m *Membership) register(ctx context.Context) {
	if m.store == nil {
		return
	}
	m.pause(ctx, registerAfter)
	var r record
	for n := 0; ; n++ {
		err := m.renew(ctx, &r)
		alone := len(m.Live()) == 1
		if n%listRenewals == 0 || alone {
			m.discover(ctx)
		}
		wait := m.renewAfter()
		if err != nil || alone {
			wait = min(wait, renewLeast)
		}
		if alone && err == nil && n < listRenewals {
			wait = time.Second
		}
		m.pause(ctx, wait)
		if ctx.Err() != nil {
			m.unregister(&r)
			return
		}
	}
}

// pause waits, or until ctx ends.
func (m *Membership) pause(ctx context.Context, d time.Duration) {
	t := m.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	}
}

func (m *Membership) renewAfter() time.Duration {
	return max(renewLeast, time.Duration(len(m.Live()))*renewEach)
}

// renew extends the lease, or makes another and writes the record under it.
func (m *Membership) renew(ctx context.Context, r *record) error {
	ttl := max(ttlRenewals*m.renewAfter(), leastTTL)
	self := m.Self()
	self.Generation = 0
	if r.lease != 0 && ttl <= 2*r.ttl {
		err := m.store.Renew(ctx, r.lease)
		switch {
		case errors.Is(err, fireflypath.ErrLapsed):
		case err != nil || r.written == self:
			return err
		default:
			return m.write(ctx, r, self)
		}
	}
	id, err := m.store.Grant(ctx, ttl)
	if err != nil {
		return errors.Wrap(err, "lease for the member record")
	}
	*r = record{lease: id, ttl: ttl}
	return m.write(ctx, r, self)
}

// write stores the record under its lease.
func (m *Membership) write(ctx context.Context, r *record, self fireflypath.Member) error {
	b, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode the member record")
	}
	// The old record may still stand, under a lease of this daemon's earlier
	// life; the newer one replaces it whatever its revision.
	if _, err := m.store.Put(ctx, recordPrefix+self.Name, b, fireflypath.AnyRevision, r.lease); err != nil {
		return errors.Wrap(err, "write the member record")
	}
	r.written = self
	return nil
}

// unregister removes the record after a planned stop.
func (m *Membership) unregister(r *record) {
	if r.lease == 0 || !m.Self().Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.store.Revoke(ctx, r.lease) // the lease lapses anyway
}

// dialsAtOnce bounds the daemons dialed after one reading of the list; a daemon
// that reaches one of them learns of the others from it.
const dialsAtOnce = 4

// discover reads the records and connects to daemons that are not known.
func (m *Membership) discover(ctx context.Context) {
	es, err := m.list(ctx)
	if err != nil {
		return
	}
	n := 0
	for _, e := range es {
		var o fireflypath.Member
		if json.Unmarshal(e.Value, &o) != nil || n >= dialsAtOnce || m.knows(o) {
			continue
		}
		n++
		m.wg.Go(func() {
			_, _ = m.peers.Connect(ctx, o.Peer) // met takes in who answers
		})
	}
}

// list reads the records. For a daemon that knows others, those of some seconds ago
// are enough: it looks for daemons of which they have not heard.
func (m *Membership) list(ctx context.Context) ([]fireflypath.Entry, error) {
	if s, ok := m.store.(fireflypath.StaleLister); ok && len(m.Live()) > 1 {
		return s.ListStale(ctx, recordPrefix)
	}
	return m.store.List(ctx, recordPrefix)
}

// knows reports whether a record tells nothing new.
func (m *Membership) knows(o fireflypath.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Name == m.self.Name || o.Peer == "" {
		return true
	}
	e, ok := m.entries[o.Name]
	return ok && (e.live() || e.member.Incarnation >= o.Incarnation)
}
