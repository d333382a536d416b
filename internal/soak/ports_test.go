package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// While a daemon is down, a target must not be given its port. Otherwise the daemon cannot
// restart, and the soak test reports that as a fault of the daemon.
func TestListenAvoidsReservedPorts(t *testing.T) {
	is := is.New(t)
	p := newPorts()
	found, release, err := p.reserve(50)
	is.NoErr(err)
	release()
	kept := map[int]bool{}
	for _, ports := range found {
		for _, port := range ports {
			is.True(!kept[port]) // each port is reserved once
			kept[port] = true
		}
	}
	for range 2000 {
		ln, err := p.listen()
		is.NoErr(err)
		is.True(!kept[ln.Addr().(*net.TCPAddr).Port])
		ln.Close()
	}
}
