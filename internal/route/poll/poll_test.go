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

type fixed struct{ *fireflypath.Config }

func (f fixed) Current() *fireflypath.Config   { return f.Config }
func (f fixed) Changed(uint64) <-chan struct{} { return nil }

// watcher reports the targets that it was asked for; the target "e1" is stuck.
type watcher chan string

func (w watcher) Poll(ctx context.Context, t fireflypath.Target) ([]fireflypath.Event, error) {
	select {
	case w <- t.Name:
	case <-ctx.Done():
	}
	if t.Name == "e1" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, nil
}

// hosts gives one list after the other.
type hosts chan []fireflypath.Host

func (h hosts) Hosts(ctx context.Context) ([]fireflypath.Host, error) {
	select {
	case l := <-h:
		return l, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// The platform's list says that a host is leaving. Its target gets no new work
// from the next look on, which is a second away at most, although another
// target is stuck and does not answer.
func TestHostListAndStuckTarget(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	asked, lists := make(watcher), make(hosts)
	told := make(chan string, 4)
	e := evidence.New(func(target, _ string) { told <- "leaving " + target }, func(target string) { told <- "back " + target })
	p := poll.New(poll.Deps{
		Clock: clock, Configs: fixed{testkit.Config([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, nil)},
		Watchers: map[fireflypath.Kind]fireflypath.Watcher{fireflypath.KindEngine: asked},
		Hosts:    lists, Evidence: e, Observe: func(fireflypath.Event) {},
		Serves: func(t fireflypath.Target) bool { return t.Name != "e2" },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx)
	}()
	first := map[string]bool{<-asked: true, <-asked: true}
	is.Equal(first, map[string]bool{"e0": true, "e1": true})
	lists <- []fireflypath.Host{{Addr: "10.0.0.1:1", State: fireflypath.HostLeaving}}
	is.Equal(<-told, "leaving e0")
	again, live := asked, lists
	for again != nil || live != nil {
		clock.Advance(poll.Interval)
		select {
		case name := <-again:
			is.Equal(name, "e0") // e1's read is still under way
			again = nil
		case live <- []fireflypath.Host{{Addr: "10.0.0.1:1", State: fireflypath.HostLive}}:
			live = nil
		default:
			runtime.Gosched() // reads of the last round are not over yet
		}
	}
	is.Equal(<-told, "back e0")
	cancel()
	<-ended
}
