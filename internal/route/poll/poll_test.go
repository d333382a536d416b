package poll_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/poll"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

type staticConfig struct{ *fireflypath.Config }

func (s staticConfig) Current() *fireflypath.Config   { return s.Config }
func (s staticConfig) Changed(uint64) <-chan struct{} { return nil }

// pollRecorder sends the name of each polled target; the target "e1" never answers.
type pollRecorder chan string

func (p pollRecorder) Poll(ctx context.Context, t fireflypath.Target) ([]fireflypath.Event, error) {
	select {
	case p <- t.Name:
	case <-ctx.Done():
	}
	if t.Name == "e1" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, nil
}

// scriptedHosts returns the lists in the channel one after the other.
type scriptedHosts chan []fireflypath.Host

func (h scriptedHosts) Hosts(ctx context.Context) ([]fireflypath.Host, error) {
	select {
	case l := <-h:
		return l, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against an unresponsive target that delays the polling of others: a host
// that the platform's list shows as leaving is reported at the next poll, which is
// at most a second away, while another target does not answer.
func TestUnresponsiveTargetDelaysNoOtherReads(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	polled, lists := make(pollRecorder), make(scriptedHosts)
	reports := make(chan string, 4)
	e := evidence.New(
		func(target, _ string) { reports <- "leaving " + target }, func(target string) { reports <- "back " + target },
	)
	p := poll.New(poll.Deps{
		Clock: clock, Configs: staticConfig{testkit.Config([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, nil)},
		Watchers: map[fireflypath.PoolKind]fireflypath.Watcher{fireflypath.KindEngine: polled},
		Hosts:    lists, Evidence: e, Observe: func(fireflypath.Event) {},
		Serves: func(t fireflypath.Target) bool { return t.Name != "e2" },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx)
	}()
	first := map[string]bool{<-polled: true, <-polled: true}
	is.Equal(first, map[string]bool{"e0": true, "e1": true})
	lists <- []fireflypath.Host{{Addr: "10.0.0.1:1", State: fireflypath.HostLeaving}}
	is.Equal(<-reports, "leaving e0")
	again, live := polled, lists
	for again != nil || live != nil {
		clock.Advance(poll.Interval)
		select {
		case name := <-again:
			is.Equal(name, "e0") // the read of e1 is still in progress
			again = nil
		case live <- []fireflypath.Host{{Addr: "10.0.0.1:1", State: fireflypath.HostLive}}:
			live = nil
		default:
			runtime.Gosched() // until the reads of the last round have ended
		}
	}
	is.Equal(<-reports, "back e0")
	cancel()
	<-ended
}
