package stall_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/stall"
)

var timeouts = stall.Timeouts{FirstByte: 2 * time.Second, Idle: time.Second, Total: 5 * time.Second}

// link returns one byte per read, each after a delay.
type link struct {
	clock *clockwork.FakeClock
	delay time.Duration
}

func (l link) Read(p []byte) (int, error) {
	l.clock.Advance(l.delay)
	return strings.NewReader("x").Read(p)
}

// A slow transfer that takes longer than the idle timeout must continue as long as bytes
// arrive.
func TestSlowTransferContinues(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	ctx, w := stall.New(t.Context(), clock, timeouts)
	defer w.Close()
	clock.Advance(time.Second)
	_, err := io.CopyN(io.Discard, w.Reader(link{clock, 900 * time.Millisecond}), 4)
	is.NoErr(err)
	is.NoErr(ctx.Err())
}

func TestStalledTransferIsAborted(t *testing.T) {
	for name, fail := range map[string]func(*clockwork.FakeClock, io.Reader){
		"nothing comes": func(clock *clockwork.FakeClock, _ io.Reader) {
			clock.Advance(timeouts.FirstByte)
		},
		"bytes come, then no more": func(clock *clockwork.FakeClock, r io.Reader) {
			_, _ = io.CopyN(io.Discard, r, 1)
			clock.Advance(timeouts.Idle)
		},
		"a byte now and then for ever": func(clock *clockwork.FakeClock, r io.Reader) {
			for range 6 {
				_, _ = io.CopyN(io.Discard, r, 1)
				clock.Advance(timeouts.Idle - time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			ctx, w := stall.New(t.Context(), clock, timeouts)
			defer w.Close()
			fail(clock, w.Reader(link{clock, 0}))
			<-ctx.Done()
			is.True(errors.Is(context.Cause(ctx), stall.ErrStalled))
		})
	}
}

func TestCloseCancelsContext(t *testing.T) {
	is := is.New(t)
	ctx, w := stall.New(t.Context(), clockwork.NewFakeClock(), timeouts)
	w.Close()
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), context.Canceled))
}
