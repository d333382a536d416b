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

// full gives every offer back for want of room, unless peers make some.
type full struct{ *fifo.FIFO }

func (f full) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	out = f.FIFO.Offer(now, w, out)
	return append(out, fireflypath.Shed{Work: w, Reason: fireflypath.ReasonFull, Relief: true})
}

// peers answers each round with the next of its outcomes.
type peers chan outcome

type outcome struct {
	freed int
	err   error
}

func (p peers) Ask(ctx context.Context, _ string, _, _ int) (int, error) {
	select {
	case o := <-p:
		return o.freed, o.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// A pool is full while another daemon holds waiting work of a lower tier. The
// higher request must not be refused before all peers have said that they hold
// none; it waits meanwhile, and is sent if a place gets free.
func TestReliefBeforeRefusal(t *testing.T) {
	tests := []struct {
		name    string
		outcome outcome
		target  bool
		refused bool
	}{
		{name: "none held", refused: true},
		{name: "room made", outcome: outcome{freed: 10}, target: true},
		{name: "no answer", outcome: outcome{err: errors.New("peers gone")}, target: true},
		{name: "place free first", target: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			answers := make(peers)
			p := pool.New("chat", clock, full{fifo.New(fireflypath.Pool{Name: "chat"})}, answers)
			defer p.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
			r := &request.Request{Config: &fireflypath.Config{}, Turn: make(chan request.Turn, 1)}
			r.Work.Deadline = clock.Now().Add(time.Minute)
			done := make(chan error, 1)
			go func() { done <- p.Wait(t.Context(), r) }()
			if tt.name != "place free first" {
				answers <- tt.outcome
			}
			if tt.target {
				p.SetTargets([]fireflypath.Target{{Name: "e", Pool: "chat"}})
			}
			err := <-done
			var ref *fireflypath.Refusal
			is.Equal(errors.As(err, &ref), tt.refused)
			if tt.refused {
				is.Equal(ref.Run, fireflypath.RunNo)
				is.Equal(r.Work.Life.State(), fireflypath.StateShed)
			} else {
				is.Equal(r.Target.Name, "e")
			}
		})
	}
}
