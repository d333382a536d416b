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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/pkg/settings"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

const (
	crashPool = "p"
	crashHost = "h.example"
	// crashDaemons is the number of daemons.
	crashDaemons = 3
	// crashingBody is the body that crashes each target that starts to run it.
	crashingBody = "the work that no target survives"
	// detectionTime is how long after the third crash it may take until all daemons know the
	// request. maxLateCrashes is how many targets may crash after that nonetheless.
	detectionTime  = 3 * time.Second
	maxLateCrashes = 3
)

// crashCluster is a set of daemons and targets that one request body crashes.
type crashCluster struct {
	is      *is.I
	logs    *testkit.Logs
	store   *standin.Store
	daemons []*daemon.Daemon
	client  *http.Client
	// rollouts is the setting of all daemons.
	rollouts *settings.Rollouts
	// seed is the peer address of the first daemon, storeAddr the address of the store.
	seed, storeAddr string

	mu             sync.Mutex
	targetsStarted int
	// crashes holds the times at which targets crashed on crashingBody.
	crashes []time.Time
	// delay is how long a target works before it answers or crashes.
	delay time.Duration
	// away is how long a target is gone after a crash by a part.
	away time.Duration
	// crashingParts are the parts of prompts that crash each target that starts to answer them.
	// partArrivals holds the times at which requests with them reached targets, partCrashes those
	// at which targets crashed on them.
	crashingParts             []string
	partArrivals, partCrashes map[string][]time.Time
	restarts                  sync.WaitGroup
	// lend is the setting of that name.
	lend bool
}

func newCrashCluster(t *testing.T, targets int, options ...func(*crashCluster)) *crashCluster {
	t.Helper()
	s := &crashCluster{
		is: is.New(t), logs: testkit.NewLogs(t), store: standin.New(), client: &http.Client{Timeout: 10 * time.Second}, delay: 5 * time.Millisecond,
		partArrivals: map[string][]time.Time{}, partCrashes: map[string][]time.Time{},
	}
	for _, option := range options {
		option(s)
	}
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
	s.seed, s.storeAddr = freePeerPort(t), srv.Listener.Addr().String()
	for range crashDaemons {
		s.startDaemon(t, "a")
	}
	if targets > 0 {
		s.awaitReady()
	}
	return s
}

// startDaemon starts another daemon in a failure domain. The first one listens on the seed address.
func (s *crashCluster) startDaemon(t *testing.T, domain string) {
	t.Helper()
	free, i := loopback.ListenAddr(), len(s.daemons)
	listen := settings.Listen{Callers: free, Ready: free, Peers: free, Operators: free}
	if i == 0 {
		listen.Peers = s.seed
	}
	name := fmt.Sprintf("entry%d", i)
	d, err := daemon.New(settings.Settings{
		Name: name, Domain: domain, Listen: listen, Host: settings.Host{Source: sourceOf(i).String()},
		Platform: settings.Platform{Addr: s.storeAddr},
		Peers:    settings.Peers{AllowPlaintext: true, Seeds: []string{s.seed}},
		Gate: &settings.Gate{
			RevocationDelay: fireflypath.Duration(5 * time.Second), ActivationDelay: fireflypath.Duration(2 * time.Second),
			TerminationGrace: fireflypath.Duration(30 * time.Millisecond),
			Retries:          settings.RetryBudget{Ratio: 1, Window: fireflypath.Duration(10 * time.Second), Allowance: 100},
			Rollouts:         s.rollouts,
			Lend:             s.lend,
		},
	}, daemon.Deps{Clock: clockwork.NewRealClock(), Log: s.logs.Logger(name)})
	s.is.NoErr(err)
	s.is.NoErr(d.Start(t.Context()))
	t.Cleanup(func() { s.is.NoErr(d.Stop(context.Background())) })
	s.daemons = append(s.daemons, d)
}

// sourceOf returns the address from which a daemon connects to targets.
func sourceOf(daemon int) net.IP { return net.IPv4(127, 0, 1, byte(1+daemon)) }

// awaitReady returns when all daemons serve requests.
func (s *crashCluster) awaitReady() {
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

// startTarget starts and registers another target.
func (s *crashCluster) startTarget(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	s.targetsStarted++
	name := fmt.Sprintf("t%d", s.targetsStarted)
	s.mu.Unlock()
	h := platform.Codec{}.Headers()
	var srv *httptest.Server
	var crash sync.Once
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		part := s.crashingPart(r.Header.Get(h.Parts))
		s.recordPart(s.partArrivals, part)
		time.Sleep(s.delay)
		if part != "" {
			crash.Do(func() {
				s.recordPart(s.partCrashes, part)
				s.crashByPart(t, name, srv)
			})
			panic(http.ErrAbortHandler)
		}
		if string(body) == crashingBody {
			s.crashTarget(t, name, srv)
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

// crashTarget ends a target like a process crash and starts another one.
func (s *crashCluster) crashTarget(t *testing.T, name string, srv *httptest.Server) {
	t.Helper()
	s.endTarget(name, srv)
	s.startTarget(t)
}

// crashByPart ends a target like a process crash and starts another one after some time.
func (s *crashCluster) crashByPart(t *testing.T, name string, srv *httptest.Server) {
	t.Helper()
	s.endTarget(name, srv)
	s.restarts.Go(func() {
		time.Sleep(s.away)
		s.startTarget(t)
	})
}

// endTarget ends a target like a process crash.
func (s *crashCluster) endTarget(name string, srv *httptest.Server) {
	srv.Listener.Close()
	srv.CloseClientConnections()
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	s.store.RemoveTarget(name)
}

// crashingPart returns the part of a prompt that crashes targets, or "".
func (s *crashCluster) crashingPart(parts string) string {
	for _, part := range s.crashingParts {
		if strings.Contains(parts, part+":") {
			return part
		}
	}
	return ""
}

// recordPart adds the current time to the events of a part.
func (s *crashCluster) recordPart(events map[string][]time.Time, part string) {
	if part == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	events[part] = append(events[part], time.Now())
}

// send sends one request to a daemon.
func (s *crashCluster) send(d int, id, path, body string) (int, http.Header) {
	return s.sendPrompt(d, id, path, body, "")
}

// sendPrompt sends one request whose prompt has the given parts to a daemon.
func (s *crashCluster) sendPrompt(d int, id, path, body, parts string) (int, http.Header) {
	h := platform.Codec{}.Headers()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[d].CallerAddr()+path, bytes.NewReader([]byte(body)))
	s.is.NoErr(err)
	r.GetBody = nil
	r.Host = crashHost
	r.Header.Set(h.ID, id)
	r.Header.Set(h.Deadline, strconv.Itoa(4000))
	if parts != "" {
		r.Header.Set(h.Parts, parts)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header
}

// lateCrashes counts the crashes after all daemons should have known the request.
func (s *crashCluster) lateCrashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.crashes[min(maxCrashes, len(s.crashes)):] {
		if at.Sub(s.crashes[maxCrashes-1]) > detectionTime {
			n++
		}
	}
	return n
}

// maxCrashes is how many targets may crash before the request is recognised as the cause.
const maxCrashes = 3

// A caller repeats one request at different daemons. Each target that starts to run it crashes. If
// the daemons did not share what they know, one request could take down all targets of a pool,
// including the work of other callers there.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, name := range []string{"once", "safe"} {
		t.Run(name, func(t *testing.T) {
			path := "/" + name + "/x"
			t.Parallel()
			s := newCrashCluster(t, 8)
			const sends, pause = 24, 250 * time.Millisecond
			refused := 0
			for i := range sends {
				status, header := s.send(i%len(s.daemons), fmt.Sprintf("deadly-%d", i), path, crashingBody)
				if status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" {
					refused++
				}
				other, _ := s.send(i%len(s.daemons), fmt.Sprintf("other-%d", i), path, "other work "+strconv.Itoa(i))
				s.is.Equal(other, http.StatusOK) // other requests are not affected
				time.Sleep(pause)
			}
			s.is.True(s.lateCrashes() <= maxLateCrashes)
			s.is.True(refused > sends/2) // its caller is refused immediately
		})
	}
}
