package load_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/load"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// sender answers by the arrival's sequence number: after a second, late, with a refusal,
// or with an error.
type sender struct{}

func (sender) Send(_ context.Context, a mix.Arrival, first func()) (*fireflypath.Refusal, error) {
	time.Sleep(time.Second)
	first()
	switch a.Seq % 4 {
	case 1:
		time.Sleep(time.Minute)
	case 2:
		return &fireflypath.Refusal{Code: fireflypath.ReasonFull, Run: fireflypath.RunNo, Detail: "no room"}, nil
	case 3:
		return nil, errors.New("gone")
	}
	return nil, nil
}

func TestRunIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := mix.Meelwerk()
		var arrivals []mix.Arrival
		for i := range 8 {
			arrivals = append(arrivals, mix.Arrival{Seq: i, At: time.Duration(i) * time.Millisecond, Deadline: 2 * time.Second})
		}
		tally := load.NewTally(m)
		load.Run(t.Context(), clockwork.NewRealClock(), slices.Values(arrivals), sender{}, tally)
		r := tally.Report(2 * time.Second)
		is.Equal([]int{r.Sent, r.Whole, r.InTime, r.Refused, r.Failed}, []int{8, 4, 2, 2, 2})
		tier := r.Tiers[0]
		is.Equal(tier.Goodput, 1.0)
		is.True(tier.First.Max >= 1000 && tier.First.Max < 1002) // no request waited for another
		is.True(tier.Answer.P50 < 1002 && tier.Answer.Max > 60_000)
		is.Equal(r.Codes, []load.CodeCount{{Code: fireflypath.ReasonFull, Run: fireflypath.RunNo, Count: 2, Example: "no room"}})
		is.Equal(r.Errors, []string{"gone", "gone"})
	})
}
