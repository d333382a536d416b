package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/certificate"
)

// write puts a self-signed pair with the serial number into the files and sets
// their time, so that the test does not depend on the file system's clock.
func write(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	is.NoErr(err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	age(t, certFile, serial)
	age(t, keyFile, serial)
	return certFile, keyFile
}

func age(t *testing.T, file string, serial int64) {
	t.Helper()
	at := time.Unix(1_000_000+serial, 0)
	is.New(t).NoErr(os.Chtimes(file, at, at))
}

func serial(t *testing.T, cfg *tls.Config) int64 {
	t.Helper()
	is := is.New(t)
	pair, err := cfg.GetCertificate(nil)
	is.NoErr(err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	is.NoErr(err)
	return leaf.SerialNumber.Int64()
}

// A certificate is renewed on a running daemon, and a later renewal is caught
// half written. Callers must get the first renewal without a restart, and must
// not be turned away over the second.
func TestReplaced(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certFile, keyFile := write(t, dir, 1)
	clock := clockwork.NewFakeClock()
	c, err := certificate.New(certFile, keyFile, clock, zap.NewNop())
	is.NoErr(err)
	cfg := c.Config()
	is.Equal(serial(t, cfg), int64(1))
	write(t, dir, 2)
	is.Equal(serial(t, cfg), int64(1)) // not looked again yet
	clock.Advance(10 * time.Second)
	is.Equal(serial(t, cfg), int64(2))

	is.NoErr(os.WriteFile(certFile, []byte("half"), 0o600))
	age(t, certFile, 3)
	clock.Advance(10 * time.Second)
	is.Equal(serial(t, cfg), int64(2))
	write(t, dir, 4)
	clock.Advance(10 * time.Second)
	is.Equal(serial(t, cfg), int64(4))
}

func TestMissing(t *testing.T) {
	_, err := certificate.New("nowhere.pem", "nowhere.key", clockwork.NewFakeClock(), zap.NewNop())
	is.New(t).True(err != nil)
}
