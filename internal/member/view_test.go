package member

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// Heartbeats leave out a view hash that did not change. One of two connections to a peer may
// end with the heartbeat in transit that contains the latest hash. Unless a later heartbeat
// repeats it, the views of the two daemons could differ for good, and an operator would get
// different results from them.
func TestViewHashIsSentOnChangeAndPeriodically(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	newMembership := func(name string) *Membership {
		self := fireflypath.Member{Name: name, Incarnation: 1}
		return New(self, nil, nil, time.Second, clock, tally.NoopScope, zap.NewNop())
	}
	a, b := newMembership("a"), newMembership("b")
	sendHeartbeat := func(arrives bool) uint32 {
		var hb peer.Heartbeat
		a.fillHeartbeat("b", &hb)
		if arrives {
			b.receiveHeartbeat("a", &hb)
		}
		return hb.ViewHash
	}
	hash := a.view.Load().hash
	is.Equal(sendHeartbeat(false), hash) // lost
	for range heartbeatsPerView - 1 {
		is.Equal(sendHeartbeat(true), uint32(0))
	}
	is.Equal(sendHeartbeat(true), hash)
	is.Equal(b.receivedViews["a"], hash)
	is.Equal(sendHeartbeat(true), uint32(0))

	a.mu.Lock()
	a.merge(peer.MemberUpdate{State: peer.Alive, Member: fireflypath.Member{Name: "c", Incarnation: 1}})
	a.publish()
	a.mu.Unlock()
	is.True(a.view.Load().hash != hash)
	is.Equal(sendHeartbeat(true), a.view.Load().hash)
	_, differs := b.differsSince["a"]
	is.True(differs)
	// The last view hash received counts when the own view changes, although the peer does
	// not send it again.
	b.receivedViews["a"] = b.view.Load().hash
	is.Equal(sendHeartbeat(true), uint32(0))
	_, differs = b.differsSince["a"]
	is.True(!differs)
}
