package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath/internal/certificate"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// listen opens a listener, with TLS if files is not nil.
func (d *Daemon) listen(addr string, files *settings.TLS) (net.Listener, error) {
	var cfg *tls.Config
	if files != nil {
		cert, err := certificate.New(files.Cert, files.Key, d.deps.Clock, d.deps.Log)
		if err != nil {
			return nil, err
		}
		cfg = cert.TLSConfig()
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil || cfg == nil {
		return ln, err
	}
	return tls.NewListener(ln, cfg), nil
}

// clientTLS returns the TLS configuration for calls to the operator endpoints of other daemons. It is
// nil if this daemon's own endpoint does not use TLS, because all daemons are set up alike.
func clientTLS(files *settings.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if files.CA == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read the operators' certificate authority")
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", files.CA)
	}
	return cfg, nil
}
