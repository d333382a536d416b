package platform

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
)

// errTooLarge is a value above fireflypath.MaxValue.
var errTooLarge = errors.New("value is larger than the service takes")

// store implements fireflypath.Store and fireflypath.Hosts on a Fake.
type store struct {
	f *Fake
}

func (s *store) Get(ctx context.Context, key string) (fireflypath.Entry, error) {
	if err := s.f.admit(ctx, func(c *Counts) { c.Get++ }); err != nil {
		return fireflypath.Entry{}, err
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.lapse()
	return s.f.state.get(key)
}

func (s *store) Put(
	ctx context.Context, key string, value []byte, revision uint64, lease fireflypath.LeaseID,
) (uint64, error) {
	if err := s.f.admit(ctx, func(c *Counts) { c.Put++ }); err != nil {
		return 0, err
	}
	if len(value) > fireflypath.MaxValue {
		return 0, errors.Wrapf(errTooLarge, "%d bytes for %s", len(value), key)
	}
	var got uint64
	err := s.write(func(st *state) (err error) {
		got, err = st.put(key, value, revision, lease)
		return err
	})
	if err != nil {
		return 0, err
	}
	return got, s.lost()
}

func (s *store) Delete(ctx context.Context, key string, revision uint64) error {
	if err := s.f.admit(ctx, func(c *Counts) { c.Delete++ }); err != nil {
		return err
	}
	if err := s.write(func(st *state) error { return st.delete(key, revision) }); err != nil {
		return err
	}
	return s.lost()
}

// write changes the state and wakes the watches if it did.
func (s *store) write(change func(*state) error) error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.lapse()
	if err := change(s.f.state); err != nil {
		return err
	}
	s.f.wake()
	return nil
}

// lost turns the answer of a write that took effect into none.
func (s *store) lost() error {
	if _, ok := s.f.faults.Strike(fault.Lost); ok {
		return fireflypath.ErrUnknown
	}
	return nil
}

func (s *store) List(ctx context.Context, prefix string) ([]fireflypath.Entry, error) {
	if err := s.f.admit(ctx, func(c *Counts) { c.List++ }); err != nil {
		return nil, err
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.lapse()
	return s.f.state.list(prefix, 0, false), nil
}

func (s *store) Watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]fireflypath.Entry, error) {
	if err := s.f.admit(ctx, func(c *Counts) { c.Watch++ }); err != nil {
		return nil, err
	}
	t := s.f.clock.NewTimer(wait)
	defer t.Stop()
	for {
		found, changed := s.above(prefix, after)
		if len(found) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-t.Chan():
			return nil, nil
		case <-ctx.Done():
			return nil, errors.Wrap(fireflypath.ErrUnavailable, ctx.Err().Error())
		}
	}
}

func (s *store) above(prefix string, after uint64) ([]fireflypath.Entry, <-chan struct{}) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.lapse()
	return s.f.state.list(prefix, after, true), s.f.changed
}

func (s *store) Grant(ctx context.Context, ttl time.Duration) (fireflypath.LeaseID, error) {
	if err := s.f.admit(ctx, func(c *Counts) { c.Lease++ }); err != nil {
		return 0, err
	}
	s.f.mu.Lock()
	s.f.state.lastLease++
	id := s.f.state.lastLease
	s.f.mu.Unlock()
	s.extend(id, ttl)
	return id, s.lost()
}

func (s *store) Renew(ctx context.Context, id fireflypath.LeaseID) error {
	if err := s.f.admit(ctx, func(c *Counts) { c.Lease++ }); err != nil {
		return err
	}
	s.f.mu.Lock()
	s.f.lapse()
	l, ok := s.f.state.leases[id]
	s.f.mu.Unlock()
	if !ok {
		return fireflypath.ErrLeaseExpired
	}
	s.extend(id, l.ttl)
	return s.lost()
}

// extend sets a lease's end and a timer that wakes the watches at it.
func (s *store) extend(id fireflypath.LeaseID, ttl time.Duration) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.state.leases[id] = lease{ttl: ttl, end: s.f.clock.Now().Add(ttl)}
	s.f.clock.AfterFunc(ttl, func() {
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		s.f.lapse()
	})
}

func (s *store) Revoke(ctx context.Context, id fireflypath.LeaseID) error {
	if err := s.f.admit(ctx, func(c *Counts) { c.Lease++ }); err != nil {
		return err
	}
	err := s.write(func(st *state) error {
		if _, ok := st.leases[id]; !ok {
			return fireflypath.ErrLeaseExpired
		}
		st.revoke(id)
		return nil
	})
	if err != nil {
		return err
	}
	return s.lost()
}

func (s *store) Hosts(ctx context.Context) ([]fireflypath.Host, error) {
	if err := s.f.admit(ctx, func(c *Counts) { c.Hosts++ }); err != nil {
		return nil, err
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	seen := s.f.clock.Now().Add(-s.f.cfg.Lag)
	for _, l := range slices.Backward(s.f.hosts) {
		if !l.since.After(seen) {
			return slices.Clone(l.hosts), nil
		}
	}
	return nil, nil
}
