// Package socket asks the kernel about connections without reading from them.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a read would not wait: there are bytes, or the other
// side has closed.
func Readable(raw syscall.RawConn) bool {
	ready := false
	err := raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		ready = err != nil || n != 0
	})
	return ready || err != nil
}
