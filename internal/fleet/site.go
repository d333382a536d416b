package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/exchange"
	"github.com/fireflypath/fireflypath/internal/leaving"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/spread"
)

// site is the control part of one daemon.
type site struct {
	members  *member.Membership
	peers    *peer.Endpoint
	configs  *configuration.Registry
	exchange *exchange.Exchange
	board    *leaving.Board
	spread   *spread.Spread
	route    *route
	scope    tally.TestScope
	listener net.Listener

	ctx     context.Context
	cancel  context.CancelFunc
	work    conc.WaitGroup
	stopped bool
}

func newSite(f *fleet, name string, cfg *fireflypath.Config) (*site, error) {
	s := &site{scope: tally.NewTestScope("", nil)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	l, err := f.traffic.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = l
	self := fireflypath.Member{
		Name: name, Domain: fmt.Sprint("zone", len(f.sites)%4), Peer: l.Addr().String(),
		Caller: l.Addr().String(), Operator: l.Addr().String(),
		Incarnation: uint64(f.clock.Now().UnixMilli()),
	}
	var trust *peer.Trust
	if f.files != nil {
		if trust, err = peer.NewTrust(*f.files, f.clock, s.scope); err != nil {
			return nil, err
		}
	}
	log, store := zap.NewNop(), f.platform.Store()
	s.members = member.New(self, store, nil, 0, f.clock, s.scope, log)
	s.peers = peer.New(f.traffic, trust, s.members.Self, 0, f.clock, s.scope, log)
	s.members.Attach(s.peers)
	s.configs = configuration.New(store, cfg, name, f.clock, s.scope, log)
	s.spread = spread.New(s.configs, s.members, s.peers, log)
	s.route = newRoute(f.o, uint64(len(f.sites)))
	s.exchange = exchange.New(s.members, s.peers, s.configs, s.route, false, f.clock, s.scope)
	s.board = leaving.New(name, func() int { return len(s.members.Layout().Mates(name)) }, s.peers,
		s.route.TargetLeaving, s.route.TargetBack, f.clock, s.scope)
	return s, nil
}

func (s *site) run() {
	s.work.Go(func() { _ = s.peers.Serve(s.listener) })
	s.work.Go(func() { _ = s.members.Run(s.ctx) })
	s.work.Go(func() { _ = s.configs.Run(s.ctx) })
	s.work.Go(func() { _ = s.spread.Run(s.ctx) })
	s.work.Go(func() { _ = s.exchange.Run(s.ctx) })
	s.work.Go(func() { _ = s.board.Run(s.ctx) })
}

// stop ends the daemon without a word, like a crash.
func (s *site) stop() {
	if s.stopped {
		return
	}
	s.stopped = true
	s.cancel()
	s.listener.Close()
	s.peers.Close()
	s.work.Wait()
}

func (s *site) counter(name string) int64 {
	for _, c := range s.scope.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	return 0
}

// route stands for a daemon's request path: it reports demands that change
// from second to second, as under full load.
type route struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	demands []fireflypath.Demand
	reads   int
}

var _ fireflypath.Cluster = (*route)(nil)

func newRoute(o Options, n uint64) *route {
	r := &route{rnd: rand.New(rand.NewPCG(o.Seed, n))}
	for i := range o.Pools {
		r.demands = append(r.demands, fireflypath.Demand{Pool: fmt.Sprint("pool", i)})
	}
	return r
}

// slots is the window of a pool: twelve engines with eight places, as today.
const slots = 96

// readsPerSecond is how often the exchange reads the demands.
const readsPerSecond = 10

// Demands gives new figures for all pools about once a second.
func (r *route) Demands() []fireflypath.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reads++; r.reads%readsPerSecond == 1 {
		for i := range r.demands {
			d := &r.demands[i]
			d.Slots = slots
			d.Busy, d.Requests = []int{r.rnd.IntN(3), r.rnd.IntN(3), r.rnd.IntN(3)}, nil
			if r.rnd.IntN(2) == 0 {
				// Short of slots: a ninth is 11.
				d.Busy = []int{3 + r.rnd.IntN(3), 3 + r.rnd.IntN(3), 4 + r.rnd.IntN(3)}
				d.Requests = []int{r.rnd.IntN(3), r.rnd.IntN(9), r.rnd.IntN(30)}
			}
		}
	}
	return append([]fireflypath.Demand(nil), r.demands...)
}

// Relieve, ApplyShare, TargetLeaving and TargetBack have nothing to do here.
func (*route) Relieve(string, int, int) int         { return 0 }
func (*route) ApplyShare(string, fireflypath.Share) {}
func (*route) TargetLeaving(string, string)         {}
func (*route) TargetBack(string)                    {}

// traffic is the loopback network with counters.
type traffic struct {
	tcp            peer.TCP
	sent, received atomic.Int64
}

var _ fireflypath.Network = (*traffic)(nil)

// Dial opens a counted connection.
func (t *traffic) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := t.tcp.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c, t: t}, nil
}

// Listen accepts counted connections.
func (t *traffic) Listen(addr string) (net.Listener, error) {
	l, err := t.tcp.Listen(addr)
	return &listener{Listener: l, t: t}, err
}

type listener struct {
	net.Listener
	t *traffic
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c, t: l.t}, nil
}

type counted struct {
	net.Conn
	t *traffic
}

// Read counts what came.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.received.Add(int64(n))
	return n, err
}

// Write counts what went.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.sent.Add(int64(n))
	return n, err
}
