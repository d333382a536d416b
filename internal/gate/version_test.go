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

// Guards against a stream that two daemons know at two versions, because its first target ended before
// the first event and the request went on at another version: the caller may come back to a daemon that
// has heard of the first one only.
func TestStreamThatHasNotBegunStaysAtItsVersion(t *testing.T) {
	versions := map[string]string{"t1": "v1", "t2": "v2", "t3": "v2", "t4": "v1"}
	for range 10 {
		is := is.New(t)
		s := startSite(t, func(cfg *fireflypath.Config) {
			for _, name := range []string{"t3", "t4"} {
				more := cfg.Targets[len(cfg.Targets)-2]
				more.Name = name
				cfg.Targets = append(cfg.Targets, more)
			}
			for i := range cfg.Targets {
				cfg.Targets[i].Version = versions[cfg.Targets[i].Name]
			}
		}, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeRaw(w, r, http.StatusOK, frameChunked, endCut, eventText(1)[:3])
				return
			}
			fmt.Fprint(w, eventText(1)+eventText(2))
		})
		got := s.receive("HTTP/1.1", http.MethodPost, "/resume/x")
		is.Equal(got.body, eventText(1)+eventText(2))
		sent := s.requests()
		is.Equal(len(sent), 2)
		is.Equal(versions[sent[0].Header.Get("T-Target")], versions[sent[1].Header.Get("T-Target")])
	}
}

// Guards against the same if no other target has the version to which the request was sent first.
func TestStreamThatHasNotBegunNeverChangesVersion(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		for i := range cfg.Targets {
			cfg.Targets[i].Version = fmt.Sprint("v", i)
		}
	}, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			writeRaw(w, r, http.StatusOK, frameChunked, endCut, eventText(1)[:3])
			return
		}
		fmt.Fprint(w, eventText(1)+eventText(2))
	})
	got := s.receive("HTTP/1.1", http.MethodPost, "/resume/x")
	is.Equal(len(s.requests()), 1)
	is.True(got.status == http.StatusBadGateway || got.status == http.StatusServiceUnavailable)
}
