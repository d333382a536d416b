package certificate_test

import (
	"crypto/tls"
	"crypto/x509"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/certificate"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

func serialNumber(t *testing.T, cfg *tls.Config) int64 {
	t.Helper()
	is := is.New(t)
	pair, err := cfg.GetCertificate(nil)
	is.NoErr(err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	is.NoErr(err)
	return leaf.SerialNumber.Int64()
}

// A renewed certificate must be served without a restart. If a later renewal is read while its
// file is incomplete, the daemon must continue to serve the previous certificate.
func TestCertificateReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certFile, keyFile := testkit.WriteKeyPair(t, dir, 1)
	clock := clockwork.NewFakeClock()
	c, err := certificate.New(certFile, keyFile, clock, zap.NewNop())
	is.NoErr(err)
	cfg := c.TLSConfig()
	is.Equal(serialNumber(t, cfg), int64(1))
	testkit.WriteKeyPair(t, dir, 2)
	is.Equal(serialNumber(t, cfg), int64(1)) // not checked again yet
	clock.Advance(10 * time.Second)
	is.Equal(serialNumber(t, cfg), int64(2))

	testkit.WriteFile(t, certFile, []byte("half"), 3)
	clock.Advance(10 * time.Second)
	is.Equal(serialNumber(t, cfg), int64(2))
	testkit.WriteKeyPair(t, dir, 4)
	clock.Advance(10 * time.Second)
	is.Equal(serialNumber(t, cfg), int64(4))
}

func TestMissingFiles(t *testing.T) {
	_, err := certificate.New("nowhere.pem", "nowhere.key", clockwork.NewFakeClock(), zap.NewNop())
	is.New(t).True(err != nil)
}
