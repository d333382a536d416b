package testkit

import (
	"fmt"
	"os"
)

// Loopback is a loopback address, without a port, that only this process uses.
//
// Tests close listeners whose port others still dial. If the port is soon
// taken by a stand-in of another test process, that one counts requests which
// its own test never sent.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)&0x7f, (pid>>8)&0xff, pid&0xff)
}
