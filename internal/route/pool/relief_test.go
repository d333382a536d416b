package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
	"github.com/fireflypath/fireflypath/internal/testkit/fifo"
)

// fullScheduler sheds every offered request as full and asks for relief by peers.
type fullScheduler struct{ *fifo.FIFO }

func (f fullScheduler) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	out = f.FIFO.Offer(now, w, out)
	return append(out, fireflypath.Shed{Work: w, Reason: fireflypath.ReasonFull, Relief: true})
}

// scriptedRelief answers each call of Ask with the next result in the channel.
type scriptedRelief chan reliefResult

type reliefResult struct {
	freed int
	err   error
}

func (r scriptedRelief) Ask(ctx context.Context, _ string, _, _ int) (int, error) {
	select {
	case o := <-r:
		return o.freed, o.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Guards against refusing a request of a full pool while another daemon holds
// waiting requests of a lower tier. The request keeps waiting until all peers
// have reported that they hold none, and is dispatched if a target becomes free.
func TestPeersAreAskedBeforeRefusal(t *testing.T) {
	tests := []struct {
		name    string
		result  reliefResult
		target  bool
		refused bool
	}{
		{name: "peers hold no lower tier", refused: true},
		{name: "peers freed tokens", result: reliefResult{freed: 10}, target: true},
		{name: "peers do not answer", result: reliefResult{err: errors.New("peers unreachable")}, target: true},
		{name: "target free before the answer", target: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			answers := make(scriptedRelief)
			p := pool.New("chat", clock, fullScheduler{fifo.New(fireflypath.Pool{Name: "chat"})}, answers)
			defer p.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
			r := &request.Request{Config: &fireflypath.Config{}, WaitResult: make(chan request.WaitResult, 1)}
			r.Work.Deadline = clock.Now().Add(time.Minute)
			done := make(chan error, 1)
			go func() { done <- p.Wait(t.Context(), r) }()
			if tt.name != "target free before the answer" {
				answers <- tt.result
			}
			if tt.target {
				p.SetTargets([]fireflypath.Target{{Name: "e", Pool: "chat"}})
			}
			err := <-done
			var refusal *fireflypath.Refusal
			is.Equal(errors.As(err, &refusal), tt.refused)
			if tt.refused {
				is.Equal(refusal.Run, fireflypath.RunNo)
				is.Equal(r.Work.Lifecycle.State(), fireflypath.StateShed)
			} else {
				is.Equal(r.Target.Name, "e")
			}
		})
	}
}
