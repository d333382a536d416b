// Package order sends orders to targets under a lease with a fencing number.
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
	method = "order"
	// sendTime bounds one order's way to its target and back. Targets confirm
	// an order at once and work on it afterwards.
	sendTime = 2 * time.Second
	// heldWait is the pause before asking again for a lease that another holds
	// who cannot be reached.
	heldWait = time.Second
	// WeightReadInterval is the time between two orders that make a target read from
	// the weight store, over the whole fleet. The store's rate is not known yet;
	// a read of weights takes minutes, so the pause costs little.
	WeightReadInterval = 2 * time.Second
)

// Sender gives an order to a target once. Its errors are fireflypath.ErrUnsent,
// fireflypath.ErrFenced, fireflypath.ErrNotRun for a refusal, and others for unknown outcomes.
type Sender interface {
	Order(ctx context.Context, t fireflypath.Target, o fireflypath.Order) error
}

// PeerCaller asks another daemon.
type PeerCaller interface {
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Issuer implements fireflypath.Orderer: the holder of the lease sends, every
// other daemon passes orders on to it.
type Issuer struct {
	name    string
	store   fireflypath.Store
	configs fireflypath.Configs
	members fireflypath.Members
	caller  PeerCaller
	sender  Sender
	clock   clockwork.Clock
	log     *zap.Logger
	count   counters
	weights *rate.Limiter
	every   time.Duration

	// turn is held by the one order under way; mu guards tenure.
	turn   chan struct{}
	mu     sync.Mutex
	tenure *tenure
}

type counters struct {
	sent, refused, unknown, forwarded, tenures, stopped tally.Counter
}

var _ fireflypath.Orderer = (*Issuer)(nil)

// New makes the orders of the daemon of that name. every is the least time
// between two orders that read from the weight store.
func New(name string, store fireflypath.Store, configs fireflypath.Configs, members fireflypath.Members,
	caller PeerCaller, sender Sender, every time.Duration, clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Issuer {
	scope = scope.SubScope("order")
	return &Issuer{
		name: name, store: store, configs: configs, members: members, caller: caller, sender: sender,
		clock: clock, log: log, every: every, weights: rate.NewLimiter(rate.Every(every), 1),
		turn: make(chan struct{}, 1),
		count: counters{
			sent: scope.Counter("sent"), refused: scope.Counter("refused"), unknown: scope.Counter("unknown"),
			forwarded: scope.Counter("forwarded"), tenures: scope.Counter("tenures"), stopped: scope.Counter("stopped"),
		},
	}
}

func (o *Issuer) nonce() string { return ulid.Make().String() }

// Handle registers the answer to peers that pass orders on.
func (o *Issuer) Handle(e *peer.Endpoint) { e.Handle(method, o.answer) }

// Release ends this daemon's tenure in order, for a planned stop.
func (o *Issuer) Release(ctx context.Context) { o.retire(ctx, 0) }

// Run keeps the lease while orders come, and releases it when they cease, until
// the context ends.
func (o *Issuer) Run(ctx context.Context) error {
	t := o.clock.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
			o.retire(ctx, keepFor)
		}
	}
}

// retire renews the tenure, or releases it if it has been idle. It leaves the
// tenure alone while an order is under way.
func (o *Issuer) retire(ctx context.Context, idle time.Duration) {
	select {
	case o.turn <- struct{}{}:
	default:
		return
	}
	defer func() { <-o.turn }()
	t := o.held()
	if t == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, o.clock, sendTime)
	defer cancel()
	if o.clock.Since(t.used) >= idle {
		o.release(ctx, t)
		o.hold(nil)
		return
	}
	if errors.Is(o.renew(ctx, t), fireflypath.ErrLapsed) {
		o.hold(nil)
	}
}

func (o *Issuer) held() *tenure {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure
}

func (o *Issuer) hold(t *tenure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tenure = t
}

// Order sends an order, or has the holder of the lease send it.
func (o *Issuer) Order(ctx context.Context, w fireflypath.Order) error {
	maybe := false
	for {
		err := o.local(ctx, w)
		var held errHeld
		if !errors.As(err, &held) {
			return unsettled(err, maybe)
		}
		done, err := o.forward(ctx, held.by, w)
		if done {
			return unsettled(err, maybe)
		}
		// If the holder cannot be reached, its lease lapses and is free then. If
		// only its answer was lost, the order's id makes a second one harmless.
		maybe = maybe || err != nil
		select {
		case <-o.clock.After(heldWait):
		case <-ctx.Done():
			return unsettled(errors.Wrapf(ctx.Err(), "order not sent: %v", held), maybe)
		}
	}
}

// unsettled marks an error as unknown if an earlier attempt may have succeeded.
func unsettled(err error, maybe bool) error {
	if err == nil || !maybe {
		return err
	}
	return errors.Mark(err, fireflypath.ErrUnknown)
}

// local sends as the holder; errHeld means that another daemon is it.
func (o *Issuer) local(ctx context.Context, w fireflypath.Order) error {
	target, err := o.target(w.Target)
	if err != nil {
		return err
	}
	select {
	case o.turn <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "order not sent")
	}
	defer func() { <-o.turn }()
	for {
		t, err := o.ready(ctx)
		if err != nil {
			return err
		}
		if err := o.pause(ctx, o.due(t, target, w)); err != nil {
			return err
		}
		// Checked last, right before sending: the waits above, or a pause of
		// this process, may have outlasted the lease.
		if o.clock.Now().Add(sendTime).Before(t.until) {
			return o.send(ctx, t, target, w)
		}
		o.count.stopped.Inc(1)
	}
}

func (o *Issuer) target(name string) (fireflypath.Target, error) {
	for _, t := range o.configs.Current().Targets {
		if t.Name == name {
			return t, nil
		}
	}
	return fireflypath.Target{}, errors.Newf("order not sent: no target %q", name)
}

// ready gives a tenure with enough time left for one order.
func (o *Issuer) ready(ctx context.Context) (*tenure, error) {
	if t := o.held(); t != nil {
		err := o.renew(ctx, t)
		if err == nil && o.clock.Now().Add(sendTime).Before(t.until) {
			t.used = o.clock.Now()
			return t, nil
		}
		if err != nil && !errors.Is(err, fireflypath.ErrLapsed) {
			return nil, errors.Wrap(err, "order not sent")
		}
		o.hold(nil)
	}
	t, err := o.acquire(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "order not sent")
	}
	o.count.tenures.Inc(1)
	o.log.Info("holds the lease for orders", zap.Uint64("fence", t.fence))
	// What the last holder took from the weight store's rate is not known.
	o.weights = rate.NewLimiter(rate.Every(o.every), 1)
	o.weights.AllowN(o.clock.Now(), 1)
	o.hold(t)
	return t, nil
}

// due is how long an order must wait.
func (o *Issuer) due(t *tenure, target fireflypath.Target, w fireflypath.Order) time.Duration {
	now := o.clock.Now()
	var wait time.Duration
	if !target.Fenced {
		wait = max(0, t.settled.Sub(now))
	}
	switch w.Kind {
	case fireflypath.OrderLoad, fireflypath.OrderAdapter, fireflypath.OrderVersion:
		wait = max(wait, o.weights.ReserveN(now, 1).DelayFrom(now))
	case fireflypath.OrderUnload, fireflypath.OrderRole:
	}
	return wait
}

// pause waits and keeps the lease meanwhile.
func (o *Issuer) pause(ctx context.Context, wait time.Duration) error {
	end := o.clock.Now().Add(wait)
	for left := wait; left > 0; left = end.Sub(o.clock.Now()) {
		select {
		case <-o.clock.After(min(left, time.Second)):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "order not sent")
		}
		if t := o.held(); t != nil {
			_ = o.renew(ctx, t) // the check before sending finds a lapsed one
		}
	}
	return nil
}

// send gives the order to the target and names the outcome.
func (o *Issuer) send(ctx context.Context, t *tenure, target fireflypath.Target, w fireflypath.Order) error {
	w.Fence, w.Sent = t.fence, o.clock.Now().UTC()
	ctx, cancel := clockwork.WithTimeout(ctx, o.clock, sendTime)
	defer cancel()
	err := o.sender.Order(ctx, target, w)
	switch {
	case err == nil:
		o.count.sent.Inc(1)
		return nil
	case errors.Is(err, fireflypath.ErrFenced):
		// Another holder was here: this daemon's lease is gone, whatever it thinks.
		o.hold(nil)
		fallthrough
	case errors.IsAny(err, fireflypath.ErrUnsent, fireflypath.ErrNotRun):
		o.count.refused.Inc(1)
		return errors.Wrapf(err, "order %s to target %s", w.ID, target.Name)
	}
	o.count.unknown.Inc(1)
	return errors.Mark(errors.Wrapf(err, "order %s to target %s", w.ID, target.Name), fireflypath.ErrUnknown)
}

// outcome is what the holder answers.
type outcome struct {
	Error   string `json:"error,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
	// Moved is true if the asked daemon is not the holder.
	Moved bool `json:"moved,omitempty"`
}

// forward has the holder send. If done is false, an error means that the order
// may have been sent all the same.
func (o *Issuer) forward(ctx context.Context, holder string, w fireflypath.Order) (done bool, err error) {
	for _, m := range o.members.Live() {
		if m.Name != holder || holder == o.name {
			continue
		}
		var out outcome
		o.count.forwarded.Inc(1)
		err := o.caller.Call(ctx, m, method, w, &out)
		switch {
		case err != nil:
			return false, errors.Wrapf(err, "pass an order on to %s", holder)
		case out.Moved:
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

func (o *Issuer) answer(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var w fireflypath.Order
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, errors.Wrap(err, "decode an order")
	}
	err := o.local(ctx, w)
	var held errHeld
	switch {
	case err == nil:
		return outcome{}, nil
	case errors.As(err, &held):
		return outcome{Moved: true}, nil
	}
	return outcome{Error: err.Error(), Unknown: errors.Is(err, fireflypath.ErrUnknown)}, nil
}
