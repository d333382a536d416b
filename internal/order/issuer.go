// Package order sends orders to targets.
//
// At most one daemon at a time sends them: the holder of a lease in the platform's key-value
// store. Each order carries a fencing number that is higher for each holder, so that a
// target can refuse an order that a previous holder sent late. The other daemons forward
// their orders to the holder.
package order

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodOrder = "order"
	// sendTimeout bounds the time for an order to be sent and confirmed. Targets confirm an
	// order at once and execute it afterwards.
	sendTimeout = 2 * time.Second
	// heldRetryDelay is the delay before the next attempt to acquire the lease if its holder
	// cannot be reached.
	heldRetryDelay = time.Second
	// WeightReadInterval is the minimum time, over the whole fleet, between two orders that
	// make a target read from the weight store. The rate that the store can serve is not
	// known yet. A read of weights takes minutes, so that the delay costs little.
	WeightReadInterval = 2 * time.Second
)

// Sender sends an order to a target, without retries. It fails with fireflypath.ErrUnsent,
// fireflypath.ErrFenced, or fireflypath.ErrNotRun if the target refuses the order. After any
// other error the outcome is unknown.
type Sender interface {
	Order(ctx context.Context, t fireflypath.Target, o fireflypath.Order) error
}

// PeerCaller calls methods of other daemons.
type PeerCaller interface {
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Issuer implements fireflypath.Orderer. It sends orders while this daemon holds the lease and
// otherwise forwards them to the holder.
type Issuer struct {
	name               string
	store              fireflypath.Store
	configs            fireflypath.Configs
	members            fireflypath.Members
	caller             PeerCaller
	sender             Sender
	clock              clockwork.Clock
	log                *zap.Logger
	metrics            metrics
	weightReadLimiter  *rate.Limiter
	weightReadInterval time.Duration

	// sendSlot is a semaphore that admits one order at a time.
	sendSlot chan struct{}
	// mu guards lease, which is nil while this daemon isn't the holder.
	mu    sync.Mutex
	lease *heldLease
}

type metrics struct {
	sent, refused, unknown, forwarded, acquired, leaseExpired tally.Counter
}

var _ fireflypath.Orderer = (*Issuer)(nil)

// New returns the issuer of the named daemon. weightReadInterval is the minimum time between
// two orders that make a target read from the weight store.
func New(name string, store fireflypath.Store, configs fireflypath.Configs, members fireflypath.Members,
	caller PeerCaller, sender Sender, weightReadInterval time.Duration,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Issuer {
	scope = scope.SubScope("order")
	return &Issuer{
		name: name, store: store, configs: configs, members: members, caller: caller, sender: sender,
		clock: clock, log: log,
		weightReadInterval: weightReadInterval, weightReadLimiter: rate.NewLimiter(rate.Every(weightReadInterval), 1),
		sendSlot: make(chan struct{}, 1),
		metrics: metrics{
			sent: scope.Counter("sent"), refused: scope.Counter("refused"), unknown: scope.Counter("unknown"),
			forwarded: scope.Counter("forwarded"),
			acquired:  scope.Counter("tenures"), leaseExpired: scope.Counter("stopped"),
		},
	}
}

func (o *Issuer) newNonce() string { return ulid.Make().String() }

// Handle registers the method by which peers forward orders.
func (o *Issuer) Handle(e *peer.Endpoint) { e.Handle(methodOrder, o.handleOrder) }

// Release releases the lease unless an order is in progress. It is called on a planned stop,
// so that the next holder need not wait for the lease to expire.
func (o *Issuer) Release(ctx context.Context) { o.renewOrRelease(ctx, 0) }

// Run renews the lease and releases it after idleTimeout without an order, until the context
// ends.
func (o *Issuer) Run(ctx context.Context) error {
	t := o.clock.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
			o.renewOrRelease(ctx, idleTimeout)
		}
	}
}

// renewOrRelease renews the lease, or releases it if no order was sent for the given time. It
// does nothing while an order is in progress.
func (o *Issuer) renewOrRelease(ctx context.Context, idle time.Duration) {
	select {
	case o.sendSlot <- struct{}{}:
	default:
		return
	}
	defer func() { <-o.sendSlot }()
	lease := o.currentLease()
	if lease == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, o.clock, sendTimeout)
	defer cancel()
	if o.clock.Since(lease.lastUsed) >= idle {
		o.release(ctx, lease)
		o.setLease(nil)
		return
	}
	if errors.Is(o.renew(ctx, lease), fireflypath.ErrLeaseExpired) {
		o.setLease(nil)
	}
}

func (o *Issuer) currentLease() *heldLease {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease
}

func (o *Issuer) setLease(lease *heldLease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
}

// Order sends an order or forwards it to the holder of the lease.
func (o *Issuer) Order(ctx context.Context, order fireflypath.Order) error {
	uncertain := false
	for {
		err := o.sendAsHolder(ctx, order)
		var held heldError
		if !errors.As(err, &held) {
			return markUnknownIf(err, uncertain)
		}
		done, err := o.forward(ctx, held.holder, order)
		if done {
			return markUnknownIf(err, uncertain)
		}
		// If the holder has failed, its lease expires and can be acquired. If only its
		// response was lost, sending the order again is safe because it has the same ID.
		uncertain = uncertain || err != nil
		select {
		case <-o.clock.After(heldRetryDelay):
		case <-ctx.Done():
			return markUnknownIf(errors.Wrapf(ctx.Err(), "order not sent: %v", held), uncertain)
		}
	}
}

// markUnknownIf marks an error as unknown if an earlier attempt may have succeeded.
func markUnknownIf(err error, uncertain bool) error {
	if err == nil || !uncertain {
		return err
	}
	return errors.Mark(err, fireflypath.ErrUnknown)
}

// sendAsHolder sends an order as the holder of the lease. It returns heldError if another
// daemon holds the lease.
func (o *Issuer) sendAsHolder(ctx context.Context, order fireflypath.Order) error {
	target, err := o.findTarget(order.Target)
	if err != nil {
		return err
	}
	select {
	case o.sendSlot <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "order not sent")
	}
	defer func() { <-o.sendSlot }()
	for {
		lease, err := o.ensureLease(ctx)
		if err != nil {
			return err
		}
		if err := o.waitAndRenew(ctx, o.sendDelay(lease, target, order)); err != nil {
			return err
		}
		// This is checked right before sending, because the lease may have expired during
		// the waits above or a pause of this process.
		if o.clock.Now().Add(sendTimeout).Before(lease.validUntil) {
			return o.send(ctx, lease, target, order)
		}
		o.metrics.leaseExpired.Inc(1)
	}
}

func (o *Issuer) findTarget(name string) (fireflypath.Target, error) {
	for _, t := range o.configs.Current().Targets {
		if t.Name == name {
			return t, nil
		}
	}
	return fireflypath.Target{}, errors.Newf("order not sent: no target %q", name)
}

// ensureLease returns a lease that is valid long enough to send one order. It renews or
// acquires the lease if needed.
func (o *Issuer) ensureLease(ctx context.Context) (*heldLease, error) {
	if lease := o.currentLease(); lease != nil {
		err := o.renew(ctx, lease)
		if err == nil && o.clock.Now().Add(sendTimeout).Before(lease.validUntil) {
			lease.lastUsed = o.clock.Now()
			return lease, nil
		}
		if err != nil && !errors.Is(err, fireflypath.ErrLeaseExpired) {
			return nil, errors.Wrap(err, "order not sent")
		}
		o.setLease(nil)
	}
	lease, err := o.acquire(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "order not sent")
	}
	o.metrics.acquired.Inc(1)
	o.log.Info("acquired the order lease", zap.Uint64("fence", lease.fencingNumber))
	// When the previous holder sent its last order that reads weights is not known, so assume
	// that it was just now.
	o.weightReadLimiter = rate.NewLimiter(rate.Every(o.weightReadInterval), 1)
	o.weightReadLimiter.AllowN(o.clock.Now(), 1)
	o.setLease(lease)
	return lease, nil
}

// sendDelay returns how long an order must wait before it may be sent.
func (o *Issuer) sendDelay(lease *heldLease, target fireflypath.Target, order fireflypath.Order) time.Duration {
	now := o.clock.Now()
	var wait time.Duration
	if !target.Fenced {
		wait = max(0, lease.unfencedAfter.Sub(now))
	}
	switch order.Kind {
	case fireflypath.OrderLoad, fireflypath.OrderAdapter, fireflypath.OrderVersion:
		wait = max(wait, o.weightReadLimiter.ReserveN(now, 1).DelayFrom(now))
	case fireflypath.OrderUnload, fireflypath.OrderRole:
	}
	return wait
}

// waitAndRenew waits and renews the lease meanwhile.
func (o *Issuer) waitAndRenew(ctx context.Context, wait time.Duration) error {
	end := o.clock.Now().Add(wait)
	for remaining := wait; remaining > 0; remaining = end.Sub(o.clock.Now()) {
		select {
		case <-o.clock.After(min(remaining, time.Second)):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "order not sent")
		}
		if lease := o.currentLease(); lease != nil {
			_ = o.renew(ctx, lease) // the check before sending detects an expired lease
		}
	}
	return nil
}

// send sends the order to the target and marks errors after which its outcome is unknown.
func (o *Issuer) send(ctx context.Context, lease *heldLease, target fireflypath.Target, order fireflypath.Order) error {
	order.Fence, order.Sent = lease.fencingNumber, o.clock.Now().UTC()
	ctx, cancel := clockwork.WithTimeout(ctx, o.clock, sendTimeout)
	defer cancel()
	err := o.sender.Order(ctx, target, order)
	switch {
	case err == nil:
		o.metrics.sent.Inc(1)
		return nil
	case errors.Is(err, fireflypath.ErrFenced):
		// The target has had an order from a later holder, so this daemon no longer holds
		// the lease.
		o.setLease(nil)
		fallthrough
	case errors.IsAny(err, fireflypath.ErrUnsent, fireflypath.ErrNotRun):
		o.metrics.refused.Inc(1)
		return errors.Wrapf(err, "order %s to target %s", order.ID, target.Name)
	}
	o.metrics.unknown.Inc(1)
	return errors.Mark(errors.Wrapf(err, "order %s to target %s", order.ID, target.Name), fireflypath.ErrUnknown)
}

// forwardResponse is the response to a forwarded order.
type forwardResponse struct {
	Error   string `json:"error,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
	// NotHolder is true if the called daemon does not hold the lease.
	NotHolder bool `json:"moved,omitempty"`
}

// forward forwards the order to the holder. If done is false and err is not nil, the holder
// may nevertheless have sent the order.
func (o *Issuer) forward(ctx context.Context, holder string, order fireflypath.Order) (done bool, err error) {
	for _, m := range o.members.Live() {
		if m.Name != holder || holder == o.name {
			continue
		}
		var out forwardResponse
		o.metrics.forwarded.Inc(1)
		err := o.caller.Call(ctx, m, methodOrder, order, &out)
		switch {
		case err != nil:
			return false, errors.Wrapf(err, "forward order to %s", holder)
		case out.NotHolder:
			return false, nil
		case out.Unknown:
			return true, errors.Mark(errors.New(out.Error), fireflypath.ErrUnknown)
		case out.Error != "":
			return true, errors.New(out.Error)
		}
		return true, nil
	}
	return false, nil
}

// handleOrder sends an order that a peer forwarded.
func (o *Issuer) handleOrder(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var order fireflypath.Order
	if err := json.Unmarshal(params, &order); err != nil {
		return nil, errors.Wrap(err, "decode an order")
	}
	err := o.sendAsHolder(ctx, order)
	var held heldError
	switch {
	case err == nil:
		return forwardResponse{}, nil
	case errors.As(err, &held):
		return forwardResponse{NotHolder: true}, nil
	}
	return forwardResponse{Error: err.Error(), Unknown: errors.Is(err, fireflypath.ErrUnknown)}, nil
}
