package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit/lossy"
	"github.com/fireflypath/fireflypath/platform"
)

// lossyTarget is a target that some daemons can be kept from reaching.
type lossyTarget struct {
	*lossy.Listener
	mu sync.Mutex
	// runs counts how often each request ran.
	runs map[string]int
}

// addLossyTarget starts and registers a target.
func (s *crashCluster) addLossyTarget(t *testing.T, name string) *lossyTarget {
	t.Helper()
	h := platform.Codec{}.Headers()
	ln, err := lossy.Listen(loopback.ListenAddr())
	s.is.NoErr(err)
	target := &lossyTarget{Listener: ln, runs: map[string]int{}}
	srv := &httptest.Server{Listener: ln, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(h.ID)
		target.mu.Lock()
		target.runs[id]++
		target.mu.Unlock()
		time.Sleep(s.delay)
		w.Header().Set(h.ID, id)
		w.Header().Set(h.Signature, "by "+name)
		_, _ = io.WriteString(w, "whole")
	})}}
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		ln.Close()
	})
	s.is.NoErr(s.store.PutTarget(fireflypath.Target{Name: name, Pool: crashPool, Addr: ln.Addr().String(), Domain: "a", Slots: 4}))
	return target
}

// served counts the first tries of one group of daemons.
type served struct{ sent, whole int }

// sendTries sends requests to all daemons in turn, half of which may run only once, and counts by
// daemon how many were served.
func (s *crashCluster) sendTries(prefix string, duration time.Duration) []served {
	pause := time.NewTicker(time.Second / perSecond)
	defer pause.Stop()
	out := make([]served, len(s.daemons))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range perSecond * int(duration/time.Second) {
		<-pause.C
		d, path := i%len(s.daemons), "/safe/x"
		if i/len(s.daemons)%2 == 0 {
			path = "/once/x"
		}
		wg.Go(func() {
			status, _ := s.send(d, fmt.Sprintf("%s-%d", prefix, i), path, fmt.Sprint("work ", i))
			mu.Lock()
			defer mu.Unlock()
			out[d].sent++
			if status == http.StatusOK {
				out[d].whole++
			}
		})
	}
	wg.Wait()
	return out
}

// detectionOfLostPaths is how long after its paths were lost a daemon must serve again.
const detectionOfLostPaths = 3 * time.Second

// Guards against callers that are refused because the daemon that they reached has lost its paths to
// all targets, while other daemons reach these.
func TestDaemonWithoutPathsServes(t *testing.T) {
	cases := []struct {
		name    string
		daemons []int
		cut     func(t *lossyTarget, clients []net.IP) error
	}{
		{"connections hang", []int{1}, func(t *lossyTarget, clients []net.IP) error { return t.Drop(clients...) }},
		{"connections are reset", []int{1}, func(t *lossyTarget, clients []net.IP) error {
			err := t.DropNew(clients...)
			t.Reset(clients...)
			return err
		}},
		{"connections live on", []int{1}, func(t *lossyTarget, clients []net.IP) error { return t.DropNew(clients...) }},
		{"most daemons", []int{0, 2}, func(t *lossyTarget, clients []net.IP) error { return t.Drop(clients...) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCrashCluster(t, 0)
			var targets []*lossyTarget
			for i := range 4 {
				targets = append(targets, s.addLossyTarget(t, fmt.Sprintf("t%d", i)))
			}
			s.awaitReady()
			s.sendTries("before", 2*time.Second)
			var clients []net.IP
			for _, d := range c.daemons {
				clients = append(clients, sourceOf(d))
			}
			for _, target := range targets {
				s.is.NoErr(c.cut(target, clients))
			}
			s.sendTries("detection", detectionOfLostPaths)
			s.checkTries(t, s.sendTries("cut", 5*time.Second), c.daemons)
			for _, target := range targets {
				s.is.NoErr(target.Restore())
			}
			s.checkTries(t, s.sendTries("after", 3*time.Second), c.daemons)
			for _, target := range targets {
				target.checkRuns(t)
			}
		})
	}
}

// checkTries checks that the daemons of a group serve about as often as the others, and that hardly
// any request fails there.
func (s *crashCluster) checkTries(t *testing.T, tries []served, group []int) {
	t.Helper()
	var in, out served
	for d, n := range tries {
		sum := &out
		for _, g := range group {
			if g == d {
				sum = &in
			}
		}
		sum.sent += n.sent
		sum.whole += n.whole
	}
	if 3*in.whole*out.sent < 2*out.whole*in.sent {
		t.Errorf("without paths %d of %d were served, at the others %d of %d", in.whole, in.sent, out.whole, out.sent)
	}
	if failed, sent := in.sent-in.whole, in.sent+out.sent; failed > 10+sent/50 {
		t.Errorf("without paths %d of %d failed, of %d sent to all", failed, in.sent, sent)
	}
}

// checkRuns checks that no request ran twice at the target.
func (t *lossyTarget) checkRuns(tt *testing.T) {
	tt.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range t.runs {
		if n > 1 {
			tt.Errorf("request %s ran %d times at one target", id, n)
		}
	}
}
