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

// testTimeout ends a test that hangs; no assertion depends on it.
const testTimeout = 30 * time.Second

// targetStateLog returns a logger that sends a daemon's messages about targets to a channel.
func targetStateLog(to chan<- string, name string) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel)
	return zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "target leaves" || e.Message == "target is back" {
			to <- name + ": " + e.Message
		}
		return nil
	}))
}

// The process of a target is killed. Both daemons must detect it and tell each other, so that both
// stop sending work there, and both must use the target again after it restarts. Otherwise each
// daemon keeps trying on its own, and callers wait for work placed on a dead target.
func TestKilledTargetIsExcludedByAllDaemons(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	e, err := engine.New(engine.Config{Addr: loopback.ListenAddr()}, clock)
	is.NoErr(err)
	addr := e.Addr()
	store := testkit.NewMapStore(clock)
	logged := make(chan string, 64)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for i := range 2 {
		cfg := testkit.Settings(testkit.Config([]string{addr}, nil))
		cfg.Name = fmt.Sprint("d", i)
		cfg.Listen.Peers, cfg.Peers = loopback.ListenAddr(), settings.Peers{AllowPlaintext: true}
		d, err := daemon.New(cfg, daemon.Deps{Store: store, Log: targetStateLog(logged, cfg.Name)})
		is.NoErr(err)
		is.NoErr(d.Start(t.Context()))
		t.Cleanup(d.Kill)
	}
	both := func(message string) {
		var got []string
		for len(got) < 2 {
			select {
			case l := <-logged:
				got = append(got, l)
			case <-ctx.Done():
				t.Fatalf("got only %q, expected %q from both daemons", got, message)
			}
		}
		slices.Sort(got)
		is.Equal(got, []string{"d0: " + message, "d1: " + message})
	}
	is.NoErr(e.Close())
	both("target leaves")
	e, err = engine.New(engine.Config{Addr: addr}, clock)
	is.NoErr(err)
	defer e.Close()
	both("target is back")
}
