package daemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// maxPartCrashes is how many targets may crash before a part is recognised as the cause.
	maxPartCrashes = 5
	// soundInterval is the time between two sound requests.
	soundInterval = 25 * time.Millisecond
)

// partLoad is a load of prompts, some of which have a part that crashes targets.
type partLoad struct {
	name    string
	targets int
	// delay is how long targets work, away how long they are gone after a crash.
	delay, away time.Duration
	path        string
	// interval is the time between bursts of prompts that crash targets, burst how many are in one.
	interval, lasts time.Duration
	burst           int
	// deadly returns the parts of such a prompt but the last, sound those of the other prompts.
	deadly, sound func(i int) string
	crashing      []string
}

func threeASecond(l partLoad) partLoad {
	l.targets, l.away, l.interval, l.burst, l.lasts = 9, time.Second, time.Second/3, 1, max(l.lasts, 9*time.Second)
	if l.sound == nil {
		l.sound = func(i int) string { return []string{"f1:60,", "f1:60,f2:100,", ""}[i%3] }
	}
	if l.crashing == nil {
		l.crashing = []string{"dd"}
	}
	return l
}

// Prompts that share one part crash each target that begins to answer them, and no two requests are
// alike. If daemons counted crashes by the whole request only, none would ever come twice, and the
// part would take down all targets, with the work of others there.
func TestCrashingPartIsQuarantined(t *testing.T) {
	for _, l := range []partLoad{
		threeASecond(partLoad{name: "second part", path: "/once/x", delay: 5 * time.Millisecond, deadly: func(int) string { return "f1:60,dd:40," }}),
		threeASecond(partLoad{name: "first part, slow", path: "/once/x", delay: 150 * time.Millisecond, deadly: func(int) string { return "dd:40,f2:100," }}),
		threeASecond(partLoad{name: "idempotent", path: "/safe/x", delay: 5 * time.Millisecond, deadly: func(int) string { return "f1:60,dd:40," }}),
		threeASecond(partLoad{
			name: "now here, now there", path: "/once/x", delay: 5 * time.Millisecond,
			deadly: func(i int) string {
				return []string{"dd:40,", "f1:60,dd:40,", "f1:60,f2:100,dd:40,", "f3:3,dd:40,f2:9,"}[i%4]
			},
		}),
		threeASecond(partLoad{
			name: "behind a part that no sound prompt has", path: "/once/x", delay: 5 * time.Millisecond,
			deadly: func(int) string { return "f1:60,zz:10,dd:40," },
		}),
		threeASecond(partLoad{
			name: "two crashing parts", path: "/once/x", delay: 5 * time.Millisecond, crashing: []string{"dd", "ee"},
			lasts: 12 * time.Second, deadly: func(i int) string { return []string{"f1:60,dd:40,", "f1:60,ee:40,"}[i%2] },
		}),
		{
			name: "bursts, four targets", path: "/once/x", delay: 100 * time.Millisecond, away: 3 * time.Second, targets: 4,
			interval: 2 * time.Second, burst: 6, lasts: 15 * time.Second, crashing: []string{"dd"},
			deadly: func(int) string { return "f1:60,dd:40," }, sound: func(int) string { return "f1:60," },
		},
		{
			name: "bursts, twelve targets", path: "/once/x", delay: 100 * time.Millisecond, away: 3 * time.Second, targets: 12,
			interval: 2 * time.Second, burst: 6, lasts: 12 * time.Second, crashing: []string{"dd"},
			deadly: func(int) string { return "f1:60,dd:40," }, sound: func(int) string { return "f1:60," },
		},
	} {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newCrashCluster(t, l.targets)
			s.delay, s.away, s.crashingParts = l.delay, l.away, l.crashing
			t.Cleanup(s.restarts.Wait)
			sent := s.play(l)
			late, total := s.lateArrivals()
			t.Logf("%d crashes, %d arrivals, %d of them late; sound: %d sent after detection, %d served, %d held", len(s.crashes), total, late, sent.late, sent.lateServed, sent.held)
			is.True(late <= maxLateCrashes)
			is.Equal(sent.held, 0)                    // no sound request is held
			is.True(sent.late > 0)                    // some were sent after detection
			is.True(sent.lateServed*10 > sent.late*9) // and were served as ever
		})
	}
}

// lateArrivals returns the largest number of requests with one crashing part that reached targets
// after all daemons should have known the part, and the number of all that reached targets.
func (s *crashCluster) lateArrivals() (late, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part, arrivals := range s.partArrivals {
		total += len(arrivals)
		crashes := s.partCrashes[part]
		if len(crashes) < maxPartCrashes {
			continue
		}
		n := 0
		for _, at := range arrivals {
			if at.Sub(crashes[maxPartCrashes-1]) > detectionTime {
				n++
			}
		}
		late = max(late, n)
	}
	return late, total
}

// soundCounts counts sound requests: those refused as held, and those sent later than twice the
// detection time after the last crash that may happen.
type soundCounts struct {
	held, late, lateServed int
}

// play sends the load's requests to all daemons in turn.
func (s *crashCluster) play(l partLoad) soundCounts {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var counts soundCounts
	end := time.Now().Add(l.lasts)
	var deadly atomic.Int32
	wg.Go(func() {
		for time.Now().Before(end) {
			for range l.burst {
				wg.Go(func() {
					i := int(deadly.Add(1))
					s.sendPrompt(i%len(s.daemons), fmt.Sprintf("deadly-%d", i), l.path, fmt.Sprintf("deadly work %d", i), fmt.Sprintf("%s9%d:7", l.deadly(i), i))
				})
			}
			time.Sleep(l.interval)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		isLate := s.detected(2 * detectionTime)
		wg.Go(func() {
			status, header := s.sendPrompt(i%len(s.daemons), fmt.Sprintf("sound-%d", i), l.path, fmt.Sprintf("sound work %d", i), fmt.Sprintf("%s8%d:7", l.sound(i), i))
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusServiceUnavailable && retryAfter(header) > time.Minute {
				counts.held++
			}
			if !isLate {
				return
			}
			counts.late++
			if status == http.StatusOK {
				counts.lateServed++
			}
		})
		time.Sleep(soundInterval)
	}
	wg.Wait()
	return counts
}

// detected reports whether so much time has passed since each part should have been recognised.
func (s *crashCluster) detected(after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range s.crashingParts {
		crashes := s.partCrashes[part]
		if len(crashes) == 0 || time.Since(crashes[min(len(crashes), maxPartCrashes)-1]) <= after {
			return false
		}
	}
	return true
}

// retryAfter returns the time after which a refused caller may come back.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
