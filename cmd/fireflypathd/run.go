package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// defaultLimit is above the longest answers, which take minutes.
const defaultLimit = 5 * time.Minute

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "serve until a signal; a second signal ends a planned stop",
		Flags:  []cli.Flag{settingsFlag()},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	cfg, err := settings.Load(path)
	if err != nil {
		return input{err}
	}
	w := logs.NewWriter(os.Stdout)
	defer w.Close() //nolint:errcheck // it never fails
	log, err := logger(cfg.LogLevel, w)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.New(*cfg, daemon.Deps{Log: log})
	if err != nil {
		return input{err}
	}
	stopReload := reload(path, cfg, log)
	defer stopReload()
	if err := start(ctx, d, signals); err != nil {
		return err
	}
	s := <-signals
	log.Info("planned stop", zap.Stringer("signal", s))
	err = stop(ctx, d, cfg.Stop.DrainTimeout.Std(), signals)
	log.Info("stopped", logs.Cause(err), zap.Int64("dropped", w.Dropped()))
	return err
}

// start gives up at a signal: a daemon without a configuration waits for one
// as long as the platform's service and all peers are away.
func start(ctx context.Context, d *daemon.Daemon, signals chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := make(chan struct{})
	defer close(started)
	go func() {
		select {
		case s := <-signals:
			cancel()
			// If the start was done all the same, the signal is still due.
			signals <- s
		case <-started:
		}
	}()
	return d.Start(ctx)
}

// stop gives requests in progress until the limit or a second signal.
func stop(ctx context.Context, d *daemon.Daemon, limit time.Duration, signals <-chan os.Signal) error {
	if limit == 0 {
		limit = defaultLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return errors.Wrap(d.Stop(ctx), "stop")
}

func logger(level string, w *logs.Writer) (*zap.Logger, error) {
	if level == "" {
		level = "info"
	}
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, input{err}
	}
	return logs.New(w, l), nil
}
