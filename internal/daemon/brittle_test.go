package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

// brittleTarget has a number of slots and room for some requests to wait. It falls over when it turns
// away more requests in a second than it bears.
type brittleTarget struct {
	standin.Notices
	slots, bears int

	mu sync.Mutex
	// room is how many requests may wait.
	room             int
	running, waiting int
	served           int
	turnedAway       []time.Time
	downUntil        time.Time
	falls            int
	wake             *sync.Cond
}

// fallTime is how long a target that has fallen over is down.
const fallTime = 2 * time.Second

// addBrittleTarget starts and registers a target that works for the given time on each request.
func (s *crashCluster) addBrittleTarget(t *testing.T, name string, slots, bears int, work time.Duration) *brittleTarget {
	t.Helper()
	h := platform.Codec{}.Headers()
	b := &brittleTarget{slots: slots, bears: bears, room: 2 * slots}
	b.wake = sync.NewCond(&b.mu)
	b.SetBrittle(-1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(h.ID, r.Header.Get(h.ID))
		b.WriteHeader(w.Header())
		switch b.enter(time.Now()) {
		case entryDown:
			panic(http.ErrAbortHandler)
		case entryTurnedAway:
			w.Header().Set(h.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case entryRuns:
		}
		time.Sleep(work)
		b.leave()
		w.Header().Set(h.Signature, "by "+name)
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(srv.Close)
	s.is.NoErr(s.store.PutTarget(fireflypath.Target{
		Name: name, Pool: crashPool, Addr: srv.Listener.Addr().String(), Domain: "a", Slots: slots,
	}))
	return b
}

// entry is what becomes of a request that arrives at a target.
type entry int

const (
	entryRuns entry = iota
	entryTurnedAway
	entryDown
)

// enter waits for a slot if there is room.
func (b *brittleTarget) enter(now time.Time) entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.downUntil) {
		return entryDown
	}
	if b.running == b.slots && b.waiting >= b.room {
		b.turnAway(now)
		return entryTurnedAway
	}
	b.waiting++
	for b.running == b.slots {
		b.wake.Wait()
	}
	b.waiting--
	b.running++
	return entryRuns
}

// turnAway counts a request that is turned away. The caller holds mu.
func (b *brittleTarget) turnAway(now time.Time) {
	b.turnedAway = append(b.turnedAway, now)
	for now.Sub(b.turnedAway[0]) > time.Second {
		b.turnedAway = b.turnedAway[1:]
	}
	if len(b.turnedAway) > b.bears && b.room < b.slots {
		b.falls++
		b.turnedAway, b.downUntil = nil, now.Add(fallTime)
	}
}

func (b *brittleTarget) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.served++
	b.wake.Signal()
}

// setRoom sets how many requests may wait.
func (b *brittleTarget) setRoom(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.room = n
}

// brittleNotice is how long targets say that they are brittle before they let fewer requests wait.
const brittleNotice = 3 * time.Second

// Guards against targets that fall over because daemons send them more than they have room for, while
// they say in all answers that they cannot bear that.
func TestBrittleTargetsDoNotFall(t *testing.T) {
	for _, bears := range []int{0, 2, 6} {
		t.Run(fmt.Sprintf("bears %d", bears), func(t *testing.T) {
			t.Parallel()
			s := newCrashCluster(t, 0)
			var targets []*brittleTarget
			for i := range 3 {
				targets = append(targets, s.addBrittleTarget(t, fmt.Sprintf("b%d", i), 4, bears, 250*time.Millisecond))
			}
			s.awaitReady()
			for _, b := range targets {
				b.SetBrittle(bears)
			}
			s.sendEvenly(brittleNotice)
			for _, b := range targets {
				b.setRoom(0)
			}
			s.sendBursts(8, 40)
			falls, served := 0, 0
			for _, b := range targets {
				falls += b.falls
				served += b.served
			}
			if allowed := 2 + len(targets)/10; falls > allowed {
				t.Errorf("targets fell over %d times, allowed %d", falls, allowed)
			}
			s.is.True(served > 150) // they are used all the same
		})
	}
}

// sendBursts sends bursts of requests to all daemons in turn, one a second.
func (s *crashCluster) sendBursts(bursts, size int) {
	var wg sync.WaitGroup
	for b := range bursts {
		for i := range size {
			wg.Go(func() {
				s.send(i%len(s.daemons), fmt.Sprintf("burst-%d-%d", b, i), "/safe/x", fmt.Sprint("burst ", b, i))
			})
		}
		time.Sleep(time.Second)
	}
	wg.Wait()
}
