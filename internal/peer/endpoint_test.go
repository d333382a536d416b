package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(1000 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.write("ca.pem", "CERTIFICATE", a.sign(a.cert, &key.PublicKey))
	return a
}

func (a *authority) sign(c *x509.Certificate, public *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	p := filepath.Join(a.dir, name)
	if err := os.WriteFile(p, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return p
}

// issue writes a daemon's certificate, in place of an earlier one of that name.
func (a *authority) issue(name string, until time.Time) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Unix(0, 0), NotAfter: until,
	}
	return settings.TLS{
		Cert: a.write(name+".pem", "CERTIFICATE", a.sign(c, &key.PublicKey)),
		Key:  a.write(name+".key", "EC PRIVATE KEY", der),
		CA:   filepath.Join(a.dir, "ca.pem"),
	}
}

// node is an endpoint on the in-memory network.
type node struct {
	*Endpoint
	scope tally.TestScope
	beats chan string
}

func (n *node) count(name string) int64 {
	for _, c := range n.scope.Snapshot().Counters() {
		if c.Name() == "peer."+name {
			return c.Value()
		}
	}
	return 0
}

func start(t *testing.T, nw *testkit.Network, name string, files *settings.TLS) *node {
	n := &node{scope: tally.NewTestScope("", nil), beats: make(chan string, 100)}
	clock := clockwork.NewRealClock()
	var trust *Certificates
	if files != nil {
		var err error
		if trust, err = LoadCertificates(*files, clock, n.scope); err != nil {
			t.Fatal(err)
		}
	}
	self := func() fireflypath.Member { return fireflypath.Member{Name: name, Peer: name + ":1"} }
	n.Endpoint = New(nw.Host(name), trust, self, time.Second, clock, n.scope, zap.NewNop())
	n.AddSink(func(from string, _ *Heartbeat) { n.beats <- from })
	n.Handle("echo", func(_ context.Context, from string, p json.RawMessage) (any, error) {
		return from + " " + string(p), nil
	})
	l, err := nw.Host(name).Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.Serve(l) }()
	t.Cleanup(n.Close)
	return n
}

func member(name string) fireflypath.Member {
	return fireflypath.Member{Name: name, Peer: name + ":1"}
}

func TestCallAndBeat(t *testing.T) {
	a := newAuthority(t)
	for _, secure := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			nw := testkit.NewNetwork()
			var fa, fb *settings.TLS
			if secure {
				ca, cb := a.issue("a", time.Now().Add(time.Hour)), a.issue("b", time.Now().Add(time.Hour))
				fa, fb = &ca, &cb
			}
			na, nb := start(t, nw, "a", fa), start(t, nw, "b", fb)
			defer na.Close()
			defer nb.Close()
			var out string
			is.NoErr(na.Call(t.Context(), member("b"), "echo", 7, &out))
			is.Equal(out, "a 7")
			is.NoErr(nb.Call(t.Context(), member("a"), "echo", 8, &out)) // the same connection serves both
			is.Equal(out, "b 8")
			is.Equal(nb.count("dialed"), int64(0))
			is.Equal(<-nb.beats, "a")
			is.Equal(<-na.beats, "b")
			err := na.Call(t.Context(), member("b"), "unknown", 7, &out)
			is.True(err != nil && !errors.Is(err, ErrUnreachable))
		})
	}
}

// Something that is no daemon of ours connects: without a certificate, with one
// of another authority, with an expired one, or with bytes that are no message.
// Each is cut off and counted, and the endpoint goes on serving.
func TestStrangers(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	frame := func(body string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	tests := []struct {
		name    string
		secure  bool
		files   func() settings.TLS
		send    []byte
		counter string
	}{
		{"plain on tls", true, nil, []byte("GET / HTTP/1.1\r\n\r\n"), "strangers"},
		{"another authority", true, func() settings.TLS { return other.issue("x", time.Now().Add(time.Hour)) }, nil, "strangers"},
		{"expired", true, func() settings.TLS { return a.issue("x", time.Unix(1, 0)) }, nil, "strangers"},
		{"says nothing", false, nil, []byte{}, "strangers"},
		{"oversized", false, nil, []byte{0xff, 0xff, 0xff, 0xff}, "oversized"},
		{"malformed", false, nil, frame(`{"jsonrpc":"2.0",`), "malformed"},
		{"no introduction", false, nil, frame(`{"jsonrpc":"2.0","method":"echo","params":1,"id":1}`), "strangers"},
		{"other protocol", false, nil, frame(`{"jsonrpc":"2.0","method":"hello","params":{"protocol":9},"id":1}`), "strangers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				nw := testkit.NewNetwork()
				var files *settings.TLS
				if tt.secure {
					f := a.issue("b", time.Now().Add(time.Hour))
					files = &f
				}
				nb := start(t, nw, "b", files)
				defer nb.Close()
				c, err := nw.Host("x").Dial(t.Context(), "b:1")
				is.NoErr(err)
				if tt.files != nil {
					f := tt.files()
					cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
					is.NoErr(err)
					tc := tls.Client(c, &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{cert}})
					_ = tc.Handshake()
					c = tc
				} else {
					_, err = c.Write(tt.send)
					is.NoErr(err)
				}
				limit := time.Duration(0) // at once
				if tt.name == "says nothing" {
					limit = helloTimeout
				}
				expectEnd(t, c, limit)
				synctest.Wait()
				is.True(nb.count(tt.counter) > 0)
				is.Equal(len(nb.Connected()), 0)
			})
		})
	}
}

// expectEnd reads until the other side closes, within a limit of virtual time.
func expectEnd(t *testing.T, c net.Conn, limit time.Duration) {
	began := time.Now()
	b := make([]byte, 512)
	for {
		if _, err := c.Read(b); err != nil {
			break
		}
	}
	if time.Since(began) > limit {
		t.Errorf("cut off only after %v", time.Since(began))
	}
	c.Close()
}

// The operator replaces the certificates while the daemons run. New connections
// use the new ones; a broken file leaves the old ones in use.
func TestCertificatesAreReloaded(t *testing.T) {
	a := newAuthority(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nw := testkit.NewNetwork()
		fa, fb := a.issue("a", time.Now().Add(time.Hour)), a.issue("b", time.Now().Add(time.Hour))
		na, nb := start(t, nw, "a", &fa), start(t, nw, "b", &fb)
		defer na.Close()
		defer nb.Close()
		_, err := na.Connect(t.Context(), "b:1")
		is.NoErr(err)
		time.Sleep(2 * time.Hour) // both have expired
		nw.Silence("a", "b")
		nw.Silence("b", "a")
		time.Sleep(5 * time.Second)
		_, err = na.Connect(t.Context(), "b:1")
		is.True(errors.Is(err, ErrUnreachable))
		a.issue("a", time.Now().Add(time.Hour))
		a.issue("b", time.Now().Add(time.Hour))
		time.Sleep(2 * time.Second)
		_, err = na.Connect(t.Context(), "b:1")
		is.NoErr(err)
		is.NoErr(os.WriteFile(fb.Cert, []byte("half"), 0o600))
		time.Sleep(2 * time.Second)
		_, err = na.Connect(t.Context(), "b:1")
		is.NoErr(err)
		is.True(nb.count("reload_failed") > 0)
	})
}

// A peer asks for more at once than it may. The rest is refused as busy, and
// the connection stays usable.
func TestCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nw := testkit.NewNetwork()
		na, nb := start(t, nw, "a", nil), start(t, nw, "b", nil)
		defer na.Close()
		defer nb.Close()
		hold := make(chan struct{})
		nb.methods["hold"] = func(context.Context, string, json.RawMessage) (any, error) {
			<-hold
			return nil, nil
		}
		errs := make(chan error, maxCalls+3)
		for range maxCalls + 3 {
			go func() { errs <- na.Call(t.Context(), member("b"), "hold", 1, nil) }()
		}
		synctest.Wait()
		close(hold)
		refused := 0
		for range maxCalls + 3 {
			if err := <-errs; err != nil {
				is.True(strings.Contains(err.Error(), "too many"))
				refused++
			}
		}
		is.Equal(refused, 3)
		var out string
		is.NoErr(na.Call(t.Context(), member("b"), "echo", 1, &out))
	})
}

// A connection opened for one call to a daemon that is no neighbour must not
// stay open for ever: 370 daemons would otherwise end in a full mesh.
func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nw := testkit.NewNetwork()
		na, nb := start(t, nw, "a", nil), start(t, nw, "b", nil)
		defer na.Close()
		defer nb.Close()
		_, err := na.Connect(t.Context(), "b:1")
		is.NoErr(err)
		time.Sleep(idleAfter - time.Second)
		is.Equal(na.Connected(), []string{"b"})
		time.Sleep(2 * time.Second)
		is.Equal(len(na.Connected())+len(nb.Connected()), 0)
	})
}

// heard takes the beats that have come from a daemon.
func (n *node) heard(from string) int {
	synctest.Wait()
	sum := 0
	for {
		select {
		case name := <-n.beats:
			if name == from {
				sum++
			}
		default:
			return sum
		}
	}
}

// Hundreds of daemons ask one of them what has changed. Each piece of news went out on
// all of its connections at once, so that its callers waited behind thousands of
// messages a second that others brought as well.
func TestNewsGoToNeighboursAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nw := testkit.NewNetwork()
		na, nb, nc := start(t, nw, "a", nil), start(t, nw, "b", nil), start(t, nw, "c", nil)
		for _, n := range []*node{na, nb, nc} {
			defer n.Close()
		}
		for _, addr := range []string{"b:1", "c:1"} {
			_, err := na.Connect(t.Context(), addr)
			is.NoErr(err)
		}
		na.SetNeighbours([]string{"b"})
		time.Sleep(100 * time.Millisecond)
		nb.heard("a")
		nc.heard("a")
		for range 5 {
			na.Flush()
			time.Sleep(2 * flushPause)
		}
		is.Equal(nb.heard("a"), 5)
		is.Equal(nc.heard("a"), 0)
		na.FlushTo([]string{"c"})
		time.Sleep(2 * flushPause)
		is.Equal(nb.heard("a"), 0)
		is.Equal(nc.heard("a"), 1)
	})
}

// A daemon reports to another one, which is no neighbour, several times a second. Each
// hears by that that the other lives: heartbeats beside it would double the messages
// of a daemon to which all others report, and are still due when the reports end.
func TestCallsStandInForHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nw := testkit.NewNetwork()
		na, nb := start(t, nw, "a", nil), start(t, nw, "b", nil)
		defer na.Close()
		defer nb.Close()
		na.SetNeighbours(nil)
		nb.SetNeighbours(nil)
		var out string
		is.NoErr(na.Call(t.Context(), member("b"), "echo", 0, &out))
		na.heard("b")
		nb.heard("a")
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			is.NoErr(na.Call(t.Context(), member("b"), "echo", 1, &out))
		}
		is.Equal(na.heard("b")+nb.heard("a"), 0)
		is.Equal(na.count("dialed"), int64(1))
		time.Sleep(5 * time.Second)
		is.True(na.heard("b") >= 3)
		is.True(nb.heard("a") >= 3)
		is.Equal(na.count("silent")+nb.count("silent"), int64(0))
	})
}
