package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/platform"
)

const (
	// streamLength is the number of events of a stream, streamPause the time between two of them.
	streamLength = 20
	streamPause  = 10 * time.Millisecond
	// breakAfter is the number of events after which callers lose their connection.
	breakAfter = 3
)

// addVersionTarget starts and registers a target of a version, whose streams name it in each event.
func (s *crashCluster) addVersionTarget(t *testing.T, name, version string) {
	t.Helper()
	h := platform.Codec{}.Headers()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(h.ID, r.Header.Get(h.ID))
		w.Header().Set(h.Signature, "by "+name)
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get(h.Event))
		for n := from + 1; n <= streamLength && r.Context().Err() == nil; n++ {
			time.Sleep(streamPause)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(srv.CloseClientConnections)
	s.is.NoErr(s.store.PutTarget(fireflypath.Target{
		Name: name, Pool: crashPool, Addr: srv.Listener.Addr().String(), Domain: "a", Slots: 8, Version: version,
	}))
}

// streamPart is what a caller received of a stream.
type streamPart struct {
	status   int
	events   int
	versions map[string]bool
}

// stream sends a request for a stream to a daemon and reads up to maxEvents events. The headers name the
// last event that the caller has and the request that brought the first one.
func (s *crashCluster) stream(d int, id string, from int, resumes string, maxEvents int) streamPart {
	h := platform.Codec{}.Headers()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.daemons[d].CallerAddr()+"/resume/x", strings.NewReader(id))
	s.is.NoErr(err)
	r.GetBody = nil
	r.Host = crashHost
	r.Header.Set(h.ID, id)
	r.Header.Set(h.Deadline, "4000")
	if from > 0 {
		r.Header.Set(h.Event, strconv.Itoa(from))
		r.Header.Set(h.Resumes, resumes)
	}
	out := streamPart{versions: map[string]bool{}}
	resp, err := s.client.Do(r)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	for lines := bufio.NewScanner(resp.Body); out.events < maxEvents && lines.Scan(); {
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok && resp.StatusCode == http.StatusOK {
			out.events++
			out.versions[version] = true
		}
	}
	return out
}

// streamRoute returns a route for streams that may be resumed.
func streamRoute() fireflypath.Route {
	r := crashRoute("resume")
	r.Form, r.Resumable = fireflypath.FormEvents, true
	return r
}

// newVersionCluster starts a cluster whose pool has two targets of each version.
func newVersionCluster(t *testing.T, versions ...string) *crashCluster {
	t.Helper()
	s := newCrashCluster(t, 0)
	for _, version := range versions {
		for i := range 2 {
			s.addVersionTarget(t, fmt.Sprint(version, "-", i), version)
		}
	}
	s.is.NoErr(s.store.PutConfig(2, []fireflypath.Route{streamRoute()}, []fireflypath.Pool{{Name: crashPool}}, nil))
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		ready := true
		for d := range s.daemons {
			ready = ready && s.stream(d, fmt.Sprintf("first-%d-%d", d, time.Now().UnixNano()), 0, "", 1).events > 0
		}
		if ready {
			break
		}
	}
	return s
}

// resumed counts streams that went on after their callers came back.
type resumed struct{ began, wentOn, mixed atomic.Int32 }

// resumeStreams starts streams at all daemons below from, whose callers lose their connections and come
// back at daemons from the given one on, after between has been called.
func (s *crashCluster) resumeStreams(name string, n, from int, between func()) *resumed {
	out := &resumed{}
	var began, wg sync.WaitGroup
	ready := make(chan struct{})
	began.Add(n)
	for i := range n {
		wg.Go(func() {
			id := fmt.Sprint(name, "-", i)
			first := s.stream(i%from, id, 0, "", breakAfter)
			began.Done()
			<-ready
			if first.events < breakAfter {
				return
			}
			out.began.Add(1)
			second := s.stream(from+i%(len(s.daemons)-from), id+"-again", first.events, id, streamLength)
			for v := range second.versions {
				first.versions[v] = true
			}
			if second.events == streamLength-first.events {
				out.wentOn.Add(1)
			}
			if len(first.versions) > 1 {
				out.mixed.Add(1)
			}
		})
	}
	began.Wait()
	between()
	close(ready)
	wg.Wait()
	return out
}

// Guards against streams that go on at targets of another version of the software than the one that
// began them, when their callers come back at other daemons.
func TestStreamsResumeAtTheirVersion(t *testing.T) {
	for name, between := range map[string]func(t *testing.T, s *crashCluster){
		"daemons stay": func(*testing.T, *crashCluster) {},
		"daemon leaves": func(_ *testing.T, s *crashCluster) {
			s.is.NoErr(s.daemons[0].Stop(context.Background()))
		},
		"third version appears": func(t *testing.T, s *crashCluster) {
			s.addVersionTarget(t, "v3-0", "v3")
			time.Sleep(activationTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newVersionCluster(t, "v1", "v2")
			const n = 24
			got := s.resumeStreams("r", n, 1, func() { between(t, s) })
			s.is.Equal(got.began.Load(), int32(n))
			s.is.Equal(got.mixed.Load(), int32(0))
			s.is.True(got.wentOn.Load() >= n/2) // at least half of what begins
		})
	}
}

// Guards against a service of one version whose streams are refused because no daemon has a record of
// their beginning.
func TestStreamsOfOnlyVersionGoOn(t *testing.T) {
	t.Parallel()
	s := newVersionCluster(t, "v1")
	const n = 24
	got := s.resumeStreams("r", n, 1, func() { s.is.NoErr(s.daemons[0].Stop(context.Background())) })
	s.is.Equal(got.began.Load(), int32(n))
	s.is.Equal(got.wentOn.Load(), int32(n))
}
