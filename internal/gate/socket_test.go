package gate_test

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// awaitAcknowledgement returns once the other end has received all bytes, or after some seconds: a reset
// would discard those that are still on their way.
func awaitAcknowledgement(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		unsent := 0
		_ = raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil || unsent == 0 {
			return
		}
	}
}
