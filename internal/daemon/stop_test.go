package daemon_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/pkg/settings"
	"github.com/fireflypath/fireflypath/platform/standin"
)

// A planned stop has finished all requests while the listener for the load balancer's readiness
// checks is still open. If Stop waits for that listener, the process lives until it is killed at the
// end of its grace period, and its host serves callers that much later again.
func TestPlannedStopClosesReadyListener(t *testing.T) {
	is := is.New(t)
	store := httptest.NewServer(standin.New())
	defer store.Close()
	free := loopback.ListenAddr()
	d, err := daemon.New(settings.Settings{
		Name: "entry1", Domain: "a",
		Listen:   settings.Listen{Callers: free, Ready: free, Peers: free, Operators: free},
		Platform: settings.Platform{Addr: store.Listener.Addr().String()},
		Peers:    settings.Peers{AllowPlaintext: true},
		Gate: &settings.Gate{
			RevocationDelay: fireflypath.Duration(5 * time.Second), ActivationDelay: fireflypath.Duration(2 * time.Second),
			TerminationGrace: fireflypath.Duration(30 * time.Millisecond),
			Retries:          settings.RetryBudget{Window: fireflypath.Duration(10 * time.Second)},
		},
	}, daemon.Deps{Clock: clockwork.NewRealClock(), Log: testkit.NewLogs(t).Logger("entry1")})
	is.NoErr(err)
	is.NoErr(d.Start(t.Context()))
	is.NoErr(d.Stop(t.Context())) // hangs if the listener stays open
}
