package soak

import (
	"errors"
	"net"
	"sync"

	"github.com/fireflypath/fireflypath/internal/loopback"
)

// ports are those of the daemons. A daemon that is down holds none, and the kernel gives
// them to any listener on a free port: a target that starts meanwhile would keep the
// daemon from coming back.
type ports struct {
	mu   sync.Mutex
	kept map[int]bool
}

func newPorts() *ports {
	return &ports{kept: map[int]bool{}}
}

// errNoPort means that all ports tried are kept.
var errNoPort = errors.New("no port is free that is not kept for a daemon")

// portTries bounds the ports tried.
const portTries = 100

// listen listens on a free port that is not a daemon's.
func (p *ports) listen() (net.Listener, error) {
	for range portTries {
		ln, err := net.Listen("tcp", loopback.ListenAddr())
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		kept := p.kept[ln.Addr().(*net.TCPAddr).Port]
		p.mu.Unlock()
		if !kept {
			return ln, nil
		}
		ln.Close()
	}
	return nil, errNoPort
}

// reserve finds ports for so many daemons and keeps them for the whole run. They are
// listened on until release: two daemons would get one port otherwise.
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
			p.kept[port] = true
			p.mu.Unlock()
		}
	}
	return found, release, nil
}
