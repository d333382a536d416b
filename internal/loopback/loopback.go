// Package loopback provides a separate loopback address for each process.
package loopback

import (
	"fmt"
	"os"
)

// Addr returns a loopback address, without a port, that no other process uses.
//
// Demos, soak tests and tests close listeners whose port is still dialed. On an address that
// all processes share, the kernel soon assigns such a port to a fake target of another process.
// That target would then respond to requests that it should never receive, and count them.
func Addr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)&0x7f, (pid>>8)&0xff, pid&0xff)
}

// ListenAddr returns Addr with port 0, to listen on a free port.
func ListenAddr() string {
	return Addr() + ":0"
}
