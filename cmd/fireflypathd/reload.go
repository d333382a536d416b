package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// reload reads the settings file again at each SIGHUP, which would end the
// process if nobody took it. What changed is in force from the next start on;
// all that changes while a daemon runs comes from the platform's store.
func reload(path string, cfg *settings.Settings, log *zap.Logger) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-signals:
			}
			next, err := settings.Load(path)
			if err != nil {
				log.Error("settings refused, the last good ones stay in force", logs.Cause(err))
				continue
			}
			log.Info("settings read again", zap.Bool("changed", !reflect.DeepEqual(next, cfg)))
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
