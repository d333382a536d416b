// Package fleet measures what the control parts of many daemons cost in one process.
package fleet

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/platform"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// Options choose a measurement.
type Options struct {
	// Daemons is the size of the fleet.
	Daemons int
	// Teams, Pools and Targets are those of the configuration.
	Teams, Pools, Targets int
	// TLS makes the connections mutual TLS.
	TLS bool
	// For is how long the steady state is measured.
	For time.Duration
	// Changes and Deaths are how many of each are timed.
	Changes, Deaths int
	Seed            uint64
}

// Row is one fleet's outcome. Rates and memory are those of one daemon, the
// mean over the fleet, the stand-in of the platform's service among them.
type Row struct {
	Daemons int `json:"daemons"`
	// Links is the mean number of open connections.
	Links float64 `json:"links"`
	// Sent and Received are bytes a second on the connections, TLS included.
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
	// Messages are those sent a second.
	Messages float64 `json:"messages"`
	// CPU is the share of one core in percent.
	CPU float64 `json:"cpu"`
	// Heap and Resident are bytes.
	Heap     float64 `json:"heap"`
	Resident float64 `json:"resident"`
	// Calls are those to the service in a second.
	Calls float64 `json:"calls"`
	// Change and Death are the slowest until the whole fleet knew.
	Change time.Duration `json:"change"`
	Death  time.Duration `json:"death"`
	// Join is how long the fleet took to find itself after all had started.
	Join time.Duration `json:"join"`
}

// startEvery is the pause between two starts: all daemons share one machine,
// whose processors a start of hundreds at once would take for a minute.
const startEvery = 50 * time.Millisecond

// limit bounds each wait; what takes longer is an error.
const limit = 2 * time.Minute

// fleet is a running measurement. The steps of Run fill its fields.
type fleet struct {
	o        Options
	clock    clockwork.Clock
	platform *platform.Fake
	traffic  *traffic
	files    *settings.TLS
	dir      string
	sites    []*site
	row      Row
}

// Run measures one fleet.
func Run(ctx context.Context, o Options, clock clockwork.Clock) (Row, error) {
	f := &fleet{o: o, clock: clock, traffic: &traffic{}, platform: platform.New(platform.Config{}, clock)}
	f.row.Daemons = o.Daemons
	defer f.close()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"make certificates", f.certify},
		{"start the daemons", f.start},
		{"measure the steady state", f.steady},
		{"time changes", f.changes},
		{"time deaths", f.deaths},
	}
	for _, s := range steps {
		if err := s.run(ctx); err != nil {
			return f.row, errors.Wrap(err, s.name)
		}
	}
	return f.row, nil
}

func (f *fleet) close() {
	var wg conc.WaitGroup
	for _, s := range f.sites {
		wg.Go(s.stop)
	}
	wg.Wait()
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *fleet) certify(context.Context) error {
	if !f.o.TLS {
		return nil
	}
	dir, err := os.MkdirTemp("", "fireflypath-fleet")
	if err != nil {
		return err
	}
	f.dir = dir
	f.files, err = certificates(dir)
	return err
}

// start brings all daemons up and waits until each sees all.
func (f *fleet) start(ctx context.Context) error {
	cfg := f.config()
	for i := range f.o.Daemons {
		s, err := newSite(f, fmt.Sprintf("d%03d", i), cfg)
		if err != nil {
			return err
		}
		f.sites = append(f.sites, s)
		s.run()
		if err := f.sleep(ctx, startEvery); err != nil {
			return err
		}
	}
	began := f.clock.Now()
	err := f.await(ctx, "all see all", func(s *site) bool {
		return len(s.members.Live()) == f.o.Daemons && s.configs.Generation() > 0
	})
	f.row.Join = f.clock.Since(began)
	return err
}

// config is a configuration of the wanted size.
func (f *fleet) config() *fireflypath.Config {
	c := &fireflypath.Config{Tiers: []fireflypath.Tier{{Name: "trader"}, {Name: "coop", Rank: 1}, {Name: "miller", Rank: 2}}}
	for i := range f.o.Teams {
		c.Teams = append(c.Teams, fireflypath.Team{
			Name: fmt.Sprintf("team-%05d", i), Tiers: []string{"trader", "coop"},
			Keys: []fireflypath.Key{{Hash: fmt.Sprintf("%064x", i)}},
		})
	}
	for i := range f.o.Pools {
		c.Pools = append(c.Pools, fireflypath.Pool{Name: fmt.Sprint("pool", i), Kind: fireflypath.KindEngine})
	}
	for i := range f.o.Targets {
		c.Targets = append(c.Targets, fireflypath.Target{
			Name: fmt.Sprintf("t%04d", i), Pool: fmt.Sprint("pool", i%f.o.Pools),
			Addr: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Domain: fmt.Sprint("zone", i%4),
		})
	}
	return c
}

// await polls until all running daemons fulfil cond.
func (f *fleet) await(ctx context.Context, what string, cond func(*site) bool) error {
	const every = 10 * time.Millisecond
	began := f.clock.Now()
	for {
		open := 0
		for _, s := range f.sites {
			if !s.stopped && !cond(s) {
				open++
			}
		}
		if open == 0 {
			return nil
		}
		if f.clock.Since(began) > limit {
			return errors.Newf("not within %v: %s; %d daemons do not", limit, what, open)
		}
		if err := f.sleep(ctx, every); err != nil {
			return err
		}
	}
}

func (f *fleet) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-f.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settle is a pause before the measurement: connections from the joining that
// are no neighbours' are closed after ten seconds.
const settle = 15 * time.Second

// steady measures rates over a while in which nothing but demands changes.
func (f *fleet) steady(ctx context.Context) error {
	if err := f.sleep(ctx, settle); err != nil {
		return err
	}
	before, began := f.read(), f.clock.Now()
	if err := f.sleep(ctx, f.o.For); err != nil {
		return err
	}
	after := f.read()
	per := 1 / (f.clock.Since(began).Seconds() * float64(len(f.sites)))
	f.row.Sent = float64(after.sent-before.sent) * per
	f.row.Received = float64(after.received-before.received) * per
	f.row.Messages = float64(after.messages-before.messages) * per
	f.row.Calls = float64(after.calls-before.calls) * per
	f.row.CPU = 100 * (after.cpu - before.cpu).Seconds() * per
	links := 0
	for _, s := range f.sites {
		links += len(s.peers.Connected())
	}
	n := float64(len(f.sites))
	f.row.Links = float64(links) / n
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	f.row.Heap = float64(m.HeapInuse+m.StackInuse) / n
	f.row.Resident = float64(resident()) / n
	return nil
}

// reading is a state of all counters.
type reading struct {
	sent, received, messages int64
	calls                    int
	cpu                      time.Duration
}

func (f *fleet) read() reading {
	r := reading{sent: f.traffic.sent.Load(), received: f.traffic.received.Load(), calls: f.platform.Counts().Total()}
	for _, s := range f.sites {
		r.messages += s.counter("peer.sent")
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		r.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	return r
}

// resident is the memory that the process holds.
func resident() int64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, pages int64
	if _, err := fmt.Sscan(string(b), &total, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// changes commits through one daemon after the other and times each until it
// is in force everywhere.
func (f *fleet) changes(ctx context.Context) error {
	for i := range f.o.Changes {
		id := fmt.Sprint("change", i)
		s := f.sites[(i*7)%len(f.sites)]
		began := f.clock.Now()
		done, err := s.configs.Commit(ctx, fireflypath.Change{
			ID: id, Who: "fleet", Words: "add team " + id,
			Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) {
				next := *old
				next.Teams = append(old.Teams[:len(old.Teams):len(old.Teams)], fireflypath.Team{Name: id, Tiers: []string{"coop"}})
				return &next, nil
			},
		})
		if err != nil {
			return err
		}
		err = f.await(ctx, id+" in force", func(s *site) bool { return s.configs.Generation() >= done.Generation })
		if err != nil {
			return err
		}
		f.row.Change = max(f.row.Change, f.clock.Since(began))
	}
	return nil
}

// deaths kills daemons one after the other and times each until nobody counts it.
func (f *fleet) deaths(ctx context.Context) error {
	for i := range min(f.o.Deaths, len(f.sites)-1) {
		dead := f.sites[len(f.sites)-1-i]
		began := f.clock.Now()
		dead.stop()
		name := dead.members.Self().Name
		err := f.await(ctx, name+" is gone", func(s *site) bool {
			for _, m := range s.members.Live() {
				if m.Name == name {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		f.row.Death = max(f.row.Death, f.clock.Since(began))
	}
	return nil
}
