// Package poll asks targets and the host list for their state at a bounded rate.
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
	// Interval is the time between two rounds, and between two reports of a target
	// that holds work. A target that leaves may get no new work after 3 s: one
	// period, the report's own lag and the read fit in.
	Interval = time.Second
	// maxConcurrentReads bounds the reads under way at once.
	maxConcurrentReads = 16
	// readTimeout bounds one read, so that a stuck target delays only itself.
	readTimeout = 2 * time.Second
)

// Deps is what the poller reads from and writes to.
type Deps struct {
	Clock    clockwork.Clock
	Configs  fireflypath.Configs
	Watchers map[fireflypath.Kind]fireflypath.Watcher
	// Hosts may be nil.
	Hosts fireflypath.Hosts
	// Serves reports whether this daemon sends work to a target; others are not polled.
	Serves func(fireflypath.Target) bool
	// ActiveTargets names the targets at which this daemon has work; may be nil.
	ActiveTargets func() map[string]bool
	// Readers is how many daemons read the same targets and tell each other of
	// those that leave, with this one; nil for a daemon alone.
	Readers func() int
	// Observe takes load reports and cache events.
	Observe func(fireflypath.Event)
	// Evidence takes what each source says of a target's leaving.
	Evidence *evidence.Evidence
	// Suspects are targets that some daemon found dead; they are read like those
	// that hold work. It may be nil.
	Suspects func() map[string]bool
	// Unreachable takes that a target took no connection, Answers that it did. Both
	// may be nil.
	Unreachable func(target string)
	Reachable   func(target string)
}

// Poller runs until its context ends.
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

// Run polls at once and then round by round.
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
	kinds := make(map[string]fireflypath.Kind, len(cfg.Pools))
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

// candidates are the targets that this daemon serves.
func (p *Poller) candidates(cfg *fireflypath.Config, kinds map[string]fireflypath.Kind) []candidate {
	var held, suspects map[string]bool
	if p.deps.ActiveTargets != nil {
		held = p.deps.ActiveTargets()
	}
	if p.deps.Suspects != nil {
		suspects = p.deps.Suspects()
	}
	out := make([]candidate, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		if w := p.deps.Watchers[kinds[t.Pool]]; w != nil && p.deps.Serves(t) {
			out = append(out, candidate{Target: t, watcher: w, active: held[t.Name] || suspects[t.Name]})
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

// beginRead reports whether nothing is being read under the name.
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
	// A target that cannot be read brings no event; its reports age.
	events, err := w.Poll(ctx, t)
	p.reportReachability(t.Name, err)
	for _, e := range events {
		switch e.Kind {
		case fireflypath.EventLeaving:
			p.deps.Evidence.ReportLeaving(t.Name, evidence.SourceTarget, e.Report.Measured)
		case fireflypath.EventBack:
			p.deps.Evidence.ReportStaying(t.Name, evidence.SourceTarget, e.Report.Measured)
		default:
			p.deps.Observe(e)
		}
	}
}

// reportReachability tells whether the target took a connection. A late answer tells
// neither: an overloaded target would be taken from all daemons, and its load
// would fall on the next one.
func (p *Poller) reportReachability(target string, err error) {
	switch {
	case errors.Is(err, fireflypath.ErrUnreached):
		if p.deps.Unreachable != nil {
			p.deps.Unreachable(target)
		}
	case err == nil && p.deps.Reachable != nil:
		p.deps.Reachable(target)
	}
}

// pollHosts compares the platform's list with the targets. A host that is not on
// the list says nothing: the list lags, and new hosts are missing at first.
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
