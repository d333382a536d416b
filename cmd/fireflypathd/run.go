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

// defaultDrainTimeout is longer than the longest answers, which take minutes.
const defaultDrainTimeout = 5 * time.Minute

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "run the daemon until a signal; a second signal aborts a planned stop",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runDaemon,
	}
}

func runDaemon(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	cfg, err := settings.Load(path)
	if err != nil {
		return inputError{err}
	}
	w := logs.NewWriter(os.Stdout)
	defer w.Close() //nolint:errcheck // Close never fails.
	log, err := newLogger(cfg.LogLevel, w)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.New(*cfg, daemon.Deps{Log: log})
	if err != nil {
		return inputError{err}
	}
	stopReload := reloadOnSignal(path, cfg, log)
	defer stopReload()
	if err := startDaemon(ctx, d, signals); err != nil {
		return err
	}
	s := <-signals
	log.Info("stopping", zap.Stringer("signal", s))
	err = stopDaemon(ctx, d, cfg.Stop.DrainTimeout.Std(), signals)
	log.Info("stopped", logs.Err(err), zap.Int64("dropped", w.Dropped()))
	return err
}

// startDaemon aborts the start at a signal: a daemon without a configuration waits for one
// while the platform's service and all peers are unavailable.
func startDaemon(ctx context.Context, d *daemon.Daemon, signals chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := make(chan struct{})
	defer close(started)
	go func() {
		select {
		case s := <-signals:
			cancel()
			// If the start has completed nevertheless, runDaemon must receive the signal.
			signals <- s
		case <-started:
		}
	}()
	return d.Start(ctx)
}

// stopDaemon waits for requests in progress until the timeout or a second signal.
func stopDaemon(ctx context.Context, d *daemon.Daemon, timeout time.Duration, signals <-chan os.Signal) error {
	if timeout == 0 {
		timeout = defaultDrainTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

func newLogger(level string, w *logs.Writer) (*zap.Logger, error) {
	if level == "" {
		level = "info"
	}
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, inputError{err}
	}
	return logs.New(w, l), nil
}
