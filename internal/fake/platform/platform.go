// Package platform implements a fake of the platform's key-value service and host list.
package platform

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/wire"
)

// Config configures a Fake.
type Config struct {
	// Rate is the limit of calls per second; 0 means no limit.
	Rate float64
	// Lag is the age of the host list that readers see.
	Lag time.Duration
}

// Counts counts the calls by operation. A long-polling watch is one call.
type Counts struct {
	Get    int `json:"get"`
	Put    int `json:"put"`
	Delete int `json:"delete"`
	List   int `json:"list"`
	Watch  int `json:"watch"`
	Lease  int `json:"lease"`
	Hosts  int `json:"hosts"`
	// Refused counts the calls that failed by an outage or the rate limit.
	Refused int `json:"refused"`
}

// Total returns the number of all calls.
func (c Counts) Total() int {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.Lease + c.Hosts
}

// Fake keeps its data in memory. It is used in-process through Store and HostList, or
// over HTTP after Listen.
type Fake struct {
	cfg     Config
	clock   clockwork.Clock
	faults  fault.Set
	limiter *rate.Limiter

	mu       sync.Mutex
	state    *state
	snapshot *state
	changed  chan struct{}
	counts   Counts
	hosts    []hostList

	// ctx ends the pending watches, which closing their connections does not interrupt.
	ctx    context.Context
	cancel context.CancelFunc
	ln     *wire.Listener
	server *fasthttp.Server
	served chan struct{}
}

type hostList struct {
	setAt time.Time
	hosts []fireflypath.Host
}

// New returns an empty service that does not listen yet.
func New(cfg Config, clock clockwork.Clock) *Fake {
	f := &Fake{cfg: cfg, clock: clock, state: newState(), changed: make(chan struct{})}
	if cfg.Rate > 0 {
		f.limiter = rate.NewLimiter(rate.Limit(cfg.Rate), max(1, int(cfg.Rate)))
	}
	return f
}

// Store returns in-process access to the key-value service.
func (f *Fake) Store() fireflypath.Store {
	return &store{fake: f}
}

// HostList returns in-process access to the host list.
func (f *Fake) HostList() fireflypath.Hosts {
	return &store{fake: f}
}

// SetHosts changes the host list. Readers see the change after Config.Lag.
func (f *Fake) SetHosts(hosts ...fireflypath.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, hostList{setAt: f.clock.Now(), hosts: hosts})
}

// Counts returns the calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Fault applies or removes a fault: outage, slow, lost, snapshot, older, silent,
// refuse, die or clear.
func (f *Fake) Fault(flt fault.Fault) error {
	switch flt.Name {
	case fault.TakeSnapshot:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.snapshot = f.state.clone()
	case fault.RestoreSnapshot:
		return f.restoreSnapshot()
	case fault.Silent, fault.Refuse, fault.Die:
		return f.applyNetworkFault(flt)
	case fault.Clear:
		f.faults.Apply(flt)
		if f.ln != nil {
			return f.ln.Resume()
		}
	case fault.Outage, fault.Slow, fault.LoseAnswer:
		f.faults.Apply(flt)
	default:
		return errors.Wrapf(fault.ErrUnknownName, "%q", flt.Name)
	}
	return nil
}

func (f *Fake) restoreSnapshot() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot == nil {
		return errors.New("no snapshot was taken")
	}
	lastLease := f.state.lastLease
	f.state = f.snapshot.clone()
	f.state.lastLease = lastLease
	f.notifyWatchers()
	return nil
}

func (f *Fake) applyNetworkFault(flt fault.Fault) error {
	if f.ln == nil {
		return errors.New("stand-in does not listen")
	}
	switch {
	case flt.Name == fault.Silent:
		f.ln.Silence()
	case flt.Name == fault.Die:
		return f.ln.Close()
	case flt.Off:
		return f.ln.Resume()
	default:
		f.ln.Refuse()
	}
	return nil
}

// notifyWatchers wakes the pending watches; f.mu must be held.
func (f *Fake) notifyWatchers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// admit counts a call and returns an error if the call has to fail without an effect.
func (f *Fake) admit(ctx context.Context, count func(*Counts)) error {
	f.mu.Lock()
	count(&f.counts)
	f.mu.Unlock()
	if flt, ok := f.faults.Trigger(fault.Slow); ok {
		if err := f.delay(ctx, flt.Delay.Std()); err != nil {
			return err
		}
	}
	if _, ok := f.faults.Trigger(fault.Outage); ok {
		return f.countRefusal(fireflypath.ErrUnavailable)
	}
	if f.limiter != nil && !f.limiter.AllowN(f.clock.Now(), 1) {
		return f.countRefusal(fireflypath.ErrLimited)
	}
	return nil
}

func (f *Fake) countRefusal(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Refused++
	return err
}

func (f *Fake) delay(ctx context.Context, d time.Duration) error {
	t := f.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return nil
	case <-ctx.Done():
		return errors.Wrap(fireflypath.ErrUnavailable, ctx.Err().Error())
	}
}

// expireLeases removes the expired leases; f.mu must be held.
func (f *Fake) expireLeases() {
	if f.state.expireLeases(f.clock.Now()) {
		f.notifyWatchers()
	}
}
