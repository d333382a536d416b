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

// daemon is one daemon's operators' endpoints on a free port.
type daemon struct {
	addr  string
	ring  *record.Ring
	peers *members
	held  *held
}

// held is a quarantine with one request in it, until that is released.
type held struct{ released atomic.Bool }

const heldDigest = digest.Digest(0xab)

func (h *held) List() []quarantine.Row {
	if h.released.Load() {
		return nil
	}
	return []quarantine.Row{{Digest: heldDigest.String(), State: "held", Targets: 3}}
}

func (h *held) Release(d digest.Digest) bool {
	return d == heldDigest && h.released.CompareAndSwap(false, true)
}

type members struct{ list []fireflypath.Member }

func (m *members) Live() []fireflypath.Member { return m.list }

// orders takes orders and answers with err.
type orders struct {
	taken []fireflypath.Order
	err   error
}

func (o *orders) Order(_ context.Context, order fireflypath.Order) error {
	o.taken = append(o.taken, order)
	return o.err
}

func start(t *testing.T, name string, l *testkit.Ledger, clock clockwork.Clock, o fireflypath.Orderer) daemon {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := daemon{addr: ln.Addr().String(), ring: record.New(1 << 20), peers: &members{}, held: &held{}}
	d.peers.list = []fireflypath.Member{{Name: name, Operator: d.addr}}
	app := fiber.New()
	newAPI(name, l, clock, o, &d).Register(app)
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

func newAPI(name string, l *testkit.Ledger, clock clockwork.Clock, o fireflypath.Orderer, d *daemon) *operator.API {
	return operator.New(operator.Deps{
		Sources: eval.Sources{
			Name: name, Configs: l, Committer: l, Members: d.peers, Recorder: d.ring, Clock: clock,
			Views:   func() []fireflypath.TargetView { return nil },
			Demands: func() []fireflypath.Demand { return nil },
		},
		Orderer: o, Forwarder: forward.New(nil), Scope: tally.NoopScope, Quarantine: d.held,
	})
}

func newLedger(clock clockwork.Clock) *testkit.Ledger {
	return testkit.NewLedger(&fireflypath.Config{Generation: 1}, clock.Now)
}

func do(c *client.Client, text string) wire.CommandResult {
	return c.Do(wire.CommandRequest{ID: ulid.Make().String(), Text: text})
}

func ask(t *testing.T, c *client.Client, text string) string {
	t.Helper()
	a, err := c.Ask(text)
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

func dial(addrs ...string) *client.Client {
	return client.New(client.Options{Addrs: addrs})
}

const pool = "set tier gold rank 0; set pool chat models m; set target e1 pool chat addr 127.0.0.1:9001 domain a"

func TestDoAndTrail(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	c := dial(start(t, "d1", l, clock, nil).addr)
	done := do(c, pool)
	is.Equal(done.Outcome, wire.OutcomeDone)
	is.Equal(done.Generation, uint64(2))
	again := c.Do(wire.CommandRequest{ID: done.ID, Text: pool})
	is.True(again.Repeated)
	is.Equal(l.Current().Generation, uint64(2)) // nothing was done twice
	other := c.Do(wire.CommandRequest{ID: done.ID, Text: "drain target e1"})
	is.Equal(other.Outcome, wire.OutcomeRefused) // the id is another command's
	is.True(strings.Contains(other.Detail, pool))
	is.Equal(ask(t, c, "settle "+done.ID), "done: in force from generation 2")

	refused := do(c, "set tier silver rank 0; set team t tiers nope")
	is.Equal(refused.Outcome, wire.OutcomeRefused)
	is.Equal(len(refused.Problems), 2)
	is.True(strings.HasPrefix(ask(t, c, "settle "+refused.ID), "not done: refused: tier silver has rank 0"))
	is.True(strings.Contains(ask(t, c, "changes where result ~ refused"), refused.ID+"/refused"))

	bad := do(c, "set tear gold")
	is.Equal(bad.Outcome, wire.OutcomeInvalid)
	is.Equal(bad.Syntax.Column, 5)
	is.Equal(bad.Syntax.Expected, []string{"tier", "team", "pool", "target", "rule", "operator"})

	planned := do(c, "plan drain target e1")
	is.Equal(planned.Plan.Lines, []string{"~ target e1 drained false -> true"})
	is.Equal(len(planned.Plan.Breaks), 1)
	is.True(!l.Current().Targets[0].Drained)
}

// Two operators read generation 2 and each writes a change against it. Only one
// can be in force; the other reads by whose change it was overtaken, and both
// stand in the trail.
func TestConflictingChanges(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	one, two := dial(start(t, "d1", l, clock, nil).addr), dial(start(t, "d2", l, clock, nil).addr)
	do(one, pool)
	results := make(chan wire.CommandResult, 2)
	go func() { results <- do(one, "at 2 set pool chat models m,n") }()
	go func() { results <- do(two, "at 2 set pool chat models m,o") }()
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

// A change takes effect and the service's answer is lost, and so for each
// repetition by the client until the service answers again. The operator must
// not read that nothing was done.
func TestLostAnswerIsUnknownThenSettled(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	c := dial(start(t, "d1", l, clock, nil).addr)
	unknown := fireflypath.ErrUnknown
	l.After.Store(&unknown)
	l.Down(fireflypath.ErrUnavailable, 1) // from the second call on
	done := do(c, pool)
	is.Equal(done.Outcome, wire.OutcomeUnknown)
	is.True(strings.Contains(ask(t, c, "settle "+done.ID), "cannot be read now"))
	l.Up()
	is.Equal(ask(t, c, "settle "+done.ID), "done: in force from generation 2")
}

// The platform's service is down. A command says that nothing was changed, and
// questions that the daemon can answer from memory are answered.
func TestServiceDown(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	c := dial(start(t, "d1", l, clock, nil).addr)
	do(c, pool)
	l.Down(fireflypath.ErrUnavailable, 0)
	done := do(c, "drain target e1")
	is.Equal(done.Outcome, wire.OutcomeUnavailable)
	is.True(strings.Contains(done.Detail, "nothing was changed"))
	is.True(strings.Contains(ask(t, c, "targets"), "e1"))
	l.Up()
	is.True(strings.HasPrefix(ask(t, c, "settle "+done.ID), "not done"))
}

// Nobody listens at the first address: the command goes to the next one. With
// no daemon at all nothing was sent, and that is what the operator reads.
func TestUnreachedDaemons(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	gone := ln.Addr().String()
	is.Equal(do(dial(gone, start(t, "d1", l, clock, nil).addr), pool).Outcome, wire.OutcomeDone)
	is.Equal(do(dial(gone), pool).Outcome, wire.OutcomeUnavailable)
	_, err = dial(gone).Ask("teams")
	is.True(errors.Is(err, client.ErrUnreached))
}

// A daemon takes the command and dies before it answers. The command may have
// been done, so the client must not say that it was not.
func TestConnectionCutIsUnknown(t *testing.T) {
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
	is.Equal(do(dial(ln.Addr().String()), pool).Outcome, wire.OutcomeUnknown)
}

func TestOrders(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	o := &orders{}
	c := dial(start(t, "d1", l, clock, o).addr)
	do(c, pool)
	done := do(c, "load target e1 model m")
	is.Equal(done.Outcome, wire.OutcomeDone)
	is.Equal(o.taken, []fireflypath.Order{{ID: done.ID, Kind: fireflypath.OrderLoad, Target: "e1", Value: "m"}})
	is.Equal(ask(t, c, "settle "+done.ID), "ordered: done")

	o.err = fireflypath.ErrUnknown
	unknown := do(c, "role target e1 prefill")
	is.Equal(unknown.Outcome, wire.OutcomeUnknown)
	is.True(strings.HasPrefix(ask(t, c, "settle "+unknown.ID), "ordered: unknown"))
	is.Equal(do(c, "role target e9 prefill").Outcome, wire.OutcomeRefused)

	// Without a line in the trail no order is sent.
	n := len(o.taken)
	l.Down(fireflypath.ErrUnavailable, 0)
	is.Equal(do(c, "load target e1 model m").Outcome, wire.OutcomeUnavailable)
	is.Equal(len(o.taken), n)
}

func TestRolesAndFailedKeys(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	addr := start(t, "d1", l, clock, &orders{}).addr
	askKey, askHash := keys.Generate()
	key, hash := keys.Generate()
	cyKey, cyHash := keys.Generate()
	is.Equal(do(dial(addr), pool+"; set operator bo role ask; key operator bo hash "+askHash+
		"; set operator cy; key operator cy hash "+cyHash+
		"; set operator ana role change; key operator ana hash "+hash).Outcome, wire.OutcomeDone)

	ana := client.New(client.Options{Addrs: []string{addr}, Key: key})
	bo := client.New(client.Options{Addrs: []string{addr}, Key: askKey})
	cy := client.New(client.Options{Addrs: []string{addr}, Key: cyKey})
	is.Equal(do(ana, "drain target e1").Outcome, wire.OutcomeDone)
	is.Equal(do(ana, "load target e1 model m").Outcome, wire.OutcomeRefused)
	is.Equal(do(bo, "restore target e1").Outcome, wire.OutcomeRefused)
	is.Equal(do(bo, "plan restore target e1").Outcome, wire.OutcomePlanned)
	is.True(strings.Contains(ask(t, bo, "changes where who = bo"), "operator bo has the role ask; this needs change"))
	is.True(errors.Is(bo.Release(heldDigest.String()), client.ErrRefused))
	rows, err := bo.Held()
	is.NoErr(err)
	is.Equal(len(rows), 1) // looking is allowed

	guess := client.New(client.Options{Addrs: []string{addr}, Key: "fp_guess"})
	for range 3 {
		is.Equal(ask(t, guess, "teams"), "the operator's key is missing, unknown or ended")
	}
	is.True(strings.Contains(ask(t, guess, "teams"), "too many failed keys"))
	_, err = guess.Held()
	is.True(err != nil)
	is.True(strings.Contains(ask(t, bo, "teams"), "NAME"))                 // known at this address
	is.True(strings.Contains(ask(t, cy, "teams"), "too many failed keys")) // a right key that is not
	clock.Advance(time.Second)
	is.True(strings.Contains(ask(t, cy, "teams"), "NAME"))
}

// The id of a request names the daemon that took it. Any other daemon passes
// the question on; when that host is gone, so is its memory, and the operator
// reads that instead of "not found".
func TestWhyAtAnotherDaemon(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	one, two := start(t, "d1", l, clock, nil), start(t, "d2", l, clock, nil)
	one.peers.list = append(one.peers.list, two.peers.list...)
	two.peers.list = one.peers.list
	two.ring.Keep(&fireflypath.Record{ID: "d2.X", Team: "traders", State: "answered"})
	c := dial(one.addr)
	is.True(strings.HasPrefix(ask(t, c, "why d2.X"), "request d2.X of team traders"))
	is.True(strings.Contains(ask(t, c, "why d2.Y"), "made room for newer ones"))
	is.Equal(ask(t, c, "why d7.X"), "daemon d7 is gone or not known, and its records with it; the refusal that the caller got says why")
	// Two daemons under one another's name would pass it on for ever.
	one.peers.list = append(one.peers.list, fireflypath.Member{Name: "d3", Operator: two.addr})
	is.True(strings.Contains(ask(t, c, "why d3.X"), "daemon d3 is gone"))
}

// Each daemon keeps the records of its own requests. A count over all of them
// must not pass for the whole when one daemon cannot be asked.
func TestEachAddsUpAndNamesTheMissing(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	one, two := start(t, "d1", l, clock, nil), start(t, "d2", l, clock, nil)
	one.peers.list = append(one.peers.list, two.peers.list...)
	for i, ring := range []*record.Ring{one.ring, two.ring, two.ring} {
		ring.Keep(&fireflypath.Record{ID: fmt.Sprint("d.", i), Tier: "gold", State: "answered"})
	}
	two.ring.Keep(&fireflypath.Record{ID: "d2.b", Tier: "bronze", State: "shed"})
	c := dial(one.addr)
	show := func(text string) string {
		a, err := c.Each(text)
		is.NoErr(err)
		var b strings.Builder
		is.NoErr(a.Sections[0].Table.Write(&b))
		return strings.Join(strings.Fields(b.String()), " ")
	}
	is.Equal(show("count requests by tier"), "TIER COUNT bronze 1 gold 3")
	is.Equal(show("count requests where state = answered"), "COUNT 3")
	is.True(strings.HasPrefix(show("p50 requests of tokens by tier"), "DAEMON TIER COUNT P50 d1 gold 1 0 d2 bronze 1 0 d2 gold 2 0"))
	one.peers.list = append(one.peers.list, fireflypath.Member{Name: "d3", Operator: "127.0.0.1:1"})
	is.True(strings.Contains(show("count requests"), "COUNT 4 # daemon d3 is missing: call http://127.0.0.1:1"))
	_, err := c.Each("why d1.X")
	is.True(err != nil)
}

// A new system has no operator, and its listener is open to the network. The
// first operator is created from the host itself; from anywhere else whoever
// came first would own the system.
func TestFirstOperatorComesFromTheHost(t *testing.T) {
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
			newAPI("d1", newLedger(clock), clock, nil, &daemon{ring: record.New(0), peers: &members{}, held: &held{}}).Register(app)
			var c fasthttp.RequestCtx
			c.Init2(&addrs{from: tc.from, to: tc.to}, nil, false)
			c.Request.SetRequestURI(wire.PathAsk)
			c.Request.Header.SetMethod(fiber.MethodPost)
			c.Request.SetBodyString(`{"words":"tiers"}`)
			app.Handler()(&c)
			is.Equal(c.Response.StatusCode(), tc.status)
		})
	}
}

// addrs is a connection of which only the ends are asked.
type addrs struct {
	net.Conn
	from, to net.IP
}

func (a *addrs) RemoteAddr() net.Addr { return &net.TCPAddr{IP: a.from, Port: 1} }
func (a *addrs) LocalAddr() net.Addr  { return &net.TCPAddr{IP: a.to, Port: 2} }

// An operator repeats a command by its id after days. The trail that is looked
// through no longer reaches back to it, so that it would be done a second time.
func TestOldIDIsNotRepeated(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	l := newLedger(clock)
	c := dial(start(t, "d1", l, clock, nil).addr)
	old := ulid.MustNew(ulid.Timestamp(clock.Now().Add(-48*time.Hour)), ulid.DefaultEntropy()).String()
	is.Equal(c.Do(wire.CommandRequest{ID: old, Text: pool}).Outcome, wire.OutcomeDone)
	for i := range eval.SettleLines {
		is.NoErr(l.AppendAudit(t.Context(), fireflypath.AuditLine{ID: fmt.Sprint("n", i), At: clock.Now()}))
	}
	done := c.Do(wire.CommandRequest{ID: old, Text: pool})
	is.Equal(done.Outcome, wire.OutcomeRefused)
	is.True(strings.Contains(done.Detail, "older than the trail"))
	is.Equal(l.Current().Generation, uint64(2))
}

// An operator has mended what a request ran into, and lets it run again.
func TestHeldRequestIsReleased(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLedger(clock)
	c := dial(start(t, "d1", l, clock, nil).addr)
	rows, err := c.Held()
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.True(c.Release("no digest") != nil)
	is.True(c.Release(digest.Digest(1).String()) != nil)
	is.NoErr(c.Release(rows[0].Digest))
	is.True(errors.Is(c.Release(rows[0].Digest), client.ErrRefused)) // it is not held any more
	rows, err = c.Held()
	is.NoErr(err)
	is.Equal(len(rows), 0)
}
