package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath/internal/certificate"
	"github.com/fireflypath/fireflypath/internal/connlimit"
	"github.com/fireflypath/fireflypath/internal/socket"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// bound limits the connections of a listener: how many are open, where 0 means no limit, and how many unread
// bytes each of them holds.
type bound struct {
	connections, receiveBuffer int
}

// listen opens a listener, with TLS if files is not nil.
func (d *Daemon) listen(addr string, files *settings.TLS, b bound) (net.Listener, error) {
	ln, _, err := d.listenLimited(addr, files, b)
	return ln, err
}

// listenLimited is like listen and also returns what limits the connections.
func (d *Daemon) listenLimited(addr string, files *settings.TLS, b bound) (net.Listener, *connlimit.Listener, error) {
	var cfg *tls.Config
	if files != nil {
		cert, err := certificate.New(files.Cert, files.Key, d.deps.Clock, d.deps.Log)
		if err != nil {
			return nil, nil, err
		}
		cfg = cert.TLSConfig()
	}
	ln, err := socket.Listen(addr, b.receiveBuffer)
	if err != nil {
		return nil, nil, err
	}
	var limited *connlimit.Listener
	if b.connections > 0 {
		limited = connlimit.New(ln, b.connections, d.deps.Clock)
		ln = limited
	}
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	return ln, limited, nil
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
