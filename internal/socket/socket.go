// Package socket queries the state of connections without reading from them.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a read would return without waiting, because there are bytes to
// read, the other side closed the connection or the socket has an error.
func Readable(raw syscall.RawConn) bool {
	ready := false
	err := raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		ready = err != nil || n != 0
	})
	return ready || err != nil
}
