// Package certificate serves a TLS certificate that is replaced without a restart.
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

// look is the least time between two looks at the files: renewals come days
// before the old certificate's end, and a look costs two system calls.
const look = 10 * time.Second

// Certificate is a key pair in two PEM files. A handshake takes the newest pair
// that could be read; a half-written or broken pair is logged and the one
// before it stays in use, because a daemon that refuses every caller over a
// file in the middle of a copy would cost more than a late renewal.
type Certificate struct {
	certFile, keyFile string
	clock             clockwork.Clock
	log               *zap.Logger
	pair              atomic.Pointer[tls.Certificate]
	// next is the time of the next look, in Unix nanoseconds.
	next atomic.Int64
	seen atomic.Pointer[stamp]
}

// stamp tells whether the files changed.
type stamp struct {
	cert, key time.Time
}

// New reads the pair; it fails if there is none to begin with.
func New(certFile, keyFile string, clock clockwork.Clock, log *zap.Logger) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, clock: clock, log: log}
	s, err := c.stat()
	if err != nil {
		return nil, err
	}
	if err := c.load(s); err != nil {
		return nil, err
	}
	c.next.Store(clock.Now().Add(look).UnixNano())
	return c, nil
}

// TLSConfig is for a listener; later pairs are served without a new one.
func (c *Certificate) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
}

func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	now, next := c.clock.Now(), c.next.Load()
	if now.UnixNano() >= next && c.next.CompareAndSwap(next, now.Add(look).UnixNano()) {
		c.reload()
	}
	return c.pair.Load(), nil
}

// reload runs in the one handshake that won the look.
func (c *Certificate) reload() {
	s, err := c.stat()
	if err == nil && *s == *c.seen.Load() {
		return
	}
	if err == nil {
		err = c.load(s)
	}
	if err != nil {
		c.log.Warn("certificate is kept, the new one cannot be read", zap.String("file", c.certFile), zap.Error(err))
		return
	}
	c.log.Info("certificate replaced", zap.String("file", c.certFile))
}

func (c *Certificate) stat() (*stamp, error) {
	cert, err := os.Stat(c.certFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate")
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate's key")
	}
	return &stamp{cert: cert.ModTime(), key: key.ModTime()}, nil
}

func (c *Certificate) load(s *stamp) error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s", c.certFile)
	}
	c.pair.Store(&pair)
	c.seen.Store(s)
	return nil
}
