package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/http1"
)

const id = "Request-Id"

// target serves raw bytes: answer is called for each request on a connection.
type target struct {
	ln    net.Listener
	conns atomic.Int32
}

func listen(t *testing.T, answer func(c net.Conn, n int, r *http.Request) bool) *target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tg.conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if !answer(c, n, r) {
						return
					}
				}
			}()
		}
	}()
	return tg
}

func (t *target) addr() string { return t.ln.Addr().String() }

func client() *http1.Client { return http1.New(clockwork.NewRealClock(), id) }

func request(name string) *http1.Request {
	return &http1.Request{ID: name, Method: http.MethodPost, URI: "/a/b?c=%2F", Host: "h", Header: http.Header{id: {name}}, Body: []byte("x"), HasBody: true}
}

func text(t *testing.T, c *http1.Client, addr, name string) (string, error) {
	t.Helper()
	a, err := c.Send(t.Context(), fireflypath.Target{Name: "t", Addr: addr}, request(name))
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

// A connection is used again for the next request, and what was written arrives
// byte by byte as it was.
func TestConnectionIsKept(t *testing.T) {
	is := is.New(t)
	tg := listen(t, func(c net.Conn, _ int, r *http.Request) bool {
		b, _ := io.ReadAll(r.Body)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+": "+r.Header.Get(id)+"\r\nContent-Length: 2\r\n\r\n"+string(b)+"y")
		return r.RequestURI == "/a/b?c=%2F" && r.Host == "h"
	})
	c := client()
	for _, name := range []string{"1", "2", "3"} {
		got, err := text(t, c, tg.addr(), name)
		is.NoErr(err)
		is.Equal(got, "xy")
	}
	is.Equal(tg.conns.Load(), int32(1))
}

// A target sends a second answer to a request, late. It comes where the next
// request's answer is due; the ids tell them apart. Without that a caller would
// get another caller's answer.
func TestLateAnswerOfAnotherRequestIsReadPast(t *testing.T) {
	is := is.New(t)
	tg := listen(t, func(c net.Conn, n int, r *http.Request) bool {
		if n > 0 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+": 1\r\nContent-Length: 3\r\n\r\nold")
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+": "+r.Header.Get(id)+"\r\nContent-Length: 1\r\n\r\n"+r.Header.Get(id))
		return true
	})
	c := client()
	for _, name := range []string{"1", "2"} {
		got, err := text(t, c, tg.addr(), name)
		is.NoErr(err)
		is.Equal(got, name)
	}
}

// Bytes follow a whole answer. The connection must not be used again.
func TestExtraBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	tg := listen(t, func(c net.Conn, _ int, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+": "+r.Header.Get(id)+"\r\nContent-Length: 1\r\n\r\nyHTTP/1.1 200 OK\r\n\r\n")
		return true
	})
	c := client()
	for _, name := range []string{"1", "2"} {
		got, err := text(t, c, tg.addr(), name)
		is.NoErr(err)
		is.Equal(got, "y")
	}
	is.Equal(tg.conns.Load(), int32(2))
}

// An answer ends before its length, or is reset, or is no HTTP. None of them
// may look whole.
func TestBrokenAnswersAreErrors(t *testing.T) {
	is := is.New(t)
	for name, answer := range map[string]string{
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"garbage": "\x00\x01 not http\r\n\r\n",
		"nothing": "",
	} {
		tg := listen(t, func(c net.Conn, _ int, _ *http.Request) bool {
			io.WriteString(c, answer)
			return false
		})
		_, err := text(t, client(), tg.addr(), "1")
		is.True(err != nil) // each is an error
		is.True(!errors.Is(err, fireflypath.ErrUnsent))
		_ = name
	}
}

// A body without a length ends with its connection; a reset is no end.
func TestUnboundedAnswer(t *testing.T) {
	is := is.New(t)
	var reset atomic.Bool
	tg := listen(t, func(c net.Conn, _ int, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nabc")
		if reset.Load() {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	got, err := text(t, client(), tg.addr(), "1")
	is.NoErr(err)
	is.Equal(got, "abc")
	reset.Store(true)
	_, err = text(t, client(), tg.addr(), "1")
	is.True(err != nil)
}

// The target closes an idle connection. The next request goes out on a new one;
// written to the old one, nobody would know whether it ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	tg := listen(t, func(c net.Conn, _ int, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+": "+r.Header.Get(id)+"\r\nContent-Length: 1\r\n\r\ny")
		c.Close()
		closed <- struct{}{}
		return false
	})
	c := client()
	for _, name := range []string{"1", "2"} {
		got, err := text(t, c, tg.addr(), name)
		is.NoErr(err)
		is.Equal(got, "y")
		<-closed
	}
	is.Equal(tg.conns.Load(), int32(2))
}

// The target answers before it has read a long body. The answer comes through,
// and the connection, on which the rest of the body is still due, is closed.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	tg := listen(t, func(c net.Conn, _ int, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 503 Full\r\n"+id+": "+r.Header.Get(id)+"\r\nContent-Length: 1\r\n\r\nn")
		buf := make([]byte, 1)
		_, _ = c.Read(buf)
		return false
	})
	c := client()
	r := request("1")
	r.Body = []byte(strings.Repeat("x", 32<<20))
	a, err := c.Send(t.Context(), fireflypath.Target{Name: "t", Addr: tg.addr()}, r)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusServiceUnavailable)
	a.Close()
	_, err = text(t, c, tg.addr(), "2")
	is.NoErr(err)
	is.Equal(tg.conns.Load(), int32(2))
}

// Nobody listens at the address: no byte left, so the request may go elsewhere.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = client().Send(t.Context(), fireflypath.Target{Name: "t", Addr: addr}, request("1"))
	is.True(errors.Is(err, fireflypath.ErrUnsent))
	is.True(errors.Is(err, fireflypath.ErrUnreachable))
}

// The caller leaves while the target works. The target sees its connection end,
// and can stop.
func TestCallersLeavingReachesTheTarget(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	got := make(chan struct{})
	tg := listen(t, func(c net.Conn, _ int, _ *http.Request) bool {
		close(got)
		buf := make([]byte, 1)
		_, _ = c.Read(buf)
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	_, err := client().Send(ctx, fireflypath.Target{Name: "t", Addr: tg.addr()}, request("1"))
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the target still has its connection")
	}
}

// A target starts again under its name and address, and the end of its old
// connections is not heard of: the host lost its power. A request written to such a
// connection would be lost, with its outcome unknown.
func TestConnectionOfAnEarlierLifeIsNotUsed(t *testing.T) {
	is := is.New(t)
	tg := listen(t, func(c net.Conn, _ int, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+": "+r.Header.Get(id)+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	c := client()
	for i, life := range []uint64{1, 1, 2} {
		a, err := c.Send(t.Context(), fireflypath.Target{Name: "t", Addr: tg.addr(), Incarnation: life}, request(strconv.Itoa(i)))
		is.NoErr(err)
		a.Close()
	}
	is.Equal(tg.conns.Load(), int32(2))
	c.Sweep([]fireflypath.Target{{Name: "t", Addr: tg.addr(), Incarnation: 2}})
	a, err := c.Send(t.Context(), fireflypath.Target{Name: "t", Addr: tg.addr(), Incarnation: 2}, request("4"))
	is.NoErr(err)
	a.Close()
	is.Equal(tg.conns.Load(), int32(2)) // that of the life in force was kept
}
