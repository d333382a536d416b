package dispatch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/peer"
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
func startRecorded(t *testing.T, clock clockwork.Clock) (*node, *shareRecorder) {
	t.Helper()
	r := &shareRecorder{}
	n := &node{name: "d0", methods: map[string]peer.Handler{}}
	n.cluster = &cluster{nodes: map[string]*node{"d0": n}}
	n.dispatch = dispatch.New("d0", n, n, clock, tally.NoopScope, zap.NewNop(), func(p fireflypath.Pool) dispatcher.Scheduler {
		r.Scheduler = slots.New(p, 1, slots.DispatcherTuning())
		return r
	})
	t.Cleanup(n.dispatch.Close)
	return n, r
}

// Guards against brittle targets that fall over because a dispatcher takes itself for the only daemon:
// the share of its pool was set a moment before the pool was known.
func TestShareSetBeforePoolIsUsed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	n, r := startRecorded(t, clock)
	n.dispatch.SetShare("p", fireflypath.Share{Default: 1, Senders: 3})
	n.dispatch.Apply(&fireflypath.Config{Pools: []fireflypath.Pool{cfg}})
	is.Equal(r.last.Senders, 3)
}
