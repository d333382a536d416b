package relief

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

func TestMain(m *testing.M) { testkit.RunWithFixedSeed(m) }

var errBroken = errors.New("connection broke")

// fakePeer is a peer that holds waiting work, in tokens by rank.
type fakePeer struct {
	Rounds  *Rounds
	waiting [3]int
	// The peer answers after delay, or never if silent. Its first responsesToLose responses
	// are lost.
	delay           time.Duration
	silent          bool
	responsesToLose int
	asked           int
	// noneAt is when the peer last answered that it holds no work below a rank.
	noneAt [3]time.Time
}

// fakeNetwork holds a set of peers as seen by the daemon d0.
type fakeNetwork struct {
	mu    sync.Mutex
	live  []fireflypath.Member
	peers map[string]*fakePeer
	// calls is the number of calls in progress, maxCalls its maximum.
	calls, maxCalls int
}

func newNetwork(n int) *fakeNetwork {
	net := &fakeNetwork{peers: map[string]*fakePeer{}}
	for i := range n {
		net.join(fmt.Sprint("d", i), 1)
	}
	return net
}

func (net *fakeNetwork) join(name string, incarnation uint64) *fakePeer {
	p := &fakePeer{}
	p.Rounds = New(name, net, net, func() fireflypath.Cluster { return fakeCluster{network: net, peer: p} }, nil,
		clockwork.NewRealClock(), tally.NoopScope)
	net.peers[name] = p
	net.live = append(net.live, fireflypath.Member{Name: name, Incarnation: incarnation})
	return p
}

// drop removes a peer from the membership.
func (net *fakeNetwork) drop(name string) {
	net.mu.Lock()
	defer net.mu.Unlock()
	var live []fireflypath.Member
	for _, m := range net.live {
		if m.Name != name {
			live = append(live, m)
		}
	}
	net.live = live
}

func (net *fakeNetwork) Live() []fireflypath.Member {
	net.mu.Lock()
	defer net.mu.Unlock()
	return net.live
}

func (net *fakeNetwork) Call(ctx context.Context, to fireflypath.Member, _ string, params, result any) error {
	net.mu.Lock()
	p := net.peers[to.Name]
	p.asked++
	net.calls++
	net.maxCalls = max(net.maxCalls, net.calls)
	delay, silent := p.delay, p.silent
	net.mu.Unlock()
	defer func() {
		net.mu.Lock()
		net.calls--
		net.mu.Unlock()
	}()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := p.Rounds.handleRelieve(ctx, "d0", b)
	if err != nil {
		return err
	}
	net.mu.Lock()
	lost := p.responsesToLose > 0
	p.responsesToLose--
	net.mu.Unlock()
	if lost {
		return errBroken
	}
	*result.(*reliefResponse) = out.(reliefResponse)
	return nil
}

// fakeCluster implements fireflypath.Cluster for a fakePeer.
type fakeCluster struct {
	network *fakeNetwork
	peer    *fakePeer
}

func (h fakeCluster) Relieve(_ string, rank, tokens int) int {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	freed := 0
	for r := len(h.peer.waiting) - 1; r > rank && freed < tokens; r-- {
		n := min(tokens-freed, h.peer.waiting[r])
		h.peer.waiting[r] -= n
		freed += n
	}
	if freed == 0 {
		h.peer.noneAt[rank] = time.Now()
	}
	return freed
}

func (fakeCluster) Demands() []fireflypath.Demand        { return nil }
func (fakeCluster) ApplyShare(string, fireflypath.Share) {}
func (fakeCluster) TargetLeaving(string, string)         {}
func (fakeCluster) TargetStaying(string)                 {}

func TestAsk(t *testing.T) {
	tests := []struct {
		name string
		// setup prepares nine peers, of which d0 asks for relief.
		setup      func(net *fakeNetwork)
		wantTokens int
		wantTime   time.Duration
		wantErr    error
	}{
		{"nobody holds lower work", func(*fakeNetwork) {}, 0, 0, nil},
		{"one holds lower work", func(net *fakeNetwork) { net.peers["d4"].waiting[2] = 500 }, 100, 0, nil},
		{"only equal work", func(net *fakeNetwork) { net.peers["d4"].waiting[1] = 500 }, 0, 0, nil},
		// A slow peer's work of lower tiers must go before a higher tier is shed.
		{"slow peer holds it", func(net *fakeNetwork) {
			net.peers["d4"].waiting[2], net.peers["d4"].delay = 500, 800*time.Millisecond
		}, 100, 800 * time.Millisecond, nil},
		// The peer gives up work, and its response is lost. It must be called again.
		{"answer lost", func(net *fakeNetwork) {
			net.peers["d4"].waiting[2], net.peers["d4"].responsesToLose = 500, 1
		}, 100, retryInterval, nil},
		// A peer dies during the round. The request waits until the membership drops the
		// peer and only then learns that there is no work to give up.
		{"silent peer, dropped after 4 s", func(net *fakeNetwork) {
			net.peers["d4"].silent = true
			time.AfterFunc(4*time.Second, func() { net.drop("d4") })
		}, 0, 4 * time.Second, nil},
		// The silent peer stays a member. The request waits until its own deadline and
		// fails because of that, not because the round did not end.
		{"silent peer stays", func(net *fakeNetwork) { net.peers["d4"].silent = true }, 0, 10 * time.Second, context.DeadlineExceeded},
		// A silent peer must not delay a request for which others have freed tokens.
		{"silent peer, another frees", func(net *fakeNetwork) {
			net.peers["d4"].silent = true
			net.peers["d5"].waiting[2] = 60
		}, 60, gracePeriod, nil},
		// A daemon restarts under its name during the round and holds new work.
		{"peer returns with lower work", func(net *fakeNetwork) {
			net.peers["d5"].delay = 900 * time.Millisecond
			time.AfterFunc(500*time.Millisecond, func() {
				net.drop("d4")
				net.mu.Lock()
				defer net.mu.Unlock()
				net.join("d4", 2).waiting[2] = 500
			})
		}, 100, 600 * time.Millisecond, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				net := newNetwork(9)
				tt.setup(net)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				startedAt := time.Now()
				got, err := net.peers["d0"].Rounds.Ask(ctx, "chat", 1, 100)
				is.True(errors.Is(err, tt.wantErr))
				is.Equal(got, tt.wantTokens)
				is.True(time.Since(startedAt) >= tt.wantTime && time.Since(startedAt) <= tt.wantTime+retryInterval)
			})
		})
	}
}

// A thousand requests need relief at once while peers are slow. There may be one call per
// peer at a time, and the number of messages must not grow with the requests.
func TestMessagesDoNotGrowWithRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(9)
		for _, p := range net.peers {
			p.delay = 50 * time.Millisecond
		}
		net.peers["d4"].waiting[2] = 30_000
		var wg sync.WaitGroup
		freed := make(chan int, 1000)
		for i := range 1000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				n, err := net.peers["d0"].Rounds.Ask(t.Context(), "chat", i%2, 60)
				is.NoErr(err)
				freed <- n
			})
		}
		wg.Wait()
		sum := 0
		for range 1000 {
			sum += <-freed
		}
		is.Equal(sum, 30_000) // all freed tokens were distributed exactly once
		is.True(net.maxCalls <= 8)
		asked := 0
		for _, p := range net.peers {
			asked += p.asked
		}
		t.Log("calls for 1000 requests:", asked)
		is.True(asked <= 8*6)
	})
}

// scenario is one scenario generated by rapid.
type scenario struct {
	waiting         [5][3]int
	delay           [5]time.Duration
	responsesToLose [5]int
	// faultyPeer dies at diesAt, may be silent before, and may rejoin a second later.
	faultyPeer int
	diesAt     time.Duration
	silent     bool
	rejoins    bool
	requests   []request
}

type request struct {
	daemon, rank, tokens int
	start                time.Duration
}

func drawScenario(rt *rapid.T) scenario {
	tenths := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * 100 * time.Millisecond
	}
	var sc scenario
	for i := range sc.waiting {
		for r := range sc.waiting[i] {
			sc.waiting[i][r] = rapid.IntRange(0, 3).Draw(rt, "waiting") * 50
		}
		sc.delay[i] = 4 * tenths("delay", 3)
		sc.responsesToLose[i] = rapid.IntRange(0, 2).Draw(rt, "lost answers")
	}
	sc.faultyPeer = rapid.IntRange(1, 4).Draw(rt, "faulty")
	sc.diesAt, sc.silent = tenths("when", 20), rapid.Bool().Draw(rt, "silent")
	sc.rejoins = rapid.Bool().Draw(rt, "returns")
	for range rapid.IntRange(1, 6).Draw(rt, "requests") {
		sc.requests = append(sc.requests, request{
			// Another daemon, which does not fail, may ask at the same time.
			daemon: rapid.SampledFrom([]int{0, sc.faultyPeer%4 + 1}).Draw(rt, "asker"),
			rank:   rapid.IntRange(0, 1).Draw(rt, "rank"),
			tokens: rapid.SampledFrom([]int{100, allTokens}).Draw(rt, "tokens"),
			start:  tenths("start", 10),
		})
	}
	return sc
}

// allTokens is what expired work asks for: all work of lower tiers is given up.
const allTokens = math.MaxInt32

// An expired request and one that found the pool full share a round. All work of lower tiers
// is given up for both. The request that can still run must get its tokens, or it would be
// refused although they were freed for it. After the round, no peer may hold work of lower
// tiers, so that no request is refused too early.
func TestExpiredWorkDoesNotTakeFreedTokens(t *testing.T) {
	for _, expired := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(9)
			net.peers["d3"].waiting[2], net.peers["d6"].waiting[1], net.peers["d6"].delay = 60, 70, 50*time.Millisecond
			first := make(chan int, 1)
			go func() { // makes the others share the round after its own
				n, _ := net.peers["d0"].Rounds.Ask(t.Context(), "chat", 2, 1)
				first <- n
			}()
			synctest.Wait()
			var got [4]int
			var wg sync.WaitGroup
			for i := range expired + 1 {
				tokens := allTokens
				if i == expired {
					tokens = 100
				}
				wg.Go(func() {
					n, err := net.peers["d0"].Rounds.Ask(t.Context(), "chat", 0, tokens)
					is.NoErr(err)
					got[i] = n
				})
				synctest.Wait()
			}
			is.Equal(<-first, 0)
			wg.Wait()
			is.Equal(got[expired], 100)
			is.Equal(got[0]+got[1]+got[2]+got[3], 130)
			for _, p := range net.peers {
				is.Equal(p.waiting[1]+p.waiting[2], 0)
			}
		})
	}
}

// Peers hold work, are slow or silent, lose responses, die and rejoin while requests ask for
// relief, as generated by rapid. A request may get 0 only if every peer that is live at the
// end has answered, after the request began, that it holds no work of lower tiers.
func TestZeroMeansNoLowerWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		failures := make(chan string, len(sc.requests)*5)
		synctest.Test(t, func(*testing.T) { runScenario(sc, failures) })
		close(failures)
		for text := range failures {
			rt.Error(text)
		}
	})
}

func runScenario(sc scenario, failures chan<- string) {
	net := newNetwork(5)
	for i := range sc.waiting {
		p := net.peers[fmt.Sprint("d", i)]
		p.waiting, p.delay, p.responsesToLose = sc.waiting[i], sc.delay[i], sc.responsesToLose[i]
	}
	name := fmt.Sprint("d", sc.faultyPeer)
	net.peers[name].silent = sc.silent
	time.AfterFunc(sc.diesAt, func() { net.drop(name) })
	if sc.rejoins {
		// All other events are at multiples of 100 ms. A peer that rejoined at the same
		// instant at which a request gets 0 could be before or after it.
		time.AfterFunc(sc.diesAt+time.Second+50*time.Millisecond, func() {
			net.mu.Lock()
			defer net.mu.Unlock()
			net.join(name, 2).waiting[2] = 100
		})
	}
	var wg sync.WaitGroup
	for _, a := range sc.requests {
		wg.Go(func() {
			time.Sleep(a.start)
			net.checkRequest(a, failures)
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second) // the last rounds end
}

// checkRequest asks for relief and compares a result of 0 with the work that the peers hold.
func (net *fakeNetwork) checkRequest(a request, failures chan<- string) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	startedAt := time.Now()
	net.mu.Lock()
	self, rank := fmt.Sprint("d", a.daemon), a.rank
	rounds := net.peers[self].Rounds
	net.mu.Unlock()
	got, err := rounds.Ask(ctx, "chat", rank, a.tokens)
	if got > 0 || err != nil {
		return
	}
	net.mu.Lock()
	defer net.mu.Unlock()
	for _, m := range net.live {
		p := net.peers[m.Name]
		lower := 0
		for r := rank + 1; r < len(p.waiting); r++ {
			lower += p.waiting[r]
		}
		if m.Name != self && lower > 0 && p.noneAt[rank].Before(startedAt) {
			failures <- fmt.Sprintf("%s holds %d tokens below rank %d and never answered 0", m.Name, lower, rank)
		}
	}
}
