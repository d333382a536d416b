package main

import (
	"net"
	"net/http"
	"time"

	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/platform/standin"
)

// storeDelay is how long an answer of the store takes.
const storeDelay = 4 * time.Millisecond

// store is the stand-in of the platform's store behind a server.
type store struct {
	*standin.Store
	addr   string
	server *http.Server
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	if err != nil {
		return nil, err
	}
	s := &store{Store: standin.New(), addr: ln.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// serve answers a call.
func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.ServeHTTP(plainWriter{w}, r)
}

// eraHeader is what the stand-in adds to the users' protocol.
const eraHeader = "Store-Era"

// plainWriter leaves out what the users' pages do not have.
type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w plainWriter) WriteHeader(status int) {
	w.Header().Del(eraHeader)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w plainWriter) Write(b []byte) (int, error) {
	w.Header().Del(eraHeader)
	return w.ResponseWriter.Write(b)
}
