package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/pkg/settings"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

const (
	rolloutLimit = 12 * time.Second
	rolloutShare = 0.1
	rolloutSlack = 50
	rolloutBound = 5 * time.Second
	// rolloutRate is the number of requests a second from callers. Several sites run at the same time,
	// and with more requests the callers of a small machine are late.
	rolloutRate = 60
)

// rolloutSite is a cluster with targets of an old and a new version, and callers.
type rolloutSite struct {
	*crashCluster
	t       *testing.T
	ordered time.Time

	mu sync.Mutex
	// sent holds the times at which requests reached targets of each version, and bad those at which the
	// new version gave bad responses.
	sent map[string][]time.Time
	bad  []time.Time
	// stopped is true once the old targets have ended.
	stopped bool
	// lost counts the callers without a good response, by status and version of the last target.
	lost    map[string]int
	callers atomic.Int64
	// streamTime is how long streams take.
	streamTime atomic.Int64
	servers    map[string][]*httptest.Server
}

// behavior is what a target of the new version does with a request. It reports whether the response is bad.
type behavior func(s *rolloutSite, w http.ResponseWriter, r *http.Request) (bad bool)

func respond() behavior {
	return func(_ *rolloutSite, w http.ResponseWriter, _ *http.Request) bool {
		fmt.Fprint(w, "ok")
		return false
	}
}

func fail(rate float64) behavior {
	return func(_ *rolloutSite, w http.ResponseWriter, _ *http.Request) bool {
		if rand.Float64() < rate {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
		fmt.Fprint(w, "ok")
		return false
	}
}

// newRolloutSite starts a site with 4 old targets.
func newRolloutSite(t *testing.T) *rolloutSite {
	t.Helper()
	s := &rolloutSite{t: t, sent: map[string][]time.Time{}, lost: map[string]int{}, servers: map[string][]*httptest.Server{}}
	s.crashCluster = newCrashCluster(t, 0, func(c *crashCluster) {
		c.rollouts = &settings.Rollouts{Share: rolloutShare, Slack: rolloutSlack, Rollback: fireflypath.Duration(rolloutBound)}
	})
	for i := range 4 {
		s.addTarget(fmt.Sprint("old-", i), "v1", 20*time.Millisecond, respond())
	}
	stream := streamRoute()
	stream.Timeout = fireflypath.Duration(14 * time.Second)
	s.is.NoErr(s.store.PutConfig(2, []fireflypath.Route{crashRoute("safe"), stream}, []fireflypath.Pool{{Name: crashPool}}, nil))
	s.awaitReady()
	return s
}

// addTarget starts a target.
func (s *rolloutSite) addTarget(name, version string, takes time.Duration, do behavior) {
	h := platform.Codec{}.Headers()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.sent[version] = append(s.sent[version], time.Now())
		stopped := s.stopped && version == "v1"
		s.mu.Unlock()
		if stopped {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(takes)
		w.Header().Set(h.ID, r.Header.Get(h.ID))
		w.Header().Set(h.Signature, "by "+name)
		if strings.HasPrefix(r.URL.Path, "/resume/") {
			writeStream(w, r, time.Duration(s.streamTime.Load()))
			return
		}
		if do(s, w, r) {
			s.mu.Lock()
			s.bad = append(s.bad, time.Now())
			s.mu.Unlock()
		}
	}))
	s.t.Cleanup(srv.CloseClientConnections)
	s.mu.Lock()
	s.servers[version] = append(s.servers[version], srv)
	s.mu.Unlock()
	s.is.NoErr(s.store.PutTarget(fireflypath.Target{
		Name: name, Pool: crashPool, Addr: srv.Listener.Addr().String(), Domain: "a", Slots: 16, Version: version,
	}))
}

// order orders v2 and starts its targets.
func (s *rolloutSite) order(takes time.Duration, do behavior) {
	s.ordered = time.Now()
	s.is.NoErr(s.store.OrderRollout(fireflypath.RolloutOrder{Pool: crashPool, Version: "v2", Duration: rolloutLimit}))
	for i := range 4 {
		s.addTarget(fmt.Sprint("new-", i), "v2", takes, do)
	}
}

// status returns the state that the operator reads.
func (s *rolloutSite) status() fireflypath.RolloutState {
	_, prefix := platform.Codec{}.RolloutPrefixes()
	b := s.store.Get(prefix + crashPool)
	if b == nil {
		return ""
	}
	st, err := platform.Codec{}.RolloutStatus(crashPool, b)
	s.is.NoErr(err)
	s.is.Equal(st.Version, "v2")
	return st.State
}

// load has callers send requests to the daemons until the context ends.
func (s *rolloutSite) load(ctx context.Context, daemons ...int) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second / rolloutRate)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			wg.Go(func() {
				s.callers.Add(1)
				status, _ := s.send(daemons[i%len(daemons)], fmt.Sprintf("c-%d-%d", i, time.Now().UnixNano()), "/safe/x", strconv.Itoa(i))
				if status != http.StatusOK {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.lost[strconv.Itoa(status)]++
				}
			})
		}
	})
	return &wg
}

// awaitResult waits for a final status. When the order is completed, the old targets stop at once.
func (s *rolloutSite) awaitResult() fireflypath.RolloutState {
	s.t.Helper()
	for time.Since(s.ordered) < rolloutLimit+time.Second {
		if st := s.status(); st.Final() {
			s.t.Logf("%s after %v", st, time.Since(s.ordered).Round(10*time.Millisecond))
			if st == fireflypath.RolloutCompleted {
				s.stopOld()
			}
			return st
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("the order has no result")
	return ""
}

// stopOld ends the old targets without draining.
func (s *rolloutSite) stopOld() {
	s.mu.Lock()
	s.stopped = true
	servers := s.servers["v1"]
	s.mu.Unlock()
	for i, srv := range servers {
		srv.CloseClientConnections()
		_ = srv.Listener.Close()
		s.store.RemoveTarget(fmt.Sprint("old-", i))
	}
}

// checkExposure checks what a bad version got.
func (s *rolloutSite) checkExposure() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	all, tried := 0, 0
	for version, times := range s.sent {
		for _, at := range times {
			if at.Before(s.ordered) || at.After(s.ordered.Add(rolloutLimit)) {
				continue
			}
			all++
			if version == "v2" {
				tried++
			}
		}
	}
	s.t.Logf("%d of %d requests reached the new version, %d responses were bad, callers lost: %v", tried, all, len(s.bad), s.lost)
	if most := int(rolloutShare*float64(all)) + rolloutSlack; tried > most {
		s.t.Errorf("%d requests reached the new version, %d are allowed", tried, most)
	}
	if len(s.bad) >= 50 {
		if last := s.sent["v2"][len(s.sent["v2"])-1]; last.Sub(s.bad[49]) > rolloutBound {
			s.t.Errorf("a request was sent %v after the 50th bad response", last.Sub(s.bad[49]))
		}
	}
}

func (s *rolloutSite) count(version string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent[version])
}

// checkFinal checks that a final state stays for some seconds, and that a version that was rolled back gets
// nothing.
func (s *rolloutSite) checkFinal(state fireflypath.RolloutState, d time.Duration) {
	s.t.Helper()
	tried := s.count("v2")
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got := s.status(); got != state {
			s.t.Fatalf("the final state %s became %s", state, got)
		}
	}
	if state == fireflypath.RolloutRolledBack && s.count("v2") > tried+20 {
		s.t.Errorf("%d requests reached a version that was rolled back", s.count("v2")-tried)
	}
}

// Guards against a good version that is not completed in time, and requests that are lost when the old
// targets stop.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	s := newRolloutSite(t)
	ctx, cancel := context.WithCancel(t.Context())
	wg := s.load(ctx, 0, 1, 2)
	time.Sleep(time.Second)
	s.order(20*time.Millisecond, respond())
	s.is.Equal(s.awaitResult(), fireflypath.RolloutCompleted)
	s.checkFinal(fireflypath.RolloutCompleted, 2*time.Second)
	cancel()
	wg.Wait()
	t.Logf("%d callers, lost: %v", s.callers.Load(), s.lost)
	s.is.Equal(len(s.lost), 0)
}

// Guards against bad versions that get more work than allowed, or are completed.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		takes time.Duration
		do    behavior
	}{
		"fails always":   {20 * time.Millisecond, fail(1)},
		"fails often":    {20 * time.Millisecond, fail(0.4)},
		"6 times slower": {120 * time.Millisecond, func(s *rolloutSite, w http.ResponseWriter, r *http.Request) bool { respond()(s, w, r); return true }},
		"fails later": {20 * time.Millisecond, func(s *rolloutSite, w http.ResponseWriter, r *http.Request) bool {
			if time.Since(s.ordered) < 4*time.Second {
				return respond()(s, w, r)
			}
			return fail(0.7)(s, w, r)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t)
			ctx, cancel := context.WithCancel(t.Context())
			wg := s.load(ctx, 0, 1, 2)
			time.Sleep(time.Second)
			s.order(c.takes, c.do)
			s.is.Equal(s.awaitResult(), fireflypath.RolloutRolledBack)
			s.checkFinal(fireflypath.RolloutRolledBack, time.Until(s.ordered.Add(rolloutLimit)))
			cancel()
			wg.Wait()
			s.checkExposure()
		})
	}
}

// Guards against a rollout that has no result, exceeds its exposure or leaves a final state because the
// store was out of reach, or lost answers, at some time.
func TestRolloutOutlivesStoreFaults(t *testing.T) {
	for _, at := range []time.Duration{0, time.Second, 3 * time.Second} {
		for name, fault := range map[string]standin.Fault{"down": {Down: true}, "answers lost": {DropWriteResponses: true}} {
			t.Run(fmt.Sprint(name, " after ", at), func(t *testing.T) {
				t.Parallel()
				s := newRolloutSite(t)
				ctx, cancel := context.WithCancel(t.Context())
				wg := s.load(ctx, 0, 1, 2)
				time.Sleep(time.Second)
				s.order(20*time.Millisecond, fail(0.5))
				time.Sleep(at)
				s.store.SetFault(fault)
				time.Sleep(2500 * time.Millisecond)
				s.store.SetFault(standin.Fault{})
				s.is.Equal(s.awaitResult(), fireflypath.RolloutRolledBack)
				s.checkFinal(fireflypath.RolloutRolledBack, time.Until(s.ordered.Add(rolloutLimit)))
				cancel()
				wg.Wait()
				s.checkExposure()
			})
		}
	}
}

// holder returns the index of the daemon that holds the trial, or -1.
func (s *rolloutSite) holder() int {
	var r fireflypath.RolloutRecord
	if b := s.store.Get(directory.RolloutPrefix + crashPool); b == nil || json.Unmarshal(b, &r) != nil {
		return -1
	}
	n, err := strconv.Atoi(strings.TrimPrefix(r.Holder, "entry"))
	s.is.NoErr(err)
	return n
}

// awaitPhase waits until the stored trial has a phase.
func (s *rolloutSite) awaitPhase(phase fireflypath.RolloutPhase) {
	s.t.Helper()
	for time.Since(s.ordered) < rolloutLimit {
		var r fireflypath.RolloutRecord
		if b := s.store.Get(directory.RolloutPrefix + crashPool); b != nil && json.Unmarshal(b, &r) == nil && r.Phase == phase {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatalf("the trial does not reach the phase %s", phase)
}

// others returns the daemons without one.
func (s *rolloutSite) others(without int) []int {
	var out []int
	for i := range s.daemons {
		if i != without {
			out = append(out, i)
		}
	}
	return out
}

// Guards against a rollout without a result, or with more exposure than allowed, because the daemon that
// decides has ended at some step of it.
func TestRolloutOutlivesItsHolder(t *testing.T) {
	for name, c := range map[string]struct {
		do   behavior
		want fireflypath.RolloutState
		stop func(s *rolloutSite)
	}{
		"bad version, at once":     {fail(0.4), fireflypath.RolloutRolledBack, func(s *rolloutSite) { s.awaitPhase(fireflypath.RolloutTrial) }},
		"bad version, after 1.5 s": {fail(0.4), fireflypath.RolloutRolledBack, func(*rolloutSite) { time.Sleep(1500 * time.Millisecond) }},
		"bad version, decided":     {fail(1), fireflypath.RolloutRolledBack, func(s *rolloutSite) { s.awaitPhase(fireflypath.RolloutRejected) }},
		"good version, after 5 s":  {respond(), fireflypath.RolloutCompleted, func(*rolloutSite) { time.Sleep(5 * time.Second) }},
		"good version, switched":   {respond(), fireflypath.RolloutCompleted, func(s *rolloutSite) { s.awaitPhase(fireflypath.RolloutSwitch) }},
		"good version, decided":    {respond(), fireflypath.RolloutCompleted, func(s *rolloutSite) { s.awaitPhase(fireflypath.RolloutAccepted) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t)
			ctx, cancel := context.WithCancel(t.Context())
			s.order(20*time.Millisecond, c.do)
			s.awaitPhase(fireflypath.RolloutTrial)
			holder := s.holder()
			wg := s.load(ctx, s.others(holder)...)
			c.stop(s)
			s.is.NoErr(s.daemons[s.holder()].Stop(context.Background()))
			s.is.Equal(s.awaitResult(), c.want)
			s.checkFinal(c.want, 2*time.Second)
			cancel()
			wg.Wait()
			if c.want == fireflypath.RolloutRolledBack {
				s.checkExposure()
			}
			t.Logf("%d callers, lost: %v", s.callers.Load(), s.lost)
			s.is.Equal(len(s.lost), 0)
		})
	}
}

// Guards against an order that gets another result, or a bad version that gets work, because all daemons
// have ended and started again.
func TestRolloutOutlivesAllDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		do    behavior
		after time.Duration
	}{"on trial": {fail(0.4), time.Second}, "rolled back": {fail(1), 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t)
			ctx, cancel := context.WithCancel(t.Context())
			wg := s.load(ctx, 0, 1, 2)
			s.order(20*time.Millisecond, c.do)
			time.Sleep(c.after)
			cancel()
			wg.Wait()
			for _, d := range s.daemons {
				s.is.NoErr(d.Stop(context.Background()))
			}
			n := len(s.daemons)
			s.seed = freePeerPort(t)
			s.daemons = nil
			for range n {
				s.startDaemon(t, "a")
			}
			clear(s.lost)
			ctx, cancel = context.WithCancel(t.Context())
			wg = s.load(ctx, 0, 1, 2)
			s.is.Equal(s.awaitResult(), fireflypath.RolloutRolledBack)
			s.checkFinal(fireflypath.RolloutRolledBack, time.Until(s.ordered.Add(rolloutLimit)))
			cancel()
			wg.Wait()
			s.checkExposure()
		})
	}
}

// Guards against streams that are cut off because the old targets stop while they run: streams of 6 s that
// begin all the time, and streams of 10 s that are in progress when the order comes.
func TestLongStreamsEndBeforeCompletion(t *testing.T) {
	for name, c := range map[string]struct {
		takes, before time.Duration
		goOn          bool
	}{"all the time": {6 * time.Second, 7 * time.Second, true}, "in progress": {10 * time.Second, time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t)
			s.streamTime.Store(int64(c.takes))
			ctx, cancel := context.WithCancel(t.Context())
			wg := s.load(ctx, 0, 1, 2)
			var streams sync.WaitGroup
			var began, whole atomic.Int64
			streaming, stop := context.WithCancel(ctx)
			defer stop()
			streams.Go(func() {
				for i := 0; streaming.Err() == nil; i++ {
					streams.Go(func() {
						began.Add(1)
						if s.longStream(i%3, fmt.Sprint("stream-", i), c.takes) {
							whole.Add(1)
						}
					})
					time.Sleep(200 * time.Millisecond)
				}
			})
			time.Sleep(c.before)
			s.order(20*time.Millisecond, respond())
			if !c.goOn {
				stop()
			}
			s.is.Equal(s.awaitResult(), fireflypath.RolloutCompleted)
			cancel()
			wg.Wait()
			streams.Wait()
			t.Logf("%d of %d streams were whole, %d callers, lost: %v", whole.Load(), began.Load(), s.callers.Load(), s.lost)
			s.is.Equal(whole.Load(), began.Load())
			s.is.Equal(len(s.lost), 0)
		})
	}
}

// longStream sends a request for a stream and reports whether it came whole.
func (s *rolloutSite) longStream(d int, id string, takes time.Duration) bool {
	h := platform.Codec{}.Headers()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[d].CallerAddr()+"/resume/x", strings.NewReader(id))
	s.is.NoErr(err)
	r.GetBody = nil
	r.Host = crashHost
	r.Header.Set(h.ID, id)
	r.Header.Set(h.Deadline, strconv.FormatInt((2*takes).Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(b), "last")
}

// writeStream answers with a stream of 20 events. Its end does not move when single events are late.
func writeStream(w http.ResponseWriter, r *http.Request, takes time.Duration) {
	began := time.Now()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range 20 {
		text := "more"
		if n == 19 {
			text = "last"
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, text)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(time.Until(began.Add(time.Duration(n+1) * takes / 20))):
		case <-r.Context().Done():
			return
		}
	}
}
