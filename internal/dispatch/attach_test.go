package dispatch_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// isolate cuts a daemon off from others, or connects it again.
func (f *noticeFleet) isolate(daemon string, cut bool, others ...string) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	for _, o := range others {
		f.cut[[2]string{daemon, o}] = cut
	}
}

// requestAtOnce sends requests to one daemon at once.
func (f *noticeFleet) requestAtOnce(daemon string, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f.request(f.nodes[daemon], fmt.Sprint(daemon, "-", time.Now().UnixNano(), "-", i)) })
	}
	wg.Wait()
}

// Guards against requests that are cut off at a target that is shutting down: a daemon has attached to
// a dispatcher that knew of it, has not learned it there, and then places its work itself.
func TestDaemonThatAttachesLearnsWhatItsDispatcherKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startNoticeFleet(t, 3, 2)
		f.run(30, time.Second)
		f.isolate("d2", true, "d0", "d1")
		time.Sleep(4 * time.Second)
		f.declare("t0", fireflypath.Notice{Leaving: true})
		declaredAt := time.Now()
		f.requestAtOnce("d0", 3)
		f.requestAtOnce("d1", 3)
		is.True(f.mostInWindow("t0", declaredAt) > 0) // the others have such answers
		f.isolate("d2", false, "d0", "d1")
		time.Sleep(8 * time.Second) // it has attached, and sent no request since
		f.isolate("d2", true, "d0", "d1")
		time.Sleep(2 * time.Second)
		from := time.Now()
		f.requestAtOnce("d2", 20)
		is.Equal(f.mostInWindow("t0", from), 0)
	})
}
