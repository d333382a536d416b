package soak

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/fireflypath/fireflypath/internal/loopback"
)

// ports reserves the ports of the daemons. A daemon that is down does not occupy its
// ports, and the kernel could assign them to a target that starts meanwhile, so that the
// daemon could not restart.
type ports struct {
	mu       sync.Mutex
	reserved map[int]bool
}

func newPorts() *ports {
	return &ports{reserved: map[int]bool{}}
}

// errNoPort means that all assigned ports are reserved.
var errNoPort = errors.New("no free port that is not reserved for a daemon")

// maxPortAttempts limits the attempts to find a port that is not reserved.
const maxPortAttempts = 100

// listen listens on a free port that is not reserved for a daemon.
func (p *ports) listen() (net.Listener, error) {
	for range maxPortAttempts {
		var cfg net.ListenConfig
		cfg.SetMultipathTCP(false) // its sockets take no filters
		ln, err := cfg.Listen(context.Background(), "tcp", loopback.ListenAddr())
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		kept := p.reserved[ln.Addr().(*net.TCPAddr).Port]
		p.mu.Unlock()
		if !kept {
			return ln, nil
		}
		ln.Close()
	}
	return nil, errNoPort
}

// reserve reserves ports for a number of daemons for the whole run. The ports are occupied
// until release is called, because otherwise the kernel could assign the same port twice.
func (p *ports) reserve(daemons int) (found [][4]int, release func(), err error) {
	var lns []net.Listener
	release = func() {
		for _, ln := range lns {
			ln.Close()
		}
	}
	found = make([][4]int, daemons)
	for d := range found {
		for i := range found[d] {
			ln, err := p.listen()
			if err != nil {
				release()
				return nil, nil, err
			}
			lns = append(lns, ln)
			port := ln.Addr().(*net.TCPAddr).Port
			found[d][i] = port
			p.mu.Lock()
			p.reserved[port] = true
			p.mu.Unlock()
		}
	}
	return found, release, nil
}
