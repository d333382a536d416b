package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/follow"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

const (
	hostDomains = 4
	// dialTime is what the way to another host and back adds to a connection: its opening, the
	// introduction and the first call over links of 1.4 ms.
	dialTime = 8 * time.Millisecond
)

// hosts are the hosts of a fleet, with the daemons' own membership, connections, replication and
// dispatchers, in virtual time.
type hosts struct {
	t     *testing.T
	net   *testkit.Network
	store *testkit.MapStore
	seeds []string
	cfg   fireflypath.Pool

	mu       sync.Mutex
	powered  map[string]bool
	viewed   map[string]time.Duration
	attached map[string]time.Duration
	sessions int

	stop []func()
}

// hostNetwork is the network as seen by one host. A host without power does not answer.
type hostNetwork struct {
	fireflypath.Network
	hosts *hosts
}

func (n hostNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	name, _, _ := strings.Cut(addr, ":")
	n.hosts.mu.Lock()
	powered := n.hosts.powered[name]
	n.hosts.mu.Unlock()
	if !powered {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(dialTime)
	return n.Network.Dial(ctx, addr)
}

// storeFeed is the store as a feed. The answers of the store come after storeLatency.
type storeFeed struct{ *testkit.MapStore }

func listing(entries []fireflypath.Entry, after uint64) fireflypath.Listing {
	l := fireflypath.Listing{Entries: entries, Revision: after}
	for _, e := range entries {
		l.Revision = max(l.Revision, e.Revision)
	}
	return l
}

func (s storeFeed) List(ctx context.Context, prefix string) ([]fireflypath.Entry, error) {
	time.Sleep(storeLatency)
	return s.MapStore.List(ctx, prefix)
}

func (s storeFeed) Snapshot(ctx context.Context, prefix string) (fireflypath.Listing, error) {
	entries, err := s.List(ctx, prefix)
	return listing(entries, 0), err
}

func (s storeFeed) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	time.Sleep(storeLatency)
	entries, err := s.Watch(ctx, prefix, after, wait)
	return listing(entries, after), err
}

func hostName(i int) string { return fmt.Sprintf("h%03d", i) }

func hostMember(i int, incarnation uint64) fireflypath.Member {
	return fireflypath.Member{
		Name: hostName(i), Domain: fmt.Sprint("zone", i%hostDomains), PeerAddr: hostName(i) + ":1", CPU: 0.2, Link: 20, Incarnation: incarnation,
	}
}

// newHosts returns n hosts without power, whose daemons have records of an earlier run in the store.
func newHosts(t *testing.T, n int) *hosts {
	h := &hosts{
		t: t, net: testkit.NewNetwork(), store: testkit.NewMapStore(clockwork.NewRealClock()), seeds: []string{"h000:1", "h001:1", "h002:1"},
		cfg: fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}, powered: map[string]bool{}, viewed: map[string]time.Duration{}, attached: map[string]time.Duration{},
	}
	put := func(key string, value any) {
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := h.store.Put(t.Context(), key, b, fireflypath.AnyRevision, 0); err != nil {
			t.Fatal(err)
		}
	}
	for i := range n {
		m := hostMember(i, 1)
		put(member.RecordPrefix+m.Domain+"/"+m.Name, m)
	}
	for i := range 2 * n {
		put(fmt.Sprint("targets/t", i), map[string]any{"pool": "p"})
	}
	return h
}

// start gives a host power and starts its daemon as the gate does.
func (h *hosts) start(i int) {
	self := hostMember(i, uint64(time.Now().UnixMilli()))
	startedAt := time.Now()
	clock, scope := clockwork.NewRealClock(), tally.NoopScope
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zapcore.InfoLevel)
	log := zap.New(zapcore.RegisterHooks(core, func(e zapcore.Entry) error {
		if e.Message == "attached to dispatcher" {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.sessions++
			if _, ok := h.attached[self.Name]; !ok {
				h.attached[self.Name] = time.Since(startedAt)
			}
		}
		return nil
	}))
	network := hostNetwork{h.net.Host(self.Name), h}
	store := storeFeed{h.store}
	members := member.New(self, store, h.seeds, time.Second, clock, scope, log)
	peers := peer.New(network, nil, members.Self, time.Second, clock, scope, log)
	members.Attach(peers)
	feed := follow.New(self.Name, self.Domain, fleetLimit, store, peers, members, clock, scope, log)
	view := directory.New(feed, testkit.Codec{}, clock, &testkit.BootClock{Clock: clock}, scope, log)
	feed.Serve(view)
	feed.OnStart(members.AdoptDomain)
	view.OnRead(member.RecordPrefix, members.AdoptRecords)
	feed.OnRecords(func(entries []fireflypath.Entry) {
		members.AdoptRecords(slices.DeleteFunc(slices.Clone(entries), func(e fireflypath.Entry) bool { return !strings.HasPrefix(e.Key, member.RecordPrefix) }))
	})
	feed.OnMembers(members.AdoptMembers)
	d := dispatch.New(self.Name, peers, members, clock, &testkit.BootClock{Clock: clock}, scope, log, func(p fireflypath.Pool) dispatcher.Scheduler {
		return slots.New(p, 1, slots.DispatcherTuning())
	})
	l, err := network.Listen(self.PeerAddr)
	if err != nil {
		h.t.Error(err)
		return
	}
	h.mu.Lock()
	h.powered[self.Name] = true
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = members.Run(ctx) })
	wg.Go(func() { _ = peers.Serve(l) })
	wg.Go(func() { _ = view.Run(ctx) })
	wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-view.Changed(0):
		}
		h.mu.Lock()
		h.viewed[self.Name] = time.Since(startedAt)
		h.mu.Unlock()
		cfg := *view.Current()
		cfg.Pools = []fireflypath.Pool{h.cfg}
		sched := remote.New(slots.New(h.cfg, 1, slots.StandaloneTuning()))
		p := pool.New("p", clock, sched, nil)
		p.SetTargets(cfg.Targets)
		d.Apply(&cfg)
		d.AddPool(p, h.cfg, sched)
		<-ctx.Done()
		p.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop = append(h.stop, func() {
		cancel()
		d.Close()
		peers.Close()
		wg.Wait()
	})
}

// stopAll stops all daemons and waits for the last attempts to connect.
func (h *hosts) stopAll() {
	for _, stop := range h.stop {
		stop()
	}
	time.Sleep(time.Minute)
}

// fleetStart is how the hosts of a fleet started: how long after its start each had a view and a
// dispatcher, in order, the sessions with dispatchers in 5 s, and the calls to the store in 2 s.
type fleetStart struct {
	viewed, attached []time.Duration
	sessions, calls  int
}

// startTogether starts the hosts within powerLossSpread in the given order. Those of a negative position
// do not start.
func startTogether(t *testing.T, n int, order func(i int) int) (r fleetStart) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(t, n)
		var wg sync.WaitGroup
		before := storeCalls(h.store)
		for i := range n {
			at := order(i)
			if at < 0 {
				continue
			}
			wg.Go(func() {
				time.Sleep(time.Duration(at) * powerLossSpread / time.Duration(n))
				h.start(i)
			})
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		r.calls = storeCalls(h.store) - before
		time.Sleep(3 * time.Second)
		h.mu.Lock()
		for name := range h.powered {
			r.viewed, r.attached = append(r.viewed, timeOr(h.viewed, name)), append(r.attached, timeOr(h.attached, name))
		}
		r.sessions = h.sessions
		h.mu.Unlock()
		h.stopAll()
	})
	slices.Sort(r.viewed)
	slices.Sort(r.attached)
	last := len(r.viewed) - 1
	t.Logf("%d daemons: view median %v, nine of ten %v, last %v; dispatcher median %v, nine of ten %v, last %v; %d sessions, %d calls to the store",
		last+1, r.viewed[last/2], r.viewed[last*9/10], r.viewed[last], r.attached[last/2], r.attached[last*9/10], r.attached[last], r.sessions, r.calls)
	return r
}

// timeOr returns the time of a daemon, or a minute if it has none.
func timeOr(times map[string]time.Duration, name string) time.Duration {
	if d, ok := times[name]; ok {
		return d
	}
	return time.Minute
}

func storeCalls(s *testkit.MapStore) int {
	n := 0
	for _, op := range []string{"list", "watch", "get", "put", "grant", "renew", "revoke", "delete"} {
		n += s.Calls(op)
	}
	return n
}

// spread starts hosts in an order unlike that of their names and domains.
func spread(n int) func(int) int { return func(i int) int { return i * 37 % n } }

// Guards against a fleet that serves nobody for half a second after a power loss, because its daemons
// wait for others that have not started.
func TestFleetServesSoonAfterPowerLoss(t *testing.T) {
	for _, n := range []int{73, 101} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			r := startTogether(t, n, spread(n))
			is.True(r.viewed[n*9/10] < 100*time.Millisecond)
			is.True(r.attached[n*9/10] < 400*time.Millisecond)
			is.True(r.sessions < n+n/4) // more would be of daemons that do not know their cell
			is.True(r.calls < 4*n)
		})
	}
}

// Guards against a fleet whose daemons wait for seeds or for half of the hosts that do not come back.
func TestFleetServesIfHostsStayDown(t *testing.T) {
	const n = 73
	lost := map[string]func(i int) bool{
		"seeds": func(i int) bool { return i < 3 },
		"half":  func(i int) bool { return i%2 == 0 },
	}
	for name, lost := range lost {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := startTogether(t, n, func(i int) int {
				if lost(i) {
					return -1
				}
				return spread(n)(i)
			})
			is.True(r.viewed[len(r.viewed)-1] < 200*time.Millisecond)
			is.True(r.attached[len(r.attached)-1] < 500*time.Millisecond)
			is.True(r.sessions < len(r.viewed)*3/2)
		})
	}
}

// Guards against a daemon that restarts alone and finds its dispatcher later than before.
func TestSingleRestartIsNotSlower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 25
		h := newHosts(t, n)
		for i := range n - 1 {
			h.start(i)
		}
		time.Sleep(5 * time.Second)
		h.start(n - 1)
		time.Sleep(3 * time.Second)
		h.mu.Lock()
		viewed, attached := timeOr(h.viewed, hostName(n-1)), timeOr(h.attached, hostName(n-1))
		h.mu.Unlock()
		h.stopAll()
		t.Logf("view after %v, dispatcher after %v", viewed, attached)
		is.True(viewed < 30*time.Millisecond)
		is.True(attached < 50*time.Millisecond)
	})
}
