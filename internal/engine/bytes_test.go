package engine_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/engine"
	stand "github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/loopback"
)

// counted passes connections on to an address and counts the bytes.
type counted struct {
	out, in atomic.Int64
}

func (n *counted) serve(ln net.Listener, to string) {
	pass := func(dst, src net.Conn, count *atomic.Int64) {
		defer dst.Close()
		buf := make([]byte, 4096)
		for {
			k, err := src.Read(buf)
			count.Add(int64(k))
			if err != nil {
				return
			}
			if _, err = dst.Write(buf[:k]); err != nil {
				return
			}
		}
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		d, err := net.Dial("tcp", to)
		if err != nil {
			_ = c.Close()
			return
		}
		go pass(d, c, &n.out)
		go pass(c, d, &n.in)
	}
}

// BenchmarkBytes counts what polls of an idle engine send and receive on the
// connection, above TCP, with every fourth list of cache events.
func BenchmarkBytes(b *testing.B) {
	is := is.New(b)
	e, err := stand.New(stand.Config{Addr: loopback.ListenAddr()}, clockwork.NewRealClock())
	is.NoErr(err)
	defer e.Close()
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	is.NoErr(err)
	defer ln.Close()
	var n counted
	go n.serve(ln, e.Addr())
	w := engine.New(clockwork.NewRealClock(), 0, 1<<10)
	defer w.Close()
	target := fireflypath.Target{Name: "e", Addr: ln.Addr().String()}
	for b.Loop() {
		_, err := w.Poll(b.Context(), target)
		is.NoErr(err)
	}
	b.ReportMetric(float64(n.out.Load())/float64(b.N), "sent-B/poll")
	b.ReportMetric(float64(n.in.Load())/float64(b.N), "received-B/poll")
}
