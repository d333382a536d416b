package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath/pkg/settings"
)

// reloadInterval is the minimum time between two reads of the files. Handshakes between
// daemons are rare, and a client that connects over and over cannot cause more reads.
const reloadInterval = time.Second

// Certificates holds the certificate of this daemon and the certificate authority (CA) of
// the fleet. A handshake reads the files again if the last read is older than
// reloadInterval, so that an operator can replace them without a restart. If they cannot be
// read, the previous certificates stay in use.
type Certificates struct {
	files          settings.TLS
	clock          clockwork.Clock
	reloadFailures tally.Counter

	mu     sync.Mutex
	readAt time.Time
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// LoadCertificates reads the files. It returns an error if one is missing or invalid, so
// that a daemon does not start with bad files.
func LoadCertificates(files settings.TLS, clock clockwork.Clock, scope tally.Scope) (*Certificates, error) {
	c := &Certificates{files: files, clock: clock, reloadFailures: scope.SubScope("peer").Counter("reload_failed")}
	return c, c.load()
}

func (c *Certificates) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return errors.Wrapf(err, "read peer certificate %s", c.files.Cert)
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrapf(err, "read peer CA file %s", c.files.CA)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("no certificate in peer CA file %s", c.files.CA)
	}
	c.cert, c.pool, c.readAt = &cert, pool, c.clock.Now()
	return nil
}

// current returns the certificates, after reading the files again if reloadInterval has
// passed.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock.Since(c.readAt) >= reloadInterval {
		if err := c.load(); err != nil {
			c.reloadFailures.Inc(1)
			c.readAt = c.clock.Now()
		}
	}
	return c.cert, c.pool
}

// verify checks the certificate chain of the peer against the CA of the fleet. It does not
// check names, because daemons are addressed by IP addresses that change.
func (c *Certificates) verify(cs tls.ConnectionState) error {
	_, pool := c.current()
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer shows no certificate")
	}
	opts := x509.VerifyOptions{
		Roots: pool, Intermediates: x509.NewCertPool(),
		CurrentTime: c.clock.Now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, cert := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return errors.Wrap(err, "peer's certificate")
}

// config returns the TLS configuration for both clients and servers. Session resumption is
// off, so that each connection checks for replaced and expired certificates.
func (c *Certificates) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // verify checks the chain but not the names
		VerifyConnection:       c.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
	}
}
