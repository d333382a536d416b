package testkit

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/fireflypath/fireflypath/internal/loopback"
)

// endlessBlock is the size in bytes of the blocks that ServeEndless sends.
const endlessBlock = 4 << 10

// ServeEndless serves connections that never end: after the first bytes of a request it sends once, and
// then repeated until the connection is closed. It returns the address.
func ServeEndless(t testing.TB, once, repeated string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	block := []byte(strings.Repeat(repeated, 1+endlessBlock/len(repeated)))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, endlessBlock)); err != nil {
					return
				}
				_, err := io.WriteString(c, once)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return ln.Addr().String()
}
