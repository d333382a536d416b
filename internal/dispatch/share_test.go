package dispatch_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// shareRecorder records the last share that it is given, and for how many daemons it decides.
type shareRecorder struct {
	dispatcher.Scheduler
	last        fireflypath.Share
	represented int
}

func (r *shareRecorder) SetShare(now time.Time, share fireflypath.Share) {
	r.last = share
	r.Scheduler.SetShare(now, share)
}

func (r *shareRecorder) SetRepresented(now time.Time, daemons int) {
	r.represented = daemons
	r.Scheduler.SetRepresented(now, daemons)
}

// startRecorded starts the dispatch of a single daemon, d0, whose scheduler records what it is given.
func startRecorded(t *testing.T, clock clockwork.Clock, boot boottime.Clock) (*node, *shareRecorder) {
	t.Helper()
	r := &shareRecorder{}
	n := &node{name: "d0", methods: map[string]peer.Handler{}}
	n.cluster = &cluster{nodes: map[string]*node{"d0": n}}
	n.dispatch = dispatch.New("d0", n, n, clock, boot, tally.NoopScope, zap.NewNop(), func(p fireflypath.Pool) dispatcher.Scheduler {
		r.Scheduler = slots.New(p, 1, slots.DispatcherTuning())
		return r
	})
	t.Cleanup(n.dispatch.Close)
	return n, r
}

// update sends an update of another daemon and returns the fields of the answer.
func (n *node) update(t *testing.T, daemon, fields string) map[string]any {
	t.Helper()
	answer, err := n.methods["news"](t.Context(), daemon, json.RawMessage(fields))
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(answer)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]any{}
	if err := json.Unmarshal(b, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against brittle targets that fall over because a dispatcher takes itself for the only daemon:
// the share of its pool was set a moment before the pool was known.
func TestShareSetBeforePoolIsUsed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	n, r := startRecorded(t, clock, &testkit.BootClock{Clock: clock})
	n.dispatch.SetShare("p", fireflypath.Share{Default: 1, Senders: 3})
	n.dispatch.Apply(&fireflypath.Config{Pools: []fireflypath.Pool{cfg}})
	is.Equal(r.last.Senders, 3)
}

// leaseTime is a lease that updates of the tests grant.
const leaseTime = 750 * time.Millisecond

// Guards against brittle targets that fall over because a dispatcher uses the part of daemons that it no
// longer hears, or that do not hear it: their updates arrive late, or its host was suspended, which its
// clock does not show.
func TestDispatcherUsesOnlyLeasedParts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	boot := &testkit.BootClock{Clock: clock}
	n, r := startRecorded(t, clock, boot)
	n.dispatch.Apply(&fireflypath.Config{Pools: []fireflypath.Pool{cfg}})
	renew := func(daemon string, received float64, held time.Duration) float64 {
		answer := n.update(t, daemon, fmt.Sprintf(`{"pool":"p","s":1,"rx":%.0f,"lease":%d,"held":%d}`, received, leaseTime.Microseconds(), held.Microseconds()))
		return answer["at"].(float64)
	}
	tick := func() int {
		n.dispatch.UpdatePeers(nil)
		return r.represented
	}
	at := map[string]float64{}
	for _, daemon := range []string{"d1", "d2"} {
		at[daemon] = n.update(t, daemon, `{"pool":"p","s":1,"first":true}`)["at"].(float64)
	}
	is.Equal(tick(), 0) // neither has reported its work
	at["d1"] = renew("d1", at["d1"], 0)
	renew("d2", at["d2"], 300*time.Millisecond)
	is.Equal(tick(), 1) // an earlier dispatcher may use the part of d2
	clock.Advance(400 * time.Millisecond)
	is.Equal(tick(), 2)
	renewed := renew("d1", at["d1"], 0)
	clock.Advance(400 * time.Millisecond)
	renew("d2", at["d2"], 0) // it has received nothing since its first message
	is.Equal(tick(), 0)
	renew("d1", renewed, 0)
	is.Equal(tick(), 1)
	boot.Suspended += leaseTime
	is.Equal(tick(), 0)
}
