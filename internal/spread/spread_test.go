package spread_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/spread"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// slowLink is 10 Mbit/s, what small entry hosts have, in bytes a second.
const slowLink = 10e6 / 8

// link carries calls to another daemon and takes the time that the answers need.
type link struct {
	methods map[string]peer.Method
	sinks   []peer.Sink
}

func (l *link) Handle(method string, m peer.Method) { l.methods[method] = m }
func (l *link) AddSink(s peer.Sink)                 { l.sinks = append(l.sinks, s) }
func (l *link) Flush()                              {}

// Call sends back what the other end's methods answer.
func (l *link) Call(ctx context.Context, _ fireflypath.Member, method string, params, result any) error {
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := l.methods["far "+method](ctx, "", b)
	if err != nil {
		return err
	}
	if b, err = json.Marshal(out); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(float64(len(b)) / slowLink * float64(time.Second))):
	}
	return json.Unmarshal(b, result)
}

// far is the other end of a link.
type far struct{ *link }

func (f far) Handle(method string, m peer.Method) { f.methods["far "+method] = m }
func (far) AddSink(peer.Sink)                     {}

type fleet struct{}

func (fleet) Self() fireflypath.Member { return fireflypath.Member{Name: "near"} }
func (fleet) SetGeneration(uint64)     {}
func (fleet) Live() []fireflypath.Member {
	return []fireflypath.Member{{Name: "far", Generation: 1 << 60}}
}

// teams makes a configuration with so many, about 300 bytes each.
func teams(n int) *fireflypath.Config {
	c := &fireflypath.Config{Tiers: []fireflypath.Tier{{Name: "trader"}}}
	for i := range n {
		team := fireflypath.Team{Name: fmt.Sprintf("team-%05d", i), Tiers: []string{"trader"}, Weight: 1}
		for k := range 3 {
			team.Keys = append(team.Keys, fireflypath.Key{Hash: fmt.Sprintf("%064x", 3*i+k)})
		}
		c.Teams = append(c.Teams, team)
	}
	return c
}

// A daemon on a slow link hears that another one has the configuration of 29,000
// teams. All of it takes longer than a daemon gave a peer in all: it gave up near the
// end, began anew with the next heartbeat, and refused the callers of these teams.
func TestLargeConfigurationIsPulledOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		log := zap.NewNop()
		store := testkit.NewMapStore(clock)
		theirs := configuration.New(store, teams(29_000), "far", clock, tally.NoopScope, log)
		is.NoErr(theirs.Follow(t.Context()))
		ours := configuration.New(testkit.NewMapStore(clock), nil, "near", clock, tally.NoopScope, log)

		l := &link{methods: map[string]peer.Method{}}
		spread.New(theirs, fleet{}, far{l}, log)
		s := spread.New(ours, fleet{}, l, log)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		start := time.Now()
		// A change has 16 s to be in force everywhere; heartbeats come each second.
		for ours.Generation() != theirs.Generation() && time.Since(start) < 16*time.Second {
			l.sinks[0]("far", &peer.Beat{Generation: theirs.Generation()})
			time.Sleep(time.Second)
		}
		is.Equal(ours.Generation(), theirs.Generation())
		is.Equal(len(ours.Current().Teams), 29_000)
		cancel()
		synctest.Wait()
	})
}
