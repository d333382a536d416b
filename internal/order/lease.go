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
	// leaseTime is how long a holder that dies keeps orders from being sent. It
	// is many times an outage of a renewal and short against an order's work.
	leaseTime = 10 * time.Second
	// margin is how long before the service can let the lease lapse the holder
	// stops. It covers clocks that run unlike, a tenth over the lease, and the
	// way of an order that was just written.
	margin = 2 * time.Second
	// renewAfter is the age at which the lease is renewed before use.
	renewAfter = leaseTime / 3
	// keepFor is how long an idle holder keeps the lease. A change of holder
	// costs a wait for targets that ignore numbers.
	keepFor = time.Minute
)

// holder is the value that the lease protects.
type holder struct {
	Name string `json:"name"`
	// Nonce tells two lives of one daemon apart, to settle a lost answer.
	Nonce string `json:"nonce"`
}

// fence is the counter of holders.
type fence struct {
	Number uint64 `json:"number"`
	// Holder had the number; Released is true if it ended its tenure in order,
	// with nothing under way.
	Holder   string `json:"holder"`
	Released bool   `json:"released,omitempty"`
}

// tenure is a time as holder of the lease.
type tenure struct {
	lease fireflypath.LeaseID
	fence uint64
	// revision is that of the fence's key.
	revision uint64
	// until is when this daemon must have stopped, by its monotonic clock,
	// counted from before the call that granted or renewed the lease.
	until   time.Time
	renewed time.Time
	// settled is when targets that ignore numbers may be sent orders.
	settled time.Time
	used    time.Time
}

// errHeld means that another daemon holds the lease.
type errHeld struct{ by string }

func (e errHeld) Error() string { return "orders are sent by daemon " + e.by }

// acquire makes this daemon the holder, or returns errHeld.
func (o *Issuer) acquire(ctx context.Context) (*tenure, error) {
	began := o.clock.Now()
	id, err := o.store.Grant(ctx, leaseTime)
	if err != nil {
		return nil, errors.Wrap(err, "lease for orders")
	}
	mine := holder{Name: o.name, Nonce: o.nonce()}
	if err := o.claim(ctx, mine, id); err != nil {
		_ = o.store.Revoke(ctx, id) // it lapses anyway
		return nil, err
	}
	t := &tenure{lease: id, until: began.Add(leaseTime - margin), renewed: began, used: o.clock.Now()}
	if err := o.number(ctx, t); err != nil {
		_ = o.store.Revoke(ctx, id)
		return nil, err
	}
	if !o.clock.Now().Before(t.until) {
		// The service was slow, or this process stood still meanwhile. Another
		// holder may have the lease by now.
		return nil, errors.Wrap(fireflypath.ErrLapsed, "lease for orders was granted too long ago")
	}
	return t, nil
}

// claim writes the holder's record unless there is one.
func (o *Issuer) claim(ctx context.Context, mine holder, id fireflypath.LeaseID) error {
	b, err := json.Marshal(mine)
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
	e, gerr := o.store.Get(ctx, holderKey)
	if gerr != nil {
		return errors.Wrap(gerr, "read the holder")
	}
	var other holder
	if err := json.Unmarshal(e.Value, &other); err != nil {
		return errors.Wrap(err, "decode the holder")
	}
	if other == mine {
		return nil
	}
	return errHeld{by: other.Name}
}

// number takes the next fencing number while holding the lease, so that later
// holders have higher ones.
func (o *Issuer) number(ctx context.Context, t *tenure) error {
	e, err := o.store.Get(ctx, fenceKey)
	if err != nil && !errors.Is(err, fireflypath.ErrNotFound) {
		return errors.Wrap(err, "read the fencing number")
	}
	var last fence
	if err == nil {
		if err := json.Unmarshal(e.Value, &last); err != nil {
			return errors.Wrap(err, "decode the fencing number")
		}
	}
	t.fence = last.Number + 1
	if err := o.writeFence(ctx, t, fence{Number: t.fence, Holder: o.name}, e.Revision); err != nil {
		return err
	}
	t.settled = o.clock.Now()
	if last.Number > 0 && !last.Released {
		// The holder before did not end in order. An order that it was about to
		// send when it was paused may still come; a target that heeds numbers
		// refuses it, for the others it is waited for.
		t.settled = t.settled.Add(leaseTime)
	}
	return nil
}

func (o *Issuer) writeFence(ctx context.Context, t *tenure, f fence, revision uint64) error {
	b, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode the fencing number")
	}
	t.revision, err = o.store.Put(ctx, fenceKey, b, revision, 0)
	return errors.Wrap(err, "write the fencing number")
}

// renew extends a tenure that is getting old.
func (o *Issuer) renew(ctx context.Context, t *tenure) error {
	began := o.clock.Now()
	if !began.Before(t.until) {
		return fireflypath.ErrLapsed
	}
	if began.Sub(t.renewed) < renewAfter {
		return nil
	}
	if err := o.store.Renew(ctx, t.lease); err != nil {
		return errors.Wrap(err, "renew the lease for orders")
	}
	t.renewed, t.until = began, began.Add(leaseTime-margin)
	return nil
}

// release ends a tenure in order.
func (o *Issuer) release(ctx context.Context, t *tenure) {
	if !o.clock.Now().Before(t.until) {
		return // another may hold it
	}
	f := fence{Number: t.fence, Holder: o.name, Released: true}
	if err := o.writeFence(ctx, t, f, t.revision); err == nil {
		_ = o.store.Revoke(ctx, t.lease) // it lapses anyway
	}
}
