package main

import (
	"reflect"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/hangup"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// reload reads the settings file again at each SIGHUP. What changed is in force from the next start on;
// all that changes while a daemon runs comes from the platform's store.
func reload(path string, cfg *settings.Settings, log *zap.Logger) (stop func()) {
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
				log.Error("settings refused, the last good ones stay in force", logs.Cause(err))
				continue
			}
			log.Info("settings read again", zap.Bool("changed", !reflect.DeepEqual(next, cfg)))
		}
	}()
	return func() { close(done) }
}
