package daemon_test

import (
	"crypto/x509"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/client"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// The operator endpoint's certificate is renewed while the daemon runs. A new client that trusts only
// the new certificate must be able to connect, and a client without TLS must not.
func TestOperatorsOverTLS(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	cert, key := testkit.WriteKeyPair(t, dir, 1)
	cfg := testkit.Settings(testkit.Config(nil, nil))
	cfg.Listen.Operators = "127.0.0.1:0"
	cfg.Listen.OperatorsTLS = &settings.TLS{Cert: cert, Key: key, CA: cert}
	cfg.Listen.CallersTLS = &settings.TLS{Cert: cert, Key: key}
	clock := clockwork.NewFakeClock()
	d, err := daemon.New(cfg, daemon.Deps{Clock: clock})
	is.NoErr(err)
	is.NoErr(d.Start(t.Context()))
	t.Cleanup(d.Kill)

	is.NoErr(ask(t, "https://"+d.OperatorAddr(), cert))
	is.True(ask(t, "http://"+d.OperatorAddr(), cert) != nil)
	testkit.WriteKeyPair(t, dir, 2)
	is.True(ask(t, "https://"+d.OperatorAddr(), cert) != nil) // the old certificate is still in use
	clock.Advance(10 * time.Second)
	is.NoErr(ask(t, "https://"+d.OperatorAddr(), cert))
}

// ask sends a query with a new client that trusts the certificates in the file.
func ask(t *testing.T, addr, file string) error {
	is := is.New(t)
	pem, err := os.ReadFile(file)
	is.NoErr(err)
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(pem))
	_, err = client.New(client.Options{Addrs: []string{addr}, Roots: roots}).Query("teams")
	return err
}
