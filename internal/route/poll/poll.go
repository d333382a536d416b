// Package poll reads the state of targets and the platform's host list at a
// bounded rate.
package poll

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
)

const (
	// Interval is the time between two rounds, and between two reads of a target
	// that has requests. A leaving target must get no new requests after 3 s; one
	// interval, the delay of the target's report and the read fit within that.
	Interval = time.Second
	// maxConcurrentReads bounds the concurrent reads of targets.
	maxConcurrentReads = 16
	// readTimeout bounds one read, so that an unresponsive target delays no other.
	readTimeout = 2 * time.Second
)

// Deps holds the dependencies of a Poller.
type Deps struct {
	Clock    clockwork.Clock
	Configs  fireflypath.Configs
	Watchers map[fireflypath.PoolKind]fireflypath.Watcher
	// Hosts lists the platform's hosts; it may be nil.
	Hosts fireflypath.Hosts
	// Serves reports whether this daemon sends requests to a target; other targets
	// are not polled.
	Serves func(fireflypath.Target) bool
	// ActiveTargets returns the targets that run requests of this daemon; it may be
	// nil.
	ActiveTargets func() map[string]bool
	// Readers returns the number of daemons, including this one, that poll the same
	// targets and inform each other of those that leave; nil for a single daemon.
	Readers func() int
	// Observe receives load reports and cache events.
	Observe func(fireflypath.Event)
	// Evidence receives what each source reports about a target's leaving.
	Evidence *evidence.Evidence
	// Suspects returns the targets that some daemon could not reach. They are read
	// as often as active ones. It may be nil.
	Suspects func() map[string]bool
	// Unreachable is called with a target that accepted no connection, Reachable
	// with one that answered. Both may be nil.
	Unreachable func(target string)
	Reachable   func(target string)
}

// Poller polls targets and the host list until its context is done.
type Poller struct {
	deps Deps

	mu      sync.Mutex
	reading map[string]bool

	schedule *schedule
}

// New returns a poller.
func New(deps Deps) *Poller {
	return &Poller{deps: deps, reading: map[string]bool{}, schedule: newSchedule()}
}

// Run polls once at the start and then every Interval.
func (p *Poller) Run(ctx context.Context) {
	t := p.deps.Clock.NewTicker(Interval)
	defer t.Stop()
	slots := make(chan struct{}, maxConcurrentReads)
	var reads conc.WaitGroup
	defer reads.Wait()
	for {
		p.startRound(ctx, &reads, slots)
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

func (p *Poller) startRound(ctx context.Context, reads *conc.WaitGroup, slots chan struct{}) {
	cfg := p.deps.Configs.Current()
	kinds := make(map[string]fireflypath.PoolKind, len(cfg.Pools))
	for _, c := range cfg.Pools {
		kinds[c.Name] = c.Kind
	}
	if p.deps.Hosts != nil && p.beginRead("hosts list") {
		reads.Go(func() { p.pollHosts(ctx, cfg) })
	}
	for _, c := range p.schedule.selectDue(p.deps.Clock.Now(), p.candidates(cfg, kinds), p.readers()) {
		if !p.beginRead(c.Name) {
			continue
		}
		reads.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			p.pollTarget(ctx, c.watcher, c.Target)
		})
	}
}

// candidates returns the targets that this daemon serves and can poll.
func (p *Poller) candidates(cfg *fireflypath.Config, kinds map[string]fireflypath.PoolKind) []candidate {
	var active, suspects map[string]bool
	if p.deps.ActiveTargets != nil {
		active = p.deps.ActiveTargets()
	}
	if p.deps.Suspects != nil {
		suspects = p.deps.Suspects()
	}
	out := make([]candidate, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		if w := p.deps.Watchers[kinds[t.Pool]]; w != nil && p.deps.Serves(t) {
			out = append(out, candidate{Target: t, watcher: w, active: active[t.Name] || suspects[t.Name]})
		}
	}
	return out
}

func (p *Poller) readers() int {
	if p.deps.Readers == nil {
		return 1
	}
	return p.deps.Readers()
}

// beginRead marks the name as being read. It returns false if a read of it is
// still in progress.
func (p *Poller) beginRead(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading[name] {
		return false
	}
	p.reading[name] = true
	return true
}

func (p *Poller) endRead(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reading, name)
}

func (p *Poller) pollTarget(ctx context.Context, w fireflypath.Watcher, t fireflypath.Target) {
	defer p.endRead(t.Name)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// A target that cannot be read produces no events; its last report grows stale.
	events, err := w.Poll(ctx, t)
	p.reportReachability(t.Name, err)
	for _, e := range events {
		switch e.Kind {
		case fireflypath.EventLeaving:
			p.deps.Evidence.ReportLeaving(t.Name, evidence.SourceTarget, e.Report.MeasuredAt)
		case fireflypath.EventStaying:
			p.deps.Evidence.ReportStaying(t.Name, evidence.SourceTarget, e.Report.MeasuredAt)
		default:
			p.deps.Observe(e)
		}
	}
}

// reportReachability reports whether the target accepted a connection. A timed-out
// answer counts as neither: otherwise all daemons would stop using an overloaded
// target, and its load would fall on the next one.
func (p *Poller) reportReachability(target string, err error) {
	switch {
	case errors.Is(err, fireflypath.ErrUnreachable):
		if p.deps.Unreachable != nil {
			p.deps.Unreachable(target)
		}
	case err == nil && p.deps.Reachable != nil:
		p.deps.Reachable(target)
	}
}

// pollHosts reports the state of the targets' hosts in the platform's list. A host
// missing from the list is ignored, because the list lags and new hosts are
// missing at first.
func (p *Poller) pollHosts(ctx context.Context, cfg *fireflypath.Config) {
	defer p.endRead("hosts list")
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	hosts, err := p.deps.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	states := make(map[string]fireflypath.HostState, len(hosts))
	for _, h := range hosts {
		states[h.Addr] = h.State
	}
	now := p.deps.Clock.Now()
	for _, t := range cfg.Targets {
		switch states[t.Addr] {
		case fireflypath.HostLeaving:
			p.deps.Evidence.ReportLeaving(t.Name, evidence.SourceHosts, now)
		case fireflypath.HostLive:
			p.deps.Evidence.ReportStaying(t.Name, evidence.SourceHosts, now)
		}
	}
}
