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

// trustAge is how long certificates read from files are used before the files
// are read again. Handshakes are rare, and a stranger cannot cause more reads.
const trustAge = time.Second

// Certificates holds the certificates between daemons. They are read again when a
// handshake finds them older than a second, so that an operator replaces the
// files without a restart; unreadable files leave the last good ones in use.
type Certificates struct {
	files  settings.TLS
	clock  clockwork.Clock
	failed tally.Counter

	mu   sync.Mutex
	read time.Time
	cert *tls.Certificate
	pool *x509.CertPool
}

// LoadCertificates reads the files once, so that a daemon does not start with bad ones.
func LoadCertificates(files settings.TLS, clock clockwork.Clock, scope tally.Scope) (*Certificates, error) {
	t := &Certificates{files: files, clock: clock, failed: scope.SubScope("peer").Counter("reload_failed")}
	return t, t.load()
}

func (t *Certificates) load() error {
	cert, err := tls.LoadX509KeyPair(t.files.Cert, t.files.Key)
	if err != nil {
		return errors.Wrapf(err, "read the peers' certificate %s", t.files.Cert)
	}
	pem, err := os.ReadFile(t.files.CA)
	if err != nil {
		return errors.Wrapf(err, "read the peers' authority %s", t.files.CA)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("no certificate in the peers' authority %s", t.files.CA)
	}
	t.cert, t.pool, t.read = &cert, pool, t.clock.Now()
	return nil
}

// current gives the certificates, reading the files again if they are old.
func (t *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clock.Since(t.read) >= trustAge {
		if err := t.load(); err != nil {
			t.failed.Inc(1)
			t.read = t.clock.Now()
		}
	}
	return t.cert, t.pool
}

// verify checks the other side's chain against the operator's authority. Names
// are not compared: daemons are addressed by IP numbers that come and go.
func (t *Certificates) verify(cs tls.ConnectionState) error {
	_, pool := t.current()
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer shows no certificate")
	}
	opts := x509.VerifyOptions{
		Roots: pool, Intermediates: x509.NewCertPool(),
		CurrentTime: t.clock.Now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return errors.Wrap(err, "peer's certificate")
}

// config serves both sides. Sessions are not resumed, so that a certificate
// that was replaced or has expired is seen at the next connection.
func (t *Certificates) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // verify replaces it: the chain is checked, names are not
		VerifyConnection:       t.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := t.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := t.current()
			return cert, nil
		},
	}
}
