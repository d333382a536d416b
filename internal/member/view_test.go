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

// Beats leave a view out that did not change. One of two connections to a peer
// ends with the beat under way that told the newest view. The peer must learn
// it from a later beat, or both would see different fleets for good, and an
// operator would read two answers.
func TestViewIsToldWhenItChangesAndNowAndThen(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	start := func(name string) *Membership {
		self := fireflypath.Member{Name: name, Incarnation: 1}
		return New(self, nil, nil, time.Second, clock, tally.NoopScope, zap.NewNop())
	}
	a, b := start("a"), start("b")
	beat := func(arrives bool) uint32 {
		var m peer.Heartbeat
		a.tell("b", &m)
		if arrives {
			b.hear("a", &m)
		}
		return m.ViewHash
	}
	sum := a.view.Load().sum
	is.Equal(beat(false), sum) // lost
	for range viewEvery - 1 {
		is.Equal(beat(true), uint32(0))
	}
	is.Equal(beat(true), sum)
	is.Equal(b.heard["a"], sum)
	is.Equal(beat(true), uint32(0))

	a.mu.Lock()
	a.merge(peer.MemberUpdate{State: peer.Alive, Member: fireflypath.Member{Name: "c", Incarnation: 1}})
	a.publish()
	a.mu.Unlock()
	is.True(a.view.Load().sum != sum)
	is.Equal(beat(true), a.view.Load().sum)
	_, differs := b.differs["a"]
	is.True(differs)
	// A view that is not told again still counts when this daemon's own changes.
	b.heard["a"] = b.view.Load().sum
	is.Equal(beat(true), uint32(0))
	_, differs = b.differs["a"]
	is.True(!differs)
}
