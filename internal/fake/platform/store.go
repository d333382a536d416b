package platform

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
)

// errValueTooLarge reports a value above fireflypath.MaxValue.
var errValueTooLarge = errors.New("value is larger than the service takes")

// store implements fireflypath.Store and fireflypath.Hosts on a Fake.
type store struct {
	fake *Fake
}

func (s *store) Get(ctx context.Context, key string) (fireflypath.Entry, error) {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Get++ }); err != nil {
		return fireflypath.Entry{}, err
	}
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	s.fake.expireLeases()
	return s.fake.state.get(key)
}

func (s *store) Put(
	ctx context.Context, key string, value []byte, revision uint64, lease fireflypath.LeaseID,
) (uint64, error) {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Put++ }); err != nil {
		return 0, err
	}
	if len(value) > fireflypath.MaxValue {
		return 0, errors.Wrapf(errValueTooLarge, "%d bytes for %s", len(value), key)
	}
	var written uint64
	err := s.write(func(st *state) (err error) {
		written, err = st.put(key, value, revision, lease)
		return err
	})
	if err != nil {
		return 0, err
	}
	return written, s.answerError()
}

func (s *store) Delete(ctx context.Context, key string, revision uint64) error {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Delete++ }); err != nil {
		return err
	}
	if err := s.write(func(st *state) error { return st.delete(key, revision) }); err != nil {
		return err
	}
	return s.answerError()
}

// write changes the state and notifies the watchers if the change succeeds.
func (s *store) write(change func(*state) error) error {
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	s.fake.expireLeases()
	if err := change(s.fake.state); err != nil {
		return err
	}
	s.fake.notifyWatchers()
	return nil
}

// answerError returns ErrUnknown for a completed write if the fault LoseAnswer is active.
func (s *store) answerError() error {
	if _, ok := s.fake.faults.Trigger(fault.LoseAnswer); ok {
		return fireflypath.ErrUnknown
	}
	return nil
}

func (s *store) List(ctx context.Context, prefix string) ([]fireflypath.Entry, error) {
	if err := s.fake.admit(ctx, func(c *Counts) { c.List++ }); err != nil {
		return nil, err
	}
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	s.fake.expireLeases()
	return s.fake.state.list(prefix, 0, false), nil
}

func (s *store) Watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]fireflypath.Entry, error) {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Watch++ }); err != nil {
		return nil, err
	}
	t := s.fake.clock.NewTimer(wait)
	defer t.Stop()
	for {
		entries, changed := s.changesAfter(prefix, after)
		if len(entries) > 0 {
			return entries, nil
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

func (s *store) changesAfter(prefix string, after uint64) ([]fireflypath.Entry, <-chan struct{}) {
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	s.fake.expireLeases()
	return s.fake.state.list(prefix, after, true), s.fake.changed
}

func (s *store) Grant(ctx context.Context, ttl time.Duration) (fireflypath.LeaseID, error) {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Lease++ }); err != nil {
		return 0, err
	}
	s.fake.mu.Lock()
	s.fake.state.lastLease++
	id := s.fake.state.lastLease
	s.fake.mu.Unlock()
	s.extend(id, ttl)
	return id, s.answerError()
}

func (s *store) Renew(ctx context.Context, id fireflypath.LeaseID) error {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Lease++ }); err != nil {
		return err
	}
	s.fake.mu.Lock()
	s.fake.expireLeases()
	l, ok := s.fake.state.leases[id]
	s.fake.mu.Unlock()
	if !ok {
		return fireflypath.ErrLeaseExpired
	}
	s.extend(id, l.ttl)
	return s.answerError()
}

// extend sets the end of a lease and a timer that expires it, which notifies the watchers.
func (s *store) extend(id fireflypath.LeaseID, ttl time.Duration) {
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	s.fake.state.leases[id] = lease{ttl: ttl, expiresAt: s.fake.clock.Now().Add(ttl)}
	s.fake.clock.AfterFunc(ttl, func() {
		s.fake.mu.Lock()
		defer s.fake.mu.Unlock()
		s.fake.expireLeases()
	})
}

func (s *store) Revoke(ctx context.Context, id fireflypath.LeaseID) error {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Lease++ }); err != nil {
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
	return s.answerError()
}

func (s *store) Hosts(ctx context.Context) ([]fireflypath.Host, error) {
	if err := s.fake.admit(ctx, func(c *Counts) { c.Hosts++ }); err != nil {
		return nil, err
	}
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	visibleAt := s.fake.clock.Now().Add(-s.fake.cfg.Lag)
	for _, l := range slices.Backward(s.fake.hosts) {
		if !l.setAt.After(visibleAt) {
			return slices.Clone(l.hosts), nil
		}
	}
	return nil, nil
}
