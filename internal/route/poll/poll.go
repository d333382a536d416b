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
	// Every is the time between two rounds, and between two reports of a target
	// that holds work. A target that leaves may get no new work after 3 s: one
	// period, the report's own lag and the read fit in.
	Every = time.Second
	// width bounds the reads under way at once.
	width = 16
	// readTime bounds one read, so that a stuck target delays only itself.
	readTime = 2 * time.Second
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
	// Holds names the targets at which this daemon has work; may be nil.
	Holds func() map[string]bool
	// Mates is how many daemons read the same targets and tell each other of
	// those that leave, with this one; nil for a daemon alone.
	Mates func() int
	// Observe takes load reports and cache events.
	Observe func(fireflypath.Event)
	// Evidence takes what each source says of a target's leaving.
	Evidence *evidence.Evidence
	// Suspects are targets that some daemon found dead; they are read like those
	// that hold work. It may be nil.
	Suspects func() map[string]bool
	// Dead takes that a target took no connection, Answers that it did. Both
	// may be nil.
	Dead    func(target string)
	Answers func(target string)
}

// Poller runs until its context ends.
type Poller struct {
	deps Deps

	mu   sync.Mutex
	busy map[string]bool

	schedule *schedule
}

// New returns a poller.
func New(deps Deps) *Poller {
	return &Poller{deps: deps, busy: map[string]bool{}, schedule: newSchedule()}
}

// Run polls at once and then round by round.
func (p *Poller) Run(ctx context.Context) {
	t := p.deps.Clock.NewTicker(Every)
	defer t.Stop()
	slots := make(chan struct{}, width)
	var reads conc.WaitGroup
	defer reads.Wait()
	for {
		p.round(ctx, &reads, slots)
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

func (p *Poller) round(ctx context.Context, reads *conc.WaitGroup, slots chan struct{}) {
	cfg := p.deps.Configs.Current()
	kinds := make(map[string]fireflypath.Kind, len(cfg.Pools))
	for _, c := range cfg.Pools {
		kinds[c.Name] = c.Kind
	}
	if p.deps.Hosts != nil && p.enter("hosts list") {
		reads.Go(func() { p.hosts(ctx, cfg) })
	}
	for _, c := range p.schedule.choose(p.deps.Clock.Now(), p.candidates(cfg, kinds), p.mates()) {
		if !p.enter(c.Name) {
			continue
		}
		reads.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			p.target(ctx, c.watcher, c.Target)
		})
	}
}

// candidates are the targets that this daemon serves.
func (p *Poller) candidates(cfg *fireflypath.Config, kinds map[string]fireflypath.Kind) []candidate {
	var held, suspects map[string]bool
	if p.deps.Holds != nil {
		held = p.deps.Holds()
	}
	if p.deps.Suspects != nil {
		suspects = p.deps.Suspects()
	}
	out := make([]candidate, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		if w := p.deps.Watchers[kinds[t.Pool]]; w != nil && p.deps.Serves(t) {
			out = append(out, candidate{Target: t, watcher: w, held: held[t.Name] || suspects[t.Name]})
		}
	}
	return out
}

func (p *Poller) mates() int {
	if p.deps.Mates == nil {
		return 1
	}
	return p.deps.Mates()
}

// enter reports whether nothing is being read under the name.
func (p *Poller) enter(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[name] {
		return false
	}
	p.busy[name] = true
	return true
}

func (p *Poller) leave(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, name)
}

func (p *Poller) target(ctx context.Context, w fireflypath.Watcher, t fireflypath.Target) {
	defer p.leave(t.Name)
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	// A target that cannot be read brings no event; its reports age.
	events, err := w.Poll(ctx, t)
	p.reached(t.Name, err)
	for _, e := range events {
		switch e.Kind {
		case fireflypath.EventLeaving:
			p.deps.Evidence.Leaving(t.Name, evidence.SourceTarget, e.Report.Measured)
		case fireflypath.EventBack:
			p.deps.Evidence.Staying(t.Name, evidence.SourceTarget, e.Report.Measured)
		default:
			p.deps.Observe(e)
		}
	}
}

// reached tells whether the target took a connection. A late answer tells
// neither: an overloaded target would be taken from all daemons, and its load
// would fall on the next one.
func (p *Poller) reached(target string, err error) {
	switch {
	case errors.Is(err, fireflypath.ErrUnreached):
		if p.deps.Dead != nil {
			p.deps.Dead(target)
		}
	case err == nil && p.deps.Answers != nil:
		p.deps.Answers(target)
	}
}

// hosts compares the platform's list with the targets. A host that is not on
// the list says nothing: the list lags, and new hosts are missing at first.
func (p *Poller) hosts(ctx context.Context, cfg *fireflypath.Config) {
	defer p.leave("hosts list")
	ctx, cancel := context.WithTimeout(ctx, readTime)
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
			p.deps.Evidence.Leaving(t.Name, evidence.SourceHosts, now)
		case fireflypath.HostLive:
			p.deps.Evidence.Staying(t.Name, evidence.SourceHosts, now)
		}
	}
}
