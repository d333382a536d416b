package daemon_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// patience ends a test that would hang; no verdict depends on it.
const patience = 30 * time.Second

// states passes on what a daemon's log says of targets.
func states(to chan<- string, name string) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel)
	return zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "target leaves" || e.Message == "target is back" {
			to <- name + ": " + e.Message
		}
		return nil
	}))
}

// A target's process is killed. Two daemons see it and tell each other, so both
// stop sending work there; after its start both use it again. Before, each kept
// trying by itself, and callers waited for work placed on a dead target.
func TestKilledTargetIsTakenOutByAll(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	e, err := engine.New(engine.Config{Addr: loopback.ListenAddr()}, clock)
	is.NoErr(err)
	addr := e.Addr()
	store := testkit.NewMapStore(clock)
	heard := make(chan string, 64)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for i := range 2 {
		set := testkit.Settings(testkit.Config([]string{addr}, nil))
		set.Name = fmt.Sprint("d", i)
		set.Listen.Peers, set.Peers = loopback.ListenAddr(), settings.Peers{AllowPlaintext: true}
		d, err := daemon.New(set, daemon.Deps{Store: store, Log: states(heard, set.Name)})
		is.NoErr(err)
		is.NoErr(d.Start(t.Context()))
		t.Cleanup(d.Kill)
	}
	both := func(what string) {
		var got []string
		for len(got) < 2 {
			select {
			case h := <-heard:
				got = append(got, h)
			case <-ctx.Done():
				t.Fatalf("heard only %q of %q", got, what)
			}
		}
		slices.Sort(got)
		is.Equal(got, []string{"d0: " + what, "d1: " + what})
	}
	is.NoErr(e.Close())
	both("target leaves")
	e, err = engine.New(engine.Config{Addr: addr}, clock)
	is.NoErr(err)
	defer e.Close()
	both("target is back")
}
