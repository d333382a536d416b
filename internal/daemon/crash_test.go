package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/pkg/settings"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

const (
	crashPool = "p"
	crashHost = "h.example"
	// deadly is the body that ends each target that begins to run it.
	deadly = "the work that no target survives"
	// knownAfter is how long after the third target has ended the whole fleet may take
	// to know, and mostRetries what may reach targets later all the same.
	knownAfter  = 3 * time.Second
	mostRetries = 3
)

// crashSite is a fleet of daemons before targets that one body ends.
type crashSite struct {
	is      *is.I
	store   *standin.Store
	daemons []*daemon.Daemon
	client  *http.Client

	mu    sync.Mutex
	lives int
	// ended is when targets ended under the deadly body.
	ended []time.Time
	// pace is how long a target works before it answers or ends.
	pace time.Duration
}

func newCrashSite(t *testing.T, daemons, targets int) *crashSite {
	t.Helper()
	s := &crashSite{is: is.New(t), store: standin.New(), client: &http.Client{Timeout: 10 * time.Second}, pace: 5 * time.Millisecond}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	var routes []fireflypath.Route
	for _, name := range []string{"once", "safe"} {
		r := fireflypath.Route{
			Name: name, Host: crashHost, Prefix: "/" + name + "/", Form: fireflypath.FormWhole, Attempts: 2, Public: true,
			Timeout: fireflypath.Duration(5 * time.Second), Goal: fireflypath.Duration(time.Second),
			Split: []fireflypath.Split{{Pool: crashPool}},
		}
		if name == "safe" {
			r.Repeat = fireflypath.RepeatSafe
		}
		routes = append(routes, r)
	}
	s.is.NoErr(s.store.PutConfig(1, routes, []fireflypath.Pool{{Name: crashPool}}, nil))
	for range targets {
		s.startTarget(t)
	}
	free := loopback.ListenAddr()
	seed := freePeerPort(t)
	for i := range daemons {
		listen := settings.Listen{Callers: free, Ready: free, Peers: free, Operators: free}
		if i == 0 {
			listen.Peers = seed
		}
		d, err := daemon.New(settings.Settings{
			Name: fmt.Sprintf("entry%d", i), Domain: "a", Listen: listen,
			Platform: settings.Platform{Addr: srv.Listener.Addr().String()},
			Peers:    settings.Peers{AllowPlaintext: true, Seeds: []string{seed}},
			Gate: &settings.Gate{
				RevocationDelay: fireflypath.Duration(5 * time.Second), ActivationDelay: fireflypath.Duration(2 * time.Second),
				TerminationGrace: fireflypath.Duration(30 * time.Millisecond),
				Retries:          settings.RetryBudget{Ratio: 1, Window: fireflypath.Duration(10 * time.Second), Allowance: 100},
			},
		}, daemon.Deps{Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
		s.is.NoErr(err)
		s.is.NoErr(d.Start(t.Context()))
		t.Cleanup(func() { s.is.NoErr(d.Stop(context.Background())) })
		s.daemons = append(s.daemons, d)
	}
	s.await()
	return s
}

// await returns when all daemons serve.
func (s *crashSite) await() {
	for i := range s.daemons {
		for n := range 100 {
			status, _ := s.send(i, fmt.Sprintf("first-%d-%d", i, n), "/safe/x", "first work")
			if status == http.StatusOK {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func freePeerPort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startTarget registers another life of a target.
func (s *crashSite) startTarget(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	s.lives++
	name := fmt.Sprintf("t%d", s.lives)
	s.mu.Unlock()
	h := platform.Codec{}.Headers()
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(s.pace)
		if string(body) == deadly {
			s.end(t, name, srv)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(h.ID, r.Header.Get(h.ID))
		w.Header().Set(h.Signature, "by "+name)
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(srv.CloseClientConnections)
	s.is.NoErr(s.store.PutTarget(fireflypath.Target{
		Name: name, Pool: crashPool, Addr: srv.Listener.Addr().String(), Domain: "a", Slots: 4,
	}))
}

// end has a target end as a process does that crashes, and another life start.
func (s *crashSite) end(t *testing.T, name string, srv *httptest.Server) {
	t.Helper()
	srv.Listener.Close()
	srv.CloseClientConnections()
	s.mu.Lock()
	s.ended = append(s.ended, time.Now())
	s.mu.Unlock()
	s.store.RemoveTarget(name)
	s.startTarget(t)
}

// send is one attempt of a caller at a daemon.
func (s *crashSite) send(d int, id, path, body string) (int, http.Header) {
	h := platform.Codec{}.Headers()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[d].CallerAddr()+path, bytes.NewReader([]byte(body)))
	s.is.NoErr(err)
	r.GetBody = nil
	r.Host = crashHost
	r.Header.Set(h.ID, id)
	r.Header.Set(h.Deadline, strconv.Itoa(4000))
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header
}

// later counts the targets that ended although the fleet had the time to know.
func (s *crashSite) later() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.ended[min(mostTargets, len(s.ended)):] {
		if at.Sub(s.ended[mostTargets-1]) > knownAfter {
			n++
		}
	}
	return n
}

// mostTargets is how many targets may end before the request is known for it.
const mostTargets = 3

// A caller sends one request again and again, each time to another daemon. Each
// target that begins to run it ends: without a memory that the daemons share, one
// request takes down all targets of a pool, with the work of all other callers there.
func TestRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	for _, name := range []string{"once", "safe"} {
		t.Run(name, func(t *testing.T) {
			path := "/" + name + "/x"
			t.Parallel()
			s := newCrashSite(t, 3, 8)
			const sends, pause = 24, 250 * time.Millisecond
			refused := 0
			for i := range sends {
				status, header := s.send(i%len(s.daemons), fmt.Sprintf("deadly-%d", i), path, deadly)
				if status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" {
					refused++
				}
				other, _ := s.send(i%len(s.daemons), fmt.Sprintf("other-%d", i), path, "other work "+strconv.Itoa(i))
				s.is.Equal(other, http.StatusOK) // a healthy request pays for nothing
				time.Sleep(pause)
			}
			s.is.True(s.later() <= mostRetries)
			s.is.True(refused > sends/2) // and its caller is told so at once
		})
	}
}
