package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/fake/platform"
	"github.com/fireflypath/fireflypath/internal/fake/service"
)

// Default speeds of the stand-in engine, which fit the lengths in the mixes: a typical
// prompt of 1,600 tokens is processed in 0.2 s and answered at 50 tokens/s.
const (
	defaultPrefill = 8000
	defaultDecode  = 50
	defaultCache   = 64 * 1024
)

func newStandCommand() *cli.Command {
	return &cli.Command{
		Name:  "stand",
		Usage: "run a stand-in of a target or of the platform until a signal ends it",
		Commands: []*cli.Command{
			newStandEngineCommand(),
			newStandServiceCommand(),
			newStandPlatformCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port; port 0 selects a free port"}
}

func newStandEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine with continuous batching",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "batch", Value: 8, Usage: "requests that run concurrently"},
			&cli.FloatFlag{Name: "prefill", Value: defaultPrefill, Usage: "prompt tokens per second; 0 takes no time"},
			&cli.FloatFlag{Name: "decode", Value: defaultDecode, Usage: "tokens per second of each request; 0 takes no time"},
			&cli.IntFlag{Name: "cache", Value: defaultCache, Usage: "tokens of prompt prefixes in the cache"},
			&cli.DurationFlag{Name: "lag", Usage: "delay of load reports and cache events"},
			&cli.IntFlag{Name: "gap", Usage: "drop every n-th cache event; 0 drops none"},
			&cli.BoolFlag{Name: "unfenced", Usage: "ignore the fencing numbers of orders"},
			&cli.BoolFlag{Name: "uncounted", Usage: "keep no counts by request id, for long runs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, err := engine.New(engine.Config{
				Addr:          c.String("listen"),
				Batch:         c.Int("batch"),
				Prefill:       c.Float("prefill"),
				Decode:        c.Float("decode"),
				Cache:         c.Int("cache"),
				Lag:           c.Duration("lag"),
				DropEvery:     c.Int("gap"),
				IgnoreFences:  c.Bool("unfenced"),
				WithoutCounts: c.Bool("uncounted"),
			}, clockwork.NewRealClock())
			if err != nil {
				return err
			}
			return serveUntilSignal(ctx, c, e)
		},
	}
}

func newStandServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service that counts what it ran",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "delay", Usage: "duration of each call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := service.New(service.Config{
				Addr: c.String("listen"), Delay: c.Duration("delay"),
			}, clockwork.NewRealClock())
			if err != nil {
				return err
			}
			return serveUntilSignal(ctx, c, s)
		},
	}
}

func newStandPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "the platform's key-value service and host list",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "rate", Usage: "maximum calls per second; 0 means unlimited"},
			&cli.DurationFlag{Name: "lag", Usage: "age of the host list"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := platform.New(platform.Config{Rate: c.Float("rate"), Lag: c.Duration("lag")}, clockwork.NewRealClock())
			if err := p.Listen(c.String("listen")); err != nil {
				return err
			}
			return serveUntilSignal(ctx, c, p)
		},
	}
}

// standIn is a running stand-in.
type standIn interface {
	Addr() string
	Close() error
}

// serveUntilSignal prints the address and waits for a signal.
func serveUntilSignal(ctx context.Context, c *cli.Command, s standIn) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if _, err := fmt.Fprintf(c.Root().Writer, "%s listens on %s\n", c.Name, s.Addr()); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}
