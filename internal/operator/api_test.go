package operator_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/client"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/keys"
	"github.com/fireflypath/fireflypath/internal/operator"
	"github.com/fireflypath/fireflypath/internal/operator/forward"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/query/eval"
	"github.com/fireflypath/fireflypath/internal/record"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// testDaemon is the operator API of one daemon on a free port.
type testDaemon struct {
	addr  string
	ring  *record.Ring
	peers *fakeMembers
	held  *fakeQuarantine
}

// fakeQuarantine holds one request until it is released.
type fakeQuarantine struct{ released atomic.Bool }

const heldDigest = digest.Digest(0xab)

func (q *fakeQuarantine) List() []quarantine.Row {
	if q.released.Load() {
		return nil
	}
	return []quarantine.Row{{Digest: heldDigest.String(), State: "held", Targets: 3}}
}

func (q *fakeQuarantine) Release(d digest.Digest) bool {
	return d == heldDigest && q.released.CompareAndSwap(false, true)
}

type fakeMembers struct{ list []fireflypath.Member }

func (m *fakeMembers) Live() []fireflypath.Member { return m.list }

// fakeOrderer records orders and returns err.
type fakeOrderer struct {
	taken []fireflypath.Order
	err   error
}

func (o *fakeOrderer) Order(_ context.Context, order fireflypath.Order) error {
	o.taken = append(o.taken, order)
	return o.err
}

func startDaemon(t *testing.T, name string, configs *testkit.FakeConfigs, clock clockwork.Clock, o fireflypath.Orderer) testDaemon {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := testDaemon{addr: ln.Addr().String(), ring: record.New(1 << 20), peers: &fakeMembers{}, held: &fakeQuarantine{}}
	d.peers.list = []fireflypath.Member{{Name: name, OperatorAddr: d.addr}}
	app := fiber.New()
	newAPI(name, configs, clock, o, &d).Register(app)
	done := make(chan error, 1)
	go func() { done <- app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() {
		if err := app.Shutdown(); err != nil {
			t.Error(err)
		}
		<-done
	})
	return d
}

func newAPI(name string, configs *testkit.FakeConfigs, clock clockwork.Clock, o fireflypath.Orderer, d *testDaemon) *operator.API {
	return operator.New(operator.Deps{
		Sources: eval.Sources{
			Name: name, Configs: configs, Committer: configs, Members: d.peers, Recorder: d.ring, Clock: clock,
			Views:   func() []fireflypath.TargetView { return nil },
			Demands: func() []fireflypath.Demand { return nil },
		},
		Orderer: o, Forwarder: forward.New(nil), Scope: tally.NoopScope, Quarantine: d.held,
	})
}

func newConfigs(clock clockwork.Clock) *testkit.FakeConfigs {
	return testkit.NewFakeConfigs(&fireflypath.Config{Generation: 1}, clock.Now)
}

func execute(c *client.Client, text string) wire.CommandResult {
	return c.Execute(wire.CommandRequest{ID: ulid.Make().String(), Text: text})
}

func ask(t *testing.T, c *client.Client, text string) string {
	t.Helper()
	a, err := c.Query(text)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	b.WriteString(strings.Join(a.Lines, "\n"))
	for _, s := range a.Sections {
		if err := s.Table.Write(&b); err != nil {
			t.Fatal(err)
		}
	}
	return b.String()
}

func newClient(addrs ...string) *client.Client {
	return client.New(client.Options{Addrs: addrs})
}

const setupCommands = "set tier gold rank 0; set pool chat models m; set target e1 pool chat addr 127.0.0.1:9001 domain a"

func TestCommandsAreExecutedAndAudited(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	c := newClient(startDaemon(t, "d1", configs, clock, nil).addr)
	result := execute(c, setupCommands)
	is.Equal(result.Outcome, wire.OutcomeDone)
	is.Equal(result.Generation, uint64(2))
	repeated := c.Execute(wire.CommandRequest{ID: result.ID, Text: setupCommands})
	is.True(repeated.Repeated)
	is.Equal(configs.Current().Generation, uint64(2)) // not executed twice
	other := c.Execute(wire.CommandRequest{ID: result.ID, Text: "drain target e1"})
	is.Equal(other.Outcome, wire.OutcomeRefused) // the ID belongs to another command
	is.True(strings.Contains(other.Detail, setupCommands))
	is.Equal(ask(t, c, "settle "+result.ID), "done: in force from generation 2")

	refused := execute(c, "set tier silver rank 0; set team t tiers nope")
	is.Equal(refused.Outcome, wire.OutcomeRefused)
	is.Equal(len(refused.Problems), 2)
	is.True(strings.HasPrefix(ask(t, c, "settle "+refused.ID), "not done: refused: tier silver has rank 0"))
	is.True(strings.Contains(ask(t, c, "changes where result ~ refused"), refused.ID+"/refused"))

	bad := execute(c, "set tear gold")
	is.Equal(bad.Outcome, wire.OutcomeInvalid)
	is.Equal(bad.Syntax.Column, 5)
	is.Equal(bad.Syntax.Expected, []string{"tier", "team", "pool", "target", "rule", "operator"})

	planned := execute(c, "plan drain target e1")
	is.Equal(planned.Plan.Lines, []string{"~ target e1 drained false -> true"})
	is.Equal(len(planned.Plan.BreakingChanges), 1)
	is.True(!configs.Current().Targets[0].Drained)
}

// Two operators each write a change against generation 2. One is committed; the other
// is refused with the author and ID of the first. Both are in the audit trail.
func TestConflictingChanges(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	one, two := newClient(startDaemon(t, "d1", configs, clock, nil).addr), newClient(startDaemon(t, "d2", configs, clock, nil).addr)
	execute(one, setupCommands)
	results := make(chan wire.CommandResult, 2)
	go func() { results <- execute(one, "at 2 set pool chat models m,n") }()
	go func() { results <- execute(two, "at 2 set pool chat models m,o") }()
	won, lost := <-results, <-results
	if won.Outcome != wire.OutcomeDone {
		won, lost = lost, won
	}
	is.Equal(won.Outcome, wire.OutcomeDone)
	is.Equal(lost.Outcome, wire.OutcomeRefused)
	is.Equal(lost.ConflictingID, won.ID)
	is.True(strings.Contains(lost.Detail, won.ID+" was committed first by local: at 2 set pool chat"))
	trail := ask(t, two, "changes")
	is.True(strings.Contains(trail, won.ID))
	is.True(strings.Contains(trail, lost.ID+"/refused"))
}

// A change is committed but the response of the store is lost, and the store then stays
// unreachable. The operator must not be told that nothing changed.
func TestLostStoreResponseIsUnknownThenSettled(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	c := newClient(startDaemon(t, "d1", configs, clock, nil).addr)
	unknown := fireflypath.ErrUnknown
	configs.ErrAfterCommit.Store(&unknown)
	configs.FailAfter(fireflypath.ErrUnavailable, 1) // the first call still succeeds
	result := execute(c, setupCommands)
	is.Equal(result.Outcome, wire.OutcomeUnknown)
	is.True(strings.Contains(ask(t, c, "settle "+result.ID), "cannot be read now"))
	configs.StopFailing()
	is.Equal(ask(t, c, "settle "+result.ID), "done: in force from generation 2")
}

// While the platform's store is down, a command reports that nothing was changed, and
// queries that need only the daemon's memory are answered.
func TestCommandIsUnavailableWithoutStore(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	c := newClient(startDaemon(t, "d1", configs, clock, nil).addr)
	execute(c, setupCommands)
	configs.FailAfter(fireflypath.ErrUnavailable, 0)
	result := execute(c, "drain target e1")
	is.Equal(result.Outcome, wire.OutcomeUnavailable)
	is.True(strings.Contains(result.Detail, "nothing was changed"))
	is.True(strings.Contains(ask(t, c, "targets"), "e1"))
	configs.StopFailing()
	is.True(strings.HasPrefix(ask(t, c, "settle "+result.ID), "not done"))
}

// If no daemon listens at the first address, the command goes to the next one. If no
// daemon is reachable, the operator is told that nothing was sent.
func TestUnreachableDaemons(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	closedAddr := ln.Addr().String()
	is.Equal(execute(newClient(closedAddr, startDaemon(t, "d1", configs, clock, nil).addr), setupCommands).Outcome, wire.OutcomeDone)
	is.Equal(execute(newClient(closedAddr), setupCommands).Outcome, wire.OutcomeUnavailable)
	_, err = newClient(closedAddr).Query("teams")
	is.True(errors.Is(err, client.ErrUnreachable))
}

// A daemon receives the command and closes the connection without a response. The
// command may have been executed, so the client must report the outcome as unknown.
func TestClosedConnectionIsUnknown(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var b [64]byte
			_, _ = conn.Read(b[:])
			conn.Close()
		}
	}()
	is.Equal(execute(newClient(ln.Addr().String()), setupCommands).Outcome, wire.OutcomeUnknown)
}

func TestOrders(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	o := &fakeOrderer{}
	c := newClient(startDaemon(t, "d1", configs, clock, o).addr)
	execute(c, setupCommands)
	result := execute(c, "load target e1 model m")
	is.Equal(result.Outcome, wire.OutcomeDone)
	is.Equal(o.taken, []fireflypath.Order{{ID: result.ID, Kind: fireflypath.OrderLoad, Target: "e1", Value: "m"}})
	is.Equal(ask(t, c, "settle "+result.ID), "ordered: done")

	o.err = fireflypath.ErrUnknown
	unknown := execute(c, "role target e1 prefill")
	is.Equal(unknown.Outcome, wire.OutcomeUnknown)
	is.True(strings.HasPrefix(ask(t, c, "settle "+unknown.ID), "ordered: unknown"))
	is.Equal(execute(c, "role target e9 prefill").Outcome, wire.OutcomeRefused)

	// An order that cannot be audited is not sent.
	n := len(o.taken)
	configs.FailAfter(fireflypath.ErrUnavailable, 0)
	is.Equal(execute(c, "load target e1 model m").Outcome, wire.OutcomeUnavailable)
	is.Equal(len(o.taken), n)
}

func TestRolesAndInvalidKeys(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	addr := startDaemon(t, "d1", configs, clock, &fakeOrderer{}).addr
	askKey, askHash := keys.Generate()
	key, hash := keys.Generate()
	cyKey, cyHash := keys.Generate()
	is.Equal(execute(newClient(addr), setupCommands+"; set operator bo role ask; key operator bo hash "+askHash+
		"; set operator cy; key operator cy hash "+cyHash+
		"; set operator ana role change; key operator ana hash "+hash).Outcome, wire.OutcomeDone)

	ana := client.New(client.Options{Addrs: []string{addr}, Key: key})
	bo := client.New(client.Options{Addrs: []string{addr}, Key: askKey})
	cy := client.New(client.Options{Addrs: []string{addr}, Key: cyKey})
	is.Equal(execute(ana, "drain target e1").Outcome, wire.OutcomeDone)
	is.Equal(execute(ana, "load target e1 model m").Outcome, wire.OutcomeRefused)
	is.Equal(execute(bo, "restore target e1").Outcome, wire.OutcomeRefused)
	is.Equal(execute(bo, "plan restore target e1").Outcome, wire.OutcomePlanned)
	is.True(strings.Contains(ask(t, bo, "changes where who = bo"), "operator bo has the role ask; this needs change"))
	is.True(errors.Is(bo.Release(heldDigest.String()), client.ErrRefused))
	rows, err := bo.HeldRequests()
	is.NoErr(err)
	is.Equal(len(rows), 1) // the role ask may list held requests

	wrongKey := client.New(client.Options{Addrs: []string{addr}, Key: "fp_guess"})
	for range 3 {
		is.Equal(ask(t, wrongKey, "teams"), "the operator's key is missing, unknown or ended")
	}
	is.True(strings.Contains(ask(t, wrongKey, "teams"), "too many failed keys"))
	_, err = wrongKey.HeldRequests()
	is.True(err != nil)
	is.True(strings.Contains(ask(t, bo, "teams"), "NAME"))                 // this key was used from this address before
	is.True(strings.Contains(ask(t, cy, "teams"), "too many failed keys")) // a valid key that was not
	clock.Advance(time.Second)
	is.True(strings.Contains(ask(t, cy, "teams"), "NAME"))
}

// A request ID names the daemon that received the request. Other daemons forward the
// query there. If that daemon is gone, its records are lost, and the operator is told so
// instead of "not found".
func TestWhyIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	one, two := startDaemon(t, "d1", configs, clock, nil), startDaemon(t, "d2", configs, clock, nil)
	one.peers.list = append(one.peers.list, two.peers.list...)
	two.peers.list = one.peers.list
	two.ring.Keep(&fireflypath.Record{ID: "d2.X", Team: "traders", State: "answered"})
	c := newClient(one.addr)
	is.True(strings.HasPrefix(ask(t, c, "why d2.X"), "request d2.X of team traders"))
	is.True(strings.Contains(ask(t, c, "why d2.Y"), "made room for newer ones"))
	is.Equal(ask(t, c, "why d7.X"), "daemon d7 is gone or not known, and its records with it; the refusal that the caller got says why")
	// Two daemons that each consider the other responsible must not forward forever.
	one.peers.list = append(one.peers.list, fireflypath.Member{Name: "d3", OperatorAddr: two.addr})
	is.True(strings.Contains(ask(t, c, "why d3.X"), "daemon d3 is gone"))
}

// Each daemon keeps the records of its own requests. A count over all daemons must name
// the daemons that could not be reached, because it is incomplete without them.
func TestEachMergesCountsAndReportsMissingDaemons(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	one, two := startDaemon(t, "d1", configs, clock, nil), startDaemon(t, "d2", configs, clock, nil)
	one.peers.list = append(one.peers.list, two.peers.list...)
	for i, ring := range []*record.Ring{one.ring, two.ring, two.ring} {
		ring.Keep(&fireflypath.Record{ID: fmt.Sprint("d.", i), Tier: "gold", State: "answered"})
	}
	two.ring.Keep(&fireflypath.Record{ID: "d2.b", Tier: "bronze", State: "shed"})
	c := newClient(one.addr)
	show := func(text string) string {
		a, err := c.QueryAll(text)
		is.NoErr(err)
		var b strings.Builder
		is.NoErr(a.Sections[0].Table.Write(&b))
		return strings.Join(strings.Fields(b.String()), " ")
	}
	is.Equal(show("count requests by tier"), "TIER COUNT bronze 1 gold 3")
	is.Equal(show("count requests where state = answered"), "COUNT 3")
	is.True(strings.HasPrefix(show("p50 requests of tokens by tier"), "DAEMON TIER COUNT P50 d1 gold 1 0 d2 bronze 1 0 d2 gold 2 0"))
	one.peers.list = append(one.peers.list, fireflypath.Member{Name: "d3", OperatorAddr: "127.0.0.1:1"})
	is.True(strings.Contains(show("count requests"), "COUNT 4 # daemon d3 is missing: call http://127.0.0.1:1"))
	_, err := c.QueryAll("why d1.X")
	is.True(err != nil)
}

// A new fleet has no operators and its listener is open to the network. The first
// operator can only be created from the daemon's own host. Otherwise anyone on the
// network could take over the fleet.
func TestFirstOperatorIsCreatedLocally(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for name, tc := range map[string]struct {
		from, to net.IP
		status   int
	}{
		"loopback":     {net.IPv4(127, 0, 0, 1), net.IPv4(127, 0, 0, 1), fiber.StatusOK},
		"own address":  {net.IPv4(10, 0, 0, 7), net.IPv4(10, 0, 0, 7), fiber.StatusOK},
		"another host": {net.IPv4(10, 0, 0, 8), net.IPv4(10, 0, 0, 7), fiber.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			app := fiber.New()
			newAPI("d1", newConfigs(clock), clock, nil, &testDaemon{ring: record.New(0), peers: &fakeMembers{}, held: &fakeQuarantine{}}).Register(app)
			var c fasthttp.RequestCtx
			c.Init2(&fakeConn{from: tc.from, to: tc.to}, nil, false)
			c.Request.SetRequestURI(wire.PathAsk)
			c.Request.Header.SetMethod(fiber.MethodPost)
			c.Request.SetBodyString(`{"words":"tiers"}`)
			app.Handler()(&c)
			is.Equal(c.Response.StatusCode(), tc.status)
		})
	}
}

// fakeConn is a connection that only has addresses.
type fakeConn struct {
	net.Conn
	from, to net.IP
}

func (a *fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: a.from, Port: 1} }
func (a *fakeConn) LocalAddr() net.Addr  { return &net.TCPAddr{IP: a.to, Port: 2} }

// An operator repeats a command by its ID after two days. The part of the audit trail that
// is searched for repeated IDs no longer contains it, so the command must be refused or it
// would be executed twice.
func TestRepeatWithIDOlderThanTrailIsRefused(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	configs := newConfigs(clock)
	c := newClient(startDaemon(t, "d1", configs, clock, nil).addr)
	oldID := ulid.MustNew(ulid.Timestamp(clock.Now().Add(-48*time.Hour)), ulid.DefaultEntropy()).String()
	is.Equal(c.Execute(wire.CommandRequest{ID: oldID, Text: setupCommands}).Outcome, wire.OutcomeDone)
	for i := range eval.SettleSearchLines {
		is.NoErr(configs.AppendAudit(t.Context(), fireflypath.AuditLine{ID: fmt.Sprint("n", i), At: clock.Now()}))
	}
	result := c.Execute(wire.CommandRequest{ID: oldID, Text: setupCommands})
	is.Equal(result.Outcome, wire.OutcomeRefused)
	is.True(strings.Contains(result.Detail, "older than the trail"))
	is.Equal(configs.Current().Generation, uint64(2))
}

// An operator releases a held request, which is then no longer held.
func TestHeldRequestIsReleased(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	configs := newConfigs(clock)
	c := newClient(startDaemon(t, "d1", configs, clock, nil).addr)
	rows, err := c.HeldRequests()
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.True(c.Release("no digest") != nil)
	is.True(c.Release(digest.Digest(1).String()) != nil)
	is.NoErr(c.Release(rows[0].Digest))
	is.True(errors.Is(c.Release(rows[0].Digest), client.ErrRefused)) // it is not held any more
	rows, err = c.HeldRequests()
	is.NoErr(err)
	is.Equal(len(rows), 0)
}
