package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/ratewindow"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

// noticeTarget is a target that says something of itself in its answers.
type noticeTarget struct {
	standin.Notices
	registration fireflypath.Target

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that reached a target.
type arrival struct {
	at time.Time
	id string
	// backoff is the time that the target asked for when it turned the request away, or 0.
	backoff time.Duration
}

// daemon returns the daemon that sent the request.
func (a arrival) daemon() string {
	name, _, _ := strings.Cut(a.id, "-")
	return name
}

// addNoticeTarget starts and registers a target, which works for the given time before it answers.
func (s *crashCluster) addNoticeTarget(t *testing.T, name string, delay time.Duration) *noticeTarget {
	t.Helper()
	h := platform.Codec{}.Headers()
	target := &noticeTarget{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		at, id := time.Now(), r.Header.Get(h.ID)
		w.Header().Set(h.ID, id)
		w.Header().Set(h.Signature, "by "+name)
		target.WriteHeader(w.Header())
		backoff := target.TurnAway(w)
		target.mu.Lock()
		target.arrivals = append(target.arrivals, arrival{at, id, backoff})
		target.mu.Unlock()
		if backoff > 0 {
			return
		}
		time.Sleep(delay)
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(srv.Close)
	target.registration = fireflypath.Target{Name: name, Pool: crashPool, Addr: srv.Listener.Addr().String(), Domain: "a", Slots: 4}
	s.is.NoErr(s.store.PutTarget(target.registration))
	return target
}

// received returns the requests that reached the target from the given time on.
func (t *noticeTarget) received(from time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, _ := slices.BinarySearchFunc(t.arrivals, from, func(a arrival, from time.Time) int { return a.at.Compare(from) })
	return slices.Clone(t.arrivals[i:])
}

// perSecond is the number of requests a second that sendEvenly sends.
const perSecond = 40

// sendEvenly sends requests to all daemons in turn, at an even pace for the given time.
func (s *crashCluster) sendEvenly(duration time.Duration) (served int) {
	pause := time.NewTicker(time.Second / time.Duration(perSecond))
	defer pause.Stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range perSecond * int(duration/time.Second) {
		<-pause.C
		wg.Go(func() {
			status, _ := s.send(i%len(s.daemons), fmt.Sprintf("%d-%d-%d", i%len(s.daemons), time.Now().UnixNano(), i), "/safe/x", fmt.Sprint("work ", i))
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
			}
		})
	}
	wg.Wait()
	return served
}

// noticeDelay is the time after which a daemon keeps what a target said in an answer.
const noticeDelay = 500 * time.Millisecond

// Guards against a target that is given more than it takes: it names a rate limit for all
// daemons together, and each daemon keeps sending, or keeps the limit for itself only.
func TestTargetRateLimitHoldsForAllDaemons(t *testing.T) {
	t.Parallel()
	s := newCrashCluster(t, 2)
	limited := s.addNoticeTarget(t, "limited", 0)
	const limit, duration = 2.0, 7 * time.Second
	limited.SetLimit(limit)
	s.sendEvenly(2 * time.Second) // each daemon gets an answer of the target
	from := time.Now().Add(noticeDelay)
	served := s.sendEvenly(duration)
	s.is.Equal(served, perSecond*int(duration/time.Second)) // the other targets take the rest
	received := limited.received(from)
	s.is.True(len(received) > 0) // it is used as far as it allows
	var c ratewindow.Counter
	for _, a := range received {
		c.Add(a.at)
	}
	if allowed := ratewindow.Allowed(limit); c.Most() > allowed {
		t.Errorf("%d requests in %v, allowed %d", c.Most(), ratewindow.Length, allowed)
	}
}

// drainTime is how long after an answer that says that its target is leaving a daemon may still
// send it requests.
const drainTime = 2 * time.Second

// Guards against requests that are cut off at a target that is shutting down: it says so in its
// answers, while its registration still says that it is ready, lapses and comes back, or cannot be read.
func TestLeavingTargetGetsNothingMore(t *testing.T) {
	for _, registration := range []string{"says ready", "lapses", "is out of reach"} {
		t.Run("registration "+registration, func(t *testing.T) {
			t.Parallel()
			s := newCrashCluster(t, 2)
			leaving := s.addNoticeTarget(t, "leaving", 0)
			s.sendEvenly(time.Second)
			s.is.True(len(leaving.received(time.Time{})) > 0)
			leaving.SetLeaving()
			s.store.SetFault(standin.Fault{Down: registration == "is out of reach"})
			s.sendEvenly(time.Second)
			from := time.Now().Add(drainTime)
			if registration == "lapses" {
				s.store.RemoveTarget(leaving.registration.Name)
				s.sendEvenly(time.Second)
				s.is.NoErr(s.store.PutTarget(leaving.registration))
			}
			const duration = 4 * time.Second
			defer s.store.SetFault(standin.Fault{})
			s.is.Equal(s.sendEvenly(duration), perSecond*int(duration/time.Second)) // the others serve all
			s.is.Equal(len(leaving.received(from)), 0)
		})
	}
}

// maxDuringBackoff is how many requests a daemon may send a target in the time for which that wants
// none.
const maxDuringBackoff = 2

// Guards against a target that is pressed while it recovers: it turns a request away, asks for
// backoff and serves again soon, but has not had the backoff that it asked for.
func TestTargetGetsBackoffItAskedFor(t *testing.T) {
	t.Parallel()
	s := newCrashCluster(t, 1)
	s.store.RemoveTarget("t1")
	tired := s.addNoticeTarget(t, "tired", 0)
	for _, name := range []string{"slow1", "slow2"} {
		s.addNoticeTarget(t, name, 200*time.Millisecond) // four slots each, just enough for all requests
	}
	s.sendEvenly(time.Second)
	const backoff, duration = 3 * time.Second, 5 * time.Second
	time.AfterFunc(time.Second, func() { tired.SetBackoff(backoff) })
	time.AfterFunc(1500*time.Millisecond, func() { tired.SetBackoff(0) })
	s.is.Equal(s.sendEvenly(duration), perSecond*int(duration/time.Second)) // the others serve what it turns away
	received := tired.received(time.Time{})
	turnedAway, most := 0, 0
	for i, a := range received {
		if a.backoff == 0 {
			continue
		}
		turnedAway++
		during := 0
		for _, o := range received[i:] {
			if since := o.at.Sub(a.at); o.daemon() == a.daemon() && since > noticeDelay && since < a.backoff {
				during++
			}
		}
		most = max(most, during)
	}
	s.is.True(turnedAway > 0)
	if most > maxDuringBackoff {
		t.Errorf("a daemon sent %d requests during a backoff, allowed %d", most, maxDuringBackoff)
	}
}
