package configsync_test

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
	"github.com/fireflypath/fireflypath/internal/configsync"
	"github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// linkRate is 10 Mbit/s, the link of small entry hosts, in bytes per second.
const linkRate = 10e6 / 8

// link carries calls to another daemon and delays responses by their transfer time.
type link struct {
	methods map[string]peer.Handler
	sinks   []peer.Sink
}

func (l *link) Handle(method string, m peer.Handler) { l.methods[method] = m }
func (l *link) AddSink(s peer.Sink)                  { l.sinks = append(l.sinks, s) }
func (l *link) Flush()                               {}

// Call calls a method of the other end.
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
	case <-time.After(time.Duration(float64(len(b)) / linkRate * float64(time.Second))):
	}
	return json.Unmarshal(b, result)
}

// remoteEnd is the other end of a link.
type remoteEnd struct{ *link }

func (r remoteEnd) Handle(method string, m peer.Handler) { r.methods["far "+method] = m }
func (remoteEnd) AddSink(peer.Sink)                      {}

type fleet struct{}

func (fleet) Self() fireflypath.Member { return fireflypath.Member{Name: "near"} }
func (fleet) SetGeneration(uint64)     {}
func (fleet) Live() []fireflypath.Member {
	return []fireflypath.Member{{Name: "far", Generation: 1 << 60}}
}

// configWithTeams returns a configuration with n teams of about 300 bytes each.
func configWithTeams(n int) *fireflypath.Config {
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

// A daemon on a slow link pulls a configuration of 29,000 teams from another one. The
// transfer took longer than the former bound on a whole pull. The daemon gave up near the
// end, started over with the next heartbeat, and refused the callers of these teams.
func TestLargeConfigurationIsPulledOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		log := zap.NewNop()
		store := testkit.NewMapStore(clock)
		remote := configuration.New(store, configWithTeams(29_000), "far", clock, tally.NoopScope, log)
		is.NoErr(remote.Poll(t.Context()))
		local := configuration.New(testkit.NewMapStore(clock), nil, "near", clock, tally.NoopScope, log)

		l := &link{methods: map[string]peer.Handler{}}
		configsync.New(remote, fleet{}, remoteEnd{l}, log)
		d := configsync.New(local, fleet{}, l, log)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = d.Run(ctx) }()
		start := time.Now()
		// A change must be in force everywhere within 16 s. Heartbeats arrive each second.
		for local.Generation() != remote.Generation() && time.Since(start) < 16*time.Second {
			l.sinks[0]("far", &peer.Heartbeat{Generation: remote.Generation()})
			time.Sleep(time.Second)
		}
		is.Equal(local.Generation(), remote.Generation())
		is.Equal(len(local.Current().Teams), 29_000)
		cancel()
		synctest.Wait()
	})
}
