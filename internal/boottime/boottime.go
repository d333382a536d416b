// Package boottime provides a clock that includes the time in which the host was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since some fixed moment. The monotonic clock that time.Now reads stops while
// a host is suspended, and the wall clock can jump. With either, a view of the configuration that is
// many seconds old could be taken for a recent one, and a key that was revoked meanwhile would still
// work.
type Clock interface {
	Elapsed() time.Duration
}

// System is the boot-time clock of the kernel.
type System struct{}

// Elapsed returns the time since the host was booted.
func (System) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels since 2.6.39 have this clock; the only errors are for invalid arguments.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
