package demo_test

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/demo"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// Two of four daemons are killed while requests wait in them, an engine dies,
// connections go silent, streams break and a target leaves. Every caller must still get
// its own complete answer or a correct refusal, and no delivery may run twice even if
// callers retry it on another daemon.
func TestDemoUnderFaults(t *testing.T) {
	is := is.New(t)
	d := demo.New(demo.Options{
		Mix: mix.Pozo(), Daemons: 4, Kill: 2, Rate: 40, Duration: 3 * time.Second, Seed: 7,
	}, clockwork.NewRealClock())
	defer d.Close()
	r, err := d.Run(t.Context())
	is.NoErr(err)
	is.True(r.Load.Sent > 100)
	is.Equal(r.Load.Sent, r.Load.Whole+r.Load.Refused+r.Lost)
	is.Equal(r.Load.Errors, nil)
	is.Equal(r.Lost, 0)
	is.Equal(r.Duplicates, 0)
	is.Equal(r.FalseRefusals, 0)
}

// Guards against demos on a shared loopback address: after a daemon is killed, the
// kernel may give its port to a fake of another process, which then answers callers
// that still dial it. One demo reports wrong answers, the other one requests that it
// never sent.
func TestDemoListensOnExclusiveLoopbackAddress(t *testing.T) {
	is := is.New(t)
	d := demo.New(demo.Options{
		Mix: mix.Pozo(), Daemons: 3, Rate: 40, Duration: 100 * time.Millisecond, Seed: 7, NoFaults: true,
	}, clockwork.NewRealClock())
	defer d.Close()
	_, err := d.Run(t.Context())
	is.NoErr(err)
	var calls bytes.Buffer
	is.NoErr(d.PrintCalls(&calls))
	urls := regexp.MustCompile(`http://([0-9.]+):`).FindAllStringSubmatch(calls.String(), -1)
	is.True(len(urls) > 15)
	for _, u := range urls {
		is.Equal(u[1], loopback.Addr())
	}
}
