// Package boottime tells how much time has gone by, the time in which the host was suspended included.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since some fixed moment. The steady clock that time.Now
// reads stands still while a host is suspended, and the time of day jumps: by
// either, a view of the configuration that is many seconds old could pass for
// young, and a key that was taken away meanwhile would still work.
type Clock interface {
	Elapsed() time.Duration
}

// System is the kernel's clock.
type System struct{}

// Elapsed is the time since the host started.
func (System) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels since 2.6.39 have the clock; the error is for invalid arguments.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
