package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	holderKey = "orders/holder"
	fenceKey  = "orders/fence"
	// leaseDuration is also the time for which no order is sent after the holder has died. It
	// is many times longer than renewals usually fail, and short compared with the work that
	// an order causes at its target.
	leaseDuration = 10 * time.Second
	// safetyMargin is how long before the lease may expire at the store the holder stops
	// sending. It covers a clock drift of a tenth of the lease and the time that an order
	// written last takes to arrive.
	safetyMargin = 2 * time.Second
	// renewAfter is the time since the last renewal from which the lease is renewed again.
	renewAfter = leaseDuration / 3
	// idleTimeout is how long an idle holder keeps the lease. After a change of holder, orders
	// to targets that ignore fencing numbers may have to wait.
	idleTimeout = time.Minute
)

// holderRecord is the value at holderKey. It is written under the lease and removed with it.
type holderRecord struct {
	Name string `json:"name"`
	// Nonce is unique to each attempt to become the holder, so that a daemon recognizes its
	// own write after the response to it was lost.
	Nonce string `json:"nonce"`
}

// fenceRecord is the value at fenceKey. It outlives the leases.
type fenceRecord struct {
	Number uint64 `json:"number"`
	// Holder is the name of the daemon that took the number.
	Holder string `json:"holder"`
	// Released is true if that daemon released the lease with no order in flight.
	Released bool `json:"released,omitempty"`
}

// heldLease is the state of the lease while this daemon holds it.
type heldLease struct {
	id            fireflypath.LeaseID
	fencingNumber uint64
	// fenceRevision is the revision of fenceKey after the number was taken.
	fenceRevision uint64
	// validUntil is when this daemon must stop sending, by its monotonic clock. It is
	// computed from the time before the call that granted or renewed the lease.
	validUntil time.Time
	renewedAt  time.Time
	// unfencedAfter is the time from which orders may be sent to targets that ignore fencing
	// numbers.
	unfencedAfter time.Time
	lastUsed      time.Time
}

// heldError means that another daemon holds the lease.
type heldError struct{ holder string }

func (e heldError) Error() string { return "orders are sent by daemon " + e.holder }

// acquire makes this daemon the holder. It returns heldError if another daemon holds the
// lease.
func (o *Issuer) acquire(ctx context.Context) (*heldLease, error) {
	start := o.clock.Now()
	id, err := o.store.Grant(ctx, leaseDuration)
	if err != nil {
		return nil, errors.Wrap(err, "lease for orders")
	}
	own := holderRecord{Name: o.name, Nonce: o.newNonce()}
	if err := o.writeHolder(ctx, own, id); err != nil {
		_ = o.store.Revoke(ctx, id) // on failure it expires
		return nil, err
	}
	lease := &heldLease{
		id: id, validUntil: start.Add(leaseDuration - safetyMargin), renewedAt: start, lastUsed: o.clock.Now(),
	}
	if err := o.takeFencingNumber(ctx, lease); err != nil {
		_ = o.store.Revoke(ctx, id)
		return nil, err
	}
	if !o.clock.Now().Before(lease.validUntil) {
		// The store was slow, or this process was paused. Another daemon may hold the
		// lease by now.
		return nil, errors.Wrap(fireflypath.ErrLeaseExpired, "lease for orders was granted too long ago")
	}
	return lease, nil
}

// writeHolder writes the holder record unless another daemon's exists.
func (o *Issuer) writeHolder(ctx context.Context, own holderRecord, id fireflypath.LeaseID) error {
	b, err := json.Marshal(own)
	if err != nil {
		return errors.Wrap(err, "encode the holder")
	}
	_, err = o.store.Put(ctx, holderKey, b, 0, id)
	if err == nil {
		return nil
	}
	if !errors.IsAny(err, fireflypath.ErrConflict, fireflypath.ErrUnknown) {
		return errors.Wrap(err, "write the holder")
	}
	e, getErr := o.store.Get(ctx, holderKey)
	if getErr != nil {
		return errors.Wrap(getErr, "read the holder")
	}
	var other holderRecord
	if err := json.Unmarshal(e.Value, &other); err != nil {
		return errors.Wrap(err, "decode the holder")
	}
	if other == own {
		return nil
	}
	return heldError{holder: other.Name}
}

// takeFencingNumber increments the fencing number. It is called while the lease is held, so
// that each holder has a higher number than those before it.
func (o *Issuer) takeFencingNumber(ctx context.Context, lease *heldLease) error {
	e, err := o.store.Get(ctx, fenceKey)
	if err != nil && !errors.Is(err, fireflypath.ErrNotFound) {
		return errors.Wrap(err, "read the fencing number")
	}
	var last fenceRecord
	if err == nil {
		if err := json.Unmarshal(e.Value, &last); err != nil {
			return errors.Wrap(err, "decode the fencing number")
		}
	}
	lease.fencingNumber = last.Number + 1
	if err := o.writeFence(ctx, lease, fenceRecord{Number: lease.fencingNumber, Holder: o.name}, e.Revision); err != nil {
		return err
	}
	lease.unfencedAfter = o.clock.Now()
	if last.Number > 0 && !last.Released {
		// The previous holder did not release the lease. If it was paused just before it
		// sent an order, that order may still arrive. A target that checks fencing numbers
		// refuses it; for the others, wait until it can no longer be sent.
		lease.unfencedAfter = lease.unfencedAfter.Add(leaseDuration)
	}
	return nil
}

// writeFence writes the fence record if it still has the given revision.
func (o *Issuer) writeFence(ctx context.Context, lease *heldLease, f fenceRecord, revision uint64) error {
	b, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode the fencing number")
	}
	lease.fenceRevision, err = o.store.Put(ctx, fenceKey, b, revision, 0)
	return errors.Wrap(err, "write the fencing number")
}

// renew renews the lease if the last renewal is at least renewAfter ago.
func (o *Issuer) renew(ctx context.Context, lease *heldLease) error {
	start := o.clock.Now()
	if !start.Before(lease.validUntil) {
		return fireflypath.ErrLeaseExpired
	}
	if start.Sub(lease.renewedAt) < renewAfter {
		return nil
	}
	if err := o.store.Renew(ctx, lease.id); err != nil {
		return errors.Wrap(err, "renew the lease for orders")
	}
	lease.renewedAt, lease.validUntil = start, start.Add(leaseDuration-safetyMargin)
	return nil
}

// release records that no order is in flight and revokes the lease.
func (o *Issuer) release(ctx context.Context, lease *heldLease) {
	if !o.clock.Now().Before(lease.validUntil) {
		return // another daemon may hold it
	}
	f := fenceRecord{Number: lease.fencingNumber, Holder: o.name, Released: true}
	if err := o.writeFence(ctx, lease, f, lease.fenceRevision); err == nil {
		_ = o.store.Revoke(ctx, lease.id) // on failure it expires
	}
}
