package engine_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/engine"
	fakeengine "github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/loopback"
)

// countingProxy forwards connections to an address and counts the bytes of both directions.
type countingProxy struct {
	sent, received atomic.Int64
}

func (p *countingProxy) serve(ln net.Listener, addr string) {
	forward := func(dst, src net.Conn, count *atomic.Int64) {
		defer dst.Close()
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			count.Add(int64(n))
			if err != nil {
				return
			}
			if _, err = dst.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", addr)
		if err != nil {
			_ = c.Close()
			return
		}
		go forward(upstream, c, &p.sent)
		go forward(c, upstream, &p.received)
	}
}

// BenchmarkBytes reports the bytes, without TCP and IP headers, that a poll of an idle engine
// sends and receives on average. Every fourth poll includes a list of cache events.
func BenchmarkBytes(b *testing.B) {
	is := is.New(b)
	e, err := fakeengine.New(fakeengine.Config{Addr: loopback.ListenAddr()}, clockwork.NewRealClock())
	is.NoErr(err)
	defer e.Close()
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	is.NoErr(err)
	defer ln.Close()
	var proxy countingProxy
	go proxy.serve(ln, e.Addr())
	client := engine.New(clockwork.NewRealClock(), 0, 1<<10)
	defer client.Close()
	target := fireflypath.Target{Name: "e", Addr: ln.Addr().String()}
	for b.Loop() {
		_, err := client.Poll(b.Context(), target)
		is.NoErr(err)
	}
	b.ReportMetric(float64(proxy.sent.Load())/float64(b.N), "sent-B/poll")
	b.ReportMetric(float64(proxy.received.Load())/float64(b.N), "received-B/poll")
}
