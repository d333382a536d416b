package testkit

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// WriteKeyPair writes a self-signed certificate for 127.0.0.1 with the serial
// number, and its private key. The modification times are derived from the serial
// number, so that a higher one always looks newer, whatever the resolution of the
// file system's timestamps.
func WriteKeyPair(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	failOnError(t, err)
	template := x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	failOnError(t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	failOnError(t, err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	WriteFile(t, certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), serial)
	WriteFile(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), serial)
	return certFile, keyFile
}

// WriteFile writes a file with a modification time derived from the serial number.
func WriteFile(t *testing.T, file string, data []byte, serial int64) {
	t.Helper()
	failOnError(t, os.WriteFile(file, data, 0o600))
	at := time.Unix(1_000_000+serial, 0)
	failOnError(t, os.Chtimes(file, at, at))
}

func failOnError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
