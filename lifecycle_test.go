package fireflypath_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// A caller leaves while the scheduler sheds its request and the route dispatches it. If two of
// the transitions succeeded, the caller would be told "not run" for work that ran.
func TestLifecycleTransitionHasOneWinner(t *testing.T) {
	is := is.New(t)
	for range 200 {
		var l fireflypath.Lifecycle
		var won atomic.Int32
		var wg sync.WaitGroup
		for _, to := range []fireflypath.State{
			fireflypath.StateDispatched, fireflypath.StateShed,
			fireflypath.StateExpired, fireflypath.StateWithdrawn,
		} {
			wg.Go(func() {
				if l.Transition(fireflypath.StateWaiting, to) {
					won.Add(1)
				}
			})
		}
		wg.Wait()
		is.Equal(won.Load(), int32(1))
	}
}
