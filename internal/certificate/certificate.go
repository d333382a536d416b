// Package certificate reloads a TLS certificate when its files change, without a restart.
package certificate

import (
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// checkInterval is the minimum time between two checks of the files. Certificates are renewed days
// before they expire, and a check costs two system calls.
const checkInterval = 10 * time.Second

// Certificate is a certificate and its key in two PEM files. Handshakes use the last pair that
// could be loaded. An incomplete or invalid pair is logged and the previous one stays in use: a
// daemon that refused all callers while a file is being copied would be worse than a late renewal.
type Certificate struct {
	certFile, keyFile string
	clock             clockwork.Clock
	log               *zap.Logger
	pair              atomic.Pointer[tls.Certificate]
	// nextCheck is the time of the next check, in Unix nanoseconds.
	nextCheck atomic.Int64
	loaded    atomic.Pointer[modTimes]
}

// modTimes are the modification times of the files, by which changes are detected.
type modTimes struct {
	cert, key time.Time
}

// New loads the pair. It fails if the pair cannot be loaded.
func New(certFile, keyFile string, clock clockwork.Clock, log *zap.Logger) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, clock: clock, log: log}
	s, err := c.stat()
	if err != nil {
		return nil, err
	}
	if err := c.load(s); err != nil {
		return nil, err
	}
	c.nextCheck.Store(clock.Now().Add(checkInterval).UnixNano())
	return c, nil
}

// TLSConfig returns the configuration for a listener. It always serves the current pair.
func (c *Certificate) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.getCertificate}
}

func (c *Certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	now, next := c.clock.Now(), c.nextCheck.Load()
	if now.UnixNano() >= next && c.nextCheck.CompareAndSwap(next, now.Add(checkInterval).UnixNano()) {
		c.reload()
	}
	return c.pair.Load(), nil
}

// reload loads the pair if the files changed. Of the handshakes that find a check due at the same
// time, only one calls it.
func (c *Certificate) reload() {
	s, err := c.stat()
	if err == nil && *s == *c.loaded.Load() {
		return
	}
	if err == nil {
		err = c.load(s)
	}
	if err != nil {
		c.log.Warn("failed to load the new certificate, keeping the previous one", zap.String("file", c.certFile), zap.Error(err))
		return
	}
	c.log.Info("certificate replaced", zap.String("file", c.certFile))
}

func (c *Certificate) stat() (*modTimes, error) {
	cert, err := os.Stat(c.certFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate")
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate's key")
	}
	return &modTimes{cert: cert.ModTime(), key: key.ModTime()}, nil
}

func (c *Certificate) load(s *modTimes) error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s", c.certFile)
	}
	c.pair.Store(&pair)
	c.loaded.Store(s)
	return nil
}
