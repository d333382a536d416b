package member

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/coordinator"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	// RecordPrefix is the prefix of the keys of the daemons' records in the store. The failure
	// domain and the name follow, so that the daemons of one domain can be listed alone.
	RecordPrefix = "members/"
	// minRenewInterval is the time between two renewals of a lease in a small fleet. In a
	// large one it is renewIntervalPerDaemon times the number of daemons, so that the
	// whole fleet makes at most four calls a second at any size.
	minRenewInterval       = 5 * time.Second
	renewIntervalPerDaemon = 250 * time.Millisecond
	// registerDelay is how long a daemon waits after its start before it writes its
	// record. By then its addresses are known, so that it writes the record only once.
	// If the whole fleet starts at the same time, the first read of the records finds
	// most others.
	registerDelay = 400 * time.Millisecond
	// renewalsPerTTL is the TTL of a lease in renewal intervals. Two renewals in a row
	// may fail.
	renewalsPerTTL = 3
	// minTTL is the minimum TTL of a lease. A daemon knows no others when it starts, and
	// with the TTL for a small fleet it would need a second lease a second later. The
	// record that a dead daemon leaves until then costs each of the others one dial.
	minTTL = time.Minute
	// adoptionPeriod is how long after its start a daemon adopts the members listed in the
	// store, and how long they count as unconfirmed. By its end, connections and updates
	// have brought the current state of all that run.
	adoptionPeriod = 2 * time.Second
	// domainDialDelay is how long after it has found the daemons of its failure domain a daemon that
	// starts dials them, unless it has read all records before. On a slow host,
	// the processor time that connections take would delay the first view.
	domainDialDelay = 50 * time.Millisecond
	// bootstrapDelay is how long a daemon of a fleet that starts for the first time looks for
	// others before it reads the configuration. Callers come only seconds later.
	bootstrapDelay = 2500 * time.Millisecond
	// renewalsPerDiscovery is the number of renewals between two reads of the records.
	renewalsPerDiscovery = 4
)

// record is the record of this daemon in the store, which expires with its lease. Records are
// only used to find peers. Heartbeats decide which daemons are alive, since the store has
// outages.
type record struct {
	lease fireflypath.LeaseID
	// written is the record as last written to the store.
	written storedRecord
	// ttl is the TTL of the lease.
	ttl time.Duration
}

// storedRecord is the value of a record.
type storedRecord struct {
	fireflypath.Member
	// DomainSize is the number of daemons in the failure domain, of which a record may not exist
	// for all.
	DomainSize int `json:"size,omitempty"`
}

// register keeps the record up to date and looks for peers until ctx is cancelled.
func (m *Membership) register(ctx context.Context) {
	if m.store == nil {
		return
	}
	m.sleep(ctx, registerDelay)
	var rec record
	for renewals := 0; ; renewals++ {
		var err error
		if rec.lease != 0 || m.needsRecord() {
			err = m.renew(ctx, &rec)
		}
		alone := len(m.Live()) == 1
		if alone || renewals%renewalsPerDiscovery == 0 && m.discovers() {
			m.discover(ctx)
		}
		wait := m.renewInterval()
		if err != nil || alone || rec.lease == 0 {
			wait = min(wait, minRenewInterval)
		}
		if alone && err == nil && renewals < renewalsPerDiscovery {
			wait = time.Second
		}
		m.sleep(ctx, wait)
		if ctx.Err() != nil {
			m.unregister(&rec)
			return
		}
	}
}

// maxRecords is the number of daemons of a failure domain that have a record.
const maxRecords = 32

// needsRecord reports whether this daemon has to have a record. In a large failure domain only the
// strongest have one: they are enough to find the others by, and the calls to the store for all
// records would grow with the fleet.
func (m *Membership) needsRecord() bool {
	domain := m.domainMembers()
	return len(domain) <= maxRecords ||
		slices.ContainsFunc(coordinator.Choose(domain, maxRecords/2), func(c fireflypath.Member) bool { return c.Name == m.Self().Name })
}

// domainMembers returns the live daemons of this failure domain.
func (m *Membership) domainMembers() []fireflypath.Member {
	domain := m.Self().Domain
	return slices.DeleteFunc(slices.Clone(m.Live()), func(o fireflypath.Member) bool { return o.Domain != domain })
}

// sleep waits for d or until ctx is cancelled.
func (m *Membership) sleep(ctx context.Context, d time.Duration) {
	t := m.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	}
}

// renewInterval returns the time between two renewals at the current size of the fleet.
func (m *Membership) renewInterval() time.Duration {
	return max(minRenewInterval, time.Duration(len(m.Live()))*renewIntervalPerDaemon)
}

// renew extends the lease and writes the record if it has changed. If there is no lease, or
// its TTL is too short for the size of the fleet, it writes the record under a new one.
func (m *Membership) renew(ctx context.Context, rec *record) error {
	ttl := max(renewalsPerTTL*m.renewInterval(), minTTL)
	self := storedRecord{Member: m.Self(), DomainSize: len(m.domainMembers())}
	self.Generation = 0
	if rec.lease != 0 && ttl <= 2*rec.ttl {
		err := m.store.Renew(ctx, rec.lease)
		switch {
		case errors.Is(err, fireflypath.ErrLeaseExpired):
		case err != nil || rec.written.Member == self.Member:
			return err
		default:
			return m.writeRecord(ctx, rec, self)
		}
	}
	id, err := m.store.Grant(ctx, ttl)
	if err != nil {
		return errors.Wrap(err, "lease for the member record")
	}
	*rec = record{lease: id, ttl: ttl}
	return m.writeRecord(ctx, rec, self)
}

// writeRecord writes the record to the store under its lease.
func (m *Membership) writeRecord(ctx context.Context, rec *record, self storedRecord) error {
	b, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode the member record")
	}
	// A record of an earlier run of this daemon may still exist under another lease.
	// It is replaced regardless of its revision.
	if _, err := m.store.Put(ctx, domainPrefix(self.Domain)+self.Name, b, fireflypath.AnyRevision, rec.lease); err != nil {
		return errors.Wrap(err, "write the member record")
	}
	rec.written = self
	return nil
}

// domainPrefix is the prefix of the keys of the records of a failure domain.
func domainPrefix(domain string) string { return RecordPrefix + domain + "/" }

// unregister removes the record on a planned stop.
func (m *Membership) unregister(rec *record) {
	if rec.lease == 0 || !m.Self().Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.store.Revoke(ctx, rec.lease) // on failure, the lease expires
}

// maxDiscoveryDials limits the daemons dialed after one read of the records. A daemon that
// connects to one of them learns about the others from it.
const maxDiscoveryDials = 4

// discoverers is the number of daemons that look for unknown ones in the store. If all did, each
// start of a fleet would read the square of its size. Where the fleet has come apart, each part
// has some.
const discoverers = 4

// discovers reports whether this daemon looks for unknown ones in the store.
func (m *Membership) discovers() bool {
	chosen := coordinator.Choose(m.Live(), discoverers)
	return slices.ContainsFunc(chosen, func(c fireflypath.Member) bool { return c.Name == m.Self().Name })
}

// discover reads the records and connects to unknown daemons.
func (m *Membership) discover(ctx context.Context) {
	entries, err := m.listRecords(ctx)
	if err != nil {
		return
	}
	dials := 0
	for _, e := range entries {
		var other fireflypath.Member
		if json.Unmarshal(e.Value, &other) != nil || dials >= maxDiscoveryDials || m.knows(other) {
			continue
		}
		dials++
		m.wg.Go(func() {
			_, _ = m.peers.Connect(ctx, other.PeerAddr) // handleConnect adds the daemon
		})
	}
}

// listRecords returns the records of all daemons. If this daemon knows others, records that
// are a few seconds old are enough: it only looks for daemons that the others do not know
// yet.
func (m *Membership) listRecords(ctx context.Context) ([]fireflypath.Entry, error) {
	if s, ok := m.store.(fireflypath.StaleLister); ok && len(m.Live()) > 1 {
		return s.ListStale(ctx, RecordPrefix)
	}
	return m.store.List(ctx, RecordPrefix)
}

// knows reports whether a record contains nothing new.
func (m *Membership) knows(other fireflypath.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other.Name == m.self.Name || other.PeerAddr == "" {
		return true
	}
	e, ok := m.entries[other.Name]
	return ok && (e.live() || e.member.Incarnation >= other.Incarnation)
}

// AdoptRecords adds the daemons that have a record in the store, if this daemon has just
// started. They count as alive until their neighbours find that they are not.
//
// After a loss of power all daemons start at once, and each needs half a second to find the
// others by itself. Until then it would take itself for the whole fleet and use all targets,
// as would all others. The records of the earlier run hold the same names and addresses.
func (m *Membership) AdoptRecords(records []fireflypath.Entry) { m.adopt(records, 0) }

// AdoptMembers adds the daemons that another one knows to be alive, if this daemon has just started, as
// AdoptRecords does.
func (m *Membership) AdoptMembers(members []fireflypath.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.adoptsNow() && m.adoptMembers(members) > 0 {
		m.wakeIfJoining()
	}
}

// adopt adds the daemons that have a record, and dials new neighbours after a delay.
func (m *Membership) adopt(records []fireflypath.Entry, dialDelay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.adoptsNow() {
		return
	}
	var members []fireflypath.Member
	for _, r := range records {
		if _, ok := m.entries[r.Key[strings.LastIndexByte(r.Key, '/')+1:]]; ok {
			continue // most records come twice, and decoding them takes time that a start lacks
		}
		var other fireflypath.Member
		if json.Unmarshal(r.Value, &other) == nil {
			members = append(members, other)
		}
	}
	switch {
	case m.adoptMembers(members) == 0:
	case dialDelay > 0:
		m.clock.AfterFunc(dialDelay, m.joinNow)
	default:
		m.wakeIfJoining()
	}
}

// adoptsNow reports whether this daemon has just started. The caller holds mu.
func (m *Membership) adoptsNow() bool {
	return !m.left && m.clock.Since(m.startedAt) <= adoptionPeriod
}

// adoptMembers adds the unknown ones among the members and returns their number. The caller holds mu.
func (m *Membership) adoptMembers(members []fireflypath.Member) int {
	now := m.clock.Now()
	adopted := 0
	for _, other := range members {
		if other.Name == "" || other.PeerAddr == "" || other.Name == m.self.Name || other.Leaving {
			continue
		}
		if _, ok := m.entries[other.Name]; ok || len(m.entries) >= maxEntries {
			continue
		}
		m.entries[other.Name] = &entry{member: other, state: peer.Alive, stateSince: now, lastAlive: now, adoptedAt: now}
		adopted++
	}
	if adopted > 0 {
		m.publish()
		m.log.Info("adopted members from their records", zap.Int("members", adopted))
	}
	return adopted
}

// joinNow dials new neighbours.
func (m *Membership) joinNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeIfJoining()
}

// AdoptDomain adopts the daemons of this failure domain that have a record in the store and
// returns how many daemons the domain has. It is called before the first read of the
// configuration, which in a large domain is requested from one of them.
//
// When the whole fleet starts for the first time there is no record, and all need the
// configuration at the same time. It then waits until this daemon has found others.
func (m *Membership) AdoptDomain(ctx context.Context) (int, error) {
	if m.bootstrap {
		m.sleep(ctx, bootstrapDelay)
		return len(m.domainMembers()), nil
	}
	list := m.store.List
	if s, ok := m.store.(fireflypath.StaleLister); ok {
		list = s.ListStale
	}
	records, err := list(ctx, domainPrefix(m.Self().Domain))
	if err != nil {
		return 0, errors.Wrap(err, "list the members of the domain")
	}
	m.adopt(records, domainDialDelay)
	size := len(records)
	for _, r := range records {
		var stored storedRecord
		if json.Unmarshal(r.Value, &stored) == nil {
			size = max(size, stored.DomainSize)
		}
	}
	return size, nil
}

// confirmAdopted ends the adoption of members after adoptionPeriod. The caller holds mu.
func (m *Membership) confirmAdopted(now time.Time) {
	confirmed := false
	for _, e := range m.entries {
		if !e.adoptedAt.IsZero() && now.Sub(e.adoptedAt) > adoptionPeriod {
			e.adoptedAt = time.Time{}
			confirmed = true
		}
	}
	if confirmed {
		m.publish()
	}
}
