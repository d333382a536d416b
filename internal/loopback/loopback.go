// Package loopback gives each process a loopback address of its own.
package loopback

import (
	"fmt"
	"os"
)

// Addr is a loopback address, without a port, that only this process uses.
//
// Demos, soaks and tests kill listeners whose port others still dial. On an
// address that all processes share, the kernel soon gives that port to a
// stand-in of another process: requests then reach a stranger, which answers
// them and counts what its own callers never sent.
func Addr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)&0x7f, (pid>>8)&0xff, pid&0xff)
}

// ListenAddr is Addr with port 0, for a listener on a free port.
func ListenAddr() string {
	return Addr() + ":0"
}
