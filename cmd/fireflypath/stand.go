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

// Speeds of a stand-in engine that fit the lengths of the mixes: a usual prompt
// of 1,600 tokens is read in 0.2 s and answered at 50 tokens a second.
const (
	standPrefill = 8000
	standDecode  = 50
	standCache   = 64 * 1024
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
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP number and port; port 0 takes a free one"}
}

func newStandEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine with continuous batching",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "batch", Value: 8, Usage: "requests that run at once"},
			&cli.FloatFlag{Name: "prefill", Value: standPrefill, Usage: "prompt tokens a second; 0 takes no time"},
			&cli.FloatFlag{Name: "decode", Value: standDecode, Usage: "tokens a second of each request; 0 takes no time"},
			&cli.IntFlag{Name: "cache", Value: standCache, Usage: "tokens of prompt prefixes kept"},
			&cli.DurationFlag{Name: "lag", Usage: "how late load reports and cache events are"},
			&cli.IntFlag{Name: "gap", Usage: "lose each such cache event; 0 loses none"},
			&cli.BoolFlag{Name: "unfenced", Usage: "ignore fencing numbers of orders"},
			&cli.BoolFlag{Name: "uncounted", Usage: "keep no counts by request id, for long runs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, err := engine.New(engine.Config{
				Addr:      c.String("listen"),
				Batch:     c.Int("batch"),
				Prefill:   c.Float("prefill"),
				Decode:    c.Float("decode"),
				Cache:     c.Int("cache"),
				Lag:       c.Duration("lag"),
				Gap:       c.Int("gap"),
				Unfenced:  c.Bool("unfenced"),
				Uncounted: c.Bool("uncounted"),
			}, clockwork.NewRealClock())
			if err != nil {
				return err
			}
			return serve(ctx, c, e)
		},
	}
}

func newStandServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service that counts what it ran",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "delay", Usage: "how long each call takes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := service.New(service.Config{
				Addr: c.String("listen"), Delay: c.Duration("delay"),
			}, clockwork.NewRealClock())
			if err != nil {
				return err
			}
			return serve(ctx, c, s)
		},
	}
}

func newStandPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "the platform's key-value service and host list",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "rate", Usage: "calls a second that are answered; 0 is any number"},
			&cli.DurationFlag{Name: "lag", Usage: "how old the list of hosts is"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := platform.New(platform.Config{Rate: c.Float("rate"), Lag: c.Duration("lag")}, clockwork.NewRealClock())
			if err := p.Listen(c.String("listen")); err != nil {
				return err
			}
			return serve(ctx, c, p)
		},
	}
}

// stand is a running stand-in.
type stand interface {
	Addr() string
	Close() error
}

// serve prints the address and waits for a signal.
func serve(ctx context.Context, c *cli.Command, s stand) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if _, err := fmt.Fprintf(c.Root().Writer, "%s listens on %s\n", c.Name, s.Addr()); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}
