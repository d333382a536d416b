package gate_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// Guards against an answer that holds events of two versions of a target's software, because a broken
// stream went on at a target of another one.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for _, c := range []struct {
		versions [2]string
		goesOn   bool
	}{{[2]string{"v1", "v1"}, true}, {[2]string{"v1", "v2"}, false}} {
		t.Run(fmt.Sprint(c.versions), func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, func(cfg *fireflypath.Config) {
				for i := range cfg.Targets {
					cfg.Targets[i].Version = c.versions[i]
				}
			}, func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 1 {
					writeRaw(w, r, http.StatusOK, frameChunked, endCut, eventText(1)+eventText(2))
					return
				}
				from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				for i := from + 1; i <= 4; i++ {
					fmt.Fprint(w, eventText(i))
				}
			})
			got := s.receive("HTTP/1.1", http.MethodPost, "/resume/x")
			if c.goesOn {
				is.Equal(got.body, eventText(1)+eventText(2)+eventText(3)+eventText(4))
				is.Equal(got.ended, endedFramed)
				return
			}
			is.Equal(got.body, eventText(1)+eventText(2))
			is.Equal(got.ended, endedBroken)
			is.Equal(len(s.requests()), 1)
		})
	}
}
