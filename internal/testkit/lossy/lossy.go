// Package lossy provides TCP listeners whose network loses packets of chosen clients.
package lossy

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Listener is a TCP listener on the loopback interface. Its kernel drops packets before TCP
// processes them, so that clients whose packets are dropped see what a lost path looks like: dials
// hang, and nothing on a connection is acknowledged. Clients are told apart by their IP addresses.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Listen listens on a loopback address.
func Listen(addr string) (*Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // its sockets take no filters
	ln, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return Wrap(ln)
}

// Wrap returns a Listener that accepts from a TCP listener without multipath TCP.
func Wrap(ln net.Listener) (*Listener, error) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Newf("%T is no TCP listener", ln)
	}
	return &Listener{Listener: tcp, conns: map[net.Conn]bool{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), l: l}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// DropNew drops the packets of new connections from the clients.
func (l *Listener) DropNew(clients ...net.IP) error {
	return dropFrom(l.Listener.(*net.TCPListener), clients)
}

// Drop drops all packets from the clients.
func (l *Listener) Drop(clients ...net.IP) error {
	err := l.DropNew(clients...)
	for _, c := range l.connsFrom(clients) {
		err = errors.CombineErrors(err, dropFrom(c, clients))
	}
	return err
}

// Reset resets the connections from the clients.
func (l *Listener) Reset(clients ...net.IP) {
	for _, c := range l.connsFrom(clients) {
		// An error means that the connection is closed already.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// Restore ends all losses.
func (l *Listener) Restore() error {
	err := restore(l.Listener.(*net.TCPListener))
	for _, c := range l.connsFrom(nil) {
		err = errors.CombineErrors(err, restore(c))
	}
	return err
}

// connsFrom returns the open connections from the clients, or all if there are none.
func (l *Listener) connsFrom(clients []net.IP) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*conn
	for c := range l.conns {
		remote := c.RemoteAddr().(*net.TCPAddr).IP
		matches := clients == nil
		for _, client := range clients {
			matches = matches || client.Equal(remote)
		}
		if matches {
			out = append(out, c.(*conn))
		}
	}
	return out
}

// conn is an accepted connection.
type conn struct {
	*net.TCPConn
	l *Listener
}

func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.TCPConn.Close()
}

const (
	// sourceOffset is where a socket filter finds the source address: in the IPv4 header, 12
	// bytes from its start, which linux/filter.h places at SKF_NET_OFF.
	sourceOffset = 0xfff00000 + 12
	acceptPacket = 0xffffffff
	dropPacket   = 0
)

// dropFrom attaches a socket filter that drops packets from the clients.
func dropFrom(c syscall.Conn, clients []net.IP) error {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for i, client := range clients {
		remaining := uint8(len(clients) - i)
		filter = append(filter, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: remaining, K: binary.BigEndian.Uint32(client.To4()),
		})
	}
	filter = append(filter,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket})
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// restore detaches the filter.
func restore(c syscall.Conn) error {
	return control(c, func(fd int) error {
		err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		if errors.Is(err, unix.ENOENT) {
			return nil // it had none
		}
		return err
	})
}

func control(c syscall.Conn, fn func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) { result = fn(int(fd)) })
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.CombineErrors(err, result)
}
