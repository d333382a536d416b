package demo_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/demo"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// Two of four daemons are killed while requests wait at them, an engine dies,
// connections go silent, streams break and a target leaves. Each caller must
// still end with its own whole answer or a true refusal, and no delivery may
// run twice although callers send it again elsewhere.
func TestDemoUnderFaults(t *testing.T) {
	is := is.New(t)
	d := demo.New(demo.Options{
		Mix: mix.Pozo(), Daemons: 4, Kill: 2, Rate: 40, For: 3 * time.Second, Seed: 7,
	}, clockwork.NewRealClock())
	defer d.Close()
	r, err := d.Run(t.Context())
	is.NoErr(err)
	is.True(r.Load.Sent > 100)
	is.Equal(r.Load.Sent, r.Load.Whole+r.Load.Refused+r.Lost)
	is.Equal(r.Load.Errors, nil)
	is.Equal(r.Lost, 0)
	is.Equal(r.Twice, 0)
	is.Equal(r.Untrue, 0)
}
