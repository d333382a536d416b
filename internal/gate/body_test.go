package gate_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// Guards against a burst of large bodies that ends the daemon by its memory: each is within its own
// limit, and all that the daemon carries is lost.
func TestLargeBodiesAreBoundedTogether(t *testing.T) {
	const (
		callers = 80
		size    = 4 << 20
		// maxHeld is how many of them fit into three quarters of testBodyMemory.
		maxHeld = testBodyMemory * 3 / 4 / size
	)
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			decided := make(chan struct{}, callers+1) // one for each request that is refused or reaches a target
			var held atomic.Int32
			s := startSite(t, func(cfg *fireflypath.Config) {
				for i := range cfg.Targets {
					cfg.Targets[i].Slots = callers
				}
			}, func(_ int, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Small") == "" {
					held.Add(1)
					decided <- struct{}{}
					<-release
				}
				io.WriteString(w, "whole")
			})
			send := func() (response, string) {
				r := s.request(t.Context(), "/once/", strings.Repeat("b", size))
				if chunked {
					r.ContentLength = -1
				}
				resp, body, err := s.do(r)
				is.NoErr(err)
				return resp, body
			}
			var wg sync.WaitGroup
			var refused, served atomic.Int32
			for range callers {
				wg.Go(func() {
					resp, body := send()
					if resp.StatusCode == http.StatusOK {
						served.Add(1)
						return
					}
					is.Equal(resp.StatusCode, 503)
					is.True(resp.Header.Get("Retry-After") != "")
					is.True(strings.Contains(body, `"run":"no"`))
					refused.Add(1)
					decided <- struct{}{}
				})
			}
			for range callers {
				<-decided
			}
			r := s.request(t.Context(), "/once/", "small")
			r.Header.Set("Small", "1")
			resp, _, err := s.do(r)
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200) // callers of small requests are served meanwhile
			close(release)
			wg.Wait()
			is.Equal(served.Load(), held.Load()) // what runs goes on
			is.Equal(served.Load()+refused.Load(), int32(callers))
			is.True(served.Load() >= 1 && served.Load() <= maxHeld)
			resp, _ = send()
			is.Equal(resp.StatusCode, 200) // the memory is free again
		})
	}
}
