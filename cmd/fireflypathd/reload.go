package main

import (
	"reflect"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/hangup"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// reloadOnSignal reads and validates the settings file at each SIGHUP and logs the result.
// Changes take effect at the next start. Everything that can change in a running daemon
// comes from the platform's store.
func reloadOnSignal(path string, cfg *settings.Settings, log *zap.Logger) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-hangup.Signals:
			}
			next, err := settings.Load(path)
			if err != nil {
				log.Error("settings file is invalid, keeping the current settings", logs.Err(err))
				continue
			}
			log.Info("settings file is valid, changes take effect at the next start", zap.Bool("changed", !reflect.DeepEqual(next, cfg)))
		}
	}()
	return func() { close(done) }
}
