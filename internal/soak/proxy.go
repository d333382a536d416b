package soak

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath/internal/testkit/lossy"
)

// proxy forwards connections to an address and injects network faults.
type proxy struct {
	ln *lossy.Listener
	to string

	// delay is added before each chunk of data is forwarded, in nanoseconds.
	delay atomic.Int64
	// dropTo drops data that is sent to the address, dropFrom data from it.
	dropTo, dropFrom atomic.Bool
	refuse           atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	// sources holds the addresses of clients by those from which the proxy forwards their connections.
	sources map[string]net.IP
	// losses holds when bytes were lost or connections reset.
	losses []time.Time
}

func (p *proxy) recordLoss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, time.Now())
}

// lostBetween reports whether bytes were lost or connections reset between two times.
func (p *proxy) lostBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.losses, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

func newProxy(ps *ports, to string) (*proxy, error) {
	ln, err := ps.listen()
	if err != nil {
		return nil, err
	}
	lossyListener, err := lossy.Wrap(ln)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: lossyListener, to: to, conns: map[net.Conn]bool{}, sources: map[string]net.IP{}}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	o, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = true
	p.sources[o.LocalAddr().String()] = c.RemoteAddr().(*net.TCPAddr).IP
	p.mu.Unlock()
	go p.copy(o, c, &p.dropTo)
	p.copy(c, o, &p.dropFrom)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.sources, o.LocalAddr().String())
	p.mu.Unlock()
}

// clientOf returns the address of the client whose connection is forwarded from an address, or nil.
func (p *proxy) clientOf(addr string) net.IP {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sources[addr]
}

// copy forwards one direction of a connection, and a reset as a reset. A connection that
// has lost bytes stays silent until it ends, because TCP delivers nothing after a gap.
// clearFaults cannot undo this: if two faults of a proxy overlap, the end of the first
// ends both.
func (p *proxy) copy(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		lost = lost || n > 0 && drop.Load()
		if n > 0 && lost {
			p.recordLoss()
		}
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) && !lost {
			to.Close()
			from.Close()
			return
		}
		if err != nil {
			break
		}
	}
	reset(to)
	reset(from)
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.recordLoss()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// clearFaults ends all faults of the proxy.
func (p *proxy) clearFaults() {
	p.delay.Store(0)
	p.dropTo.Store(false)
	p.dropFrom.Store(false)
	p.refuse.Store(false)
}

func (p *proxy) close() {
	p.ln.Close()
	p.resetAll()
}

func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// Ways in which a path is lost.
const (
	cutHang = iota
	cutReset
)

// cut takes the path from clients: their connections hang, are reset, or live on while new ones hang.
func (p *proxy) cut(how int, clients []net.IP) error {
	p.recordLoss()
	switch how {
	case cutHang:
		return p.ln.Drop(clients...)
	case cutReset:
		err := p.ln.DropNew(clients...)
		p.ln.Reset(clients...)
		return err
	default:
		return p.ln.DropNew(clients...)
	}
}
