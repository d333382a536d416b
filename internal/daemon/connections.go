package daemon

import (
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath/internal/gate/callerconn"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/tunnel"
)

// Parts of the descriptors that each way into the daemon may use. The rest is for connections to targets and
// the store, and for files.
const (
	callerDescriptors = 5.0 / 8
	peerDescriptors   = 1.0 / 8
	tunnelDescriptors = 1.0 / 16
)

const (
	// maxReadyConnections is more than a load balancer with several instances needs, and
	// maxOperatorConnections more than operators and scrapers of metrics do.
	maxReadyConnections    = 16
	maxOperatorConnections = 32
	// minConnections is the limit of each way in that is derived from the descriptors.
	minConnections = 8
	// callerMemoryShare is the part of the host's memory for the connections of callers, connectionMemory what
	// one of them costs with its buffers, its goroutines and its unread bytes, in bytes.
	callerMemoryShare = 0.35
	connectionMemory  = 24<<10 + callerconn.ReceiveBuffer
	// defaultDescriptors is used if the system does not tell its limit.
	defaultDescriptors = 4096
)

// Receive buffers in bytes of connections from others than callers.
const (
	readyReceiveBuffer    = 4 << 10
	operatorReceiveBuffer = 16 << 10
	// ownReceiveBuffer is that of callers without a gate.
	ownReceiveBuffer = 64 << 10
)

// maxCallerConnections returns how many connections callers may have open.
func (d *Daemon) maxCallerConnections() int {
	if d.cfg.Limits.Connections > 0 {
		return d.cfg.Limits.Connections
	}
	limit := shareOf(maxDescriptors(), callerDescriptors)
	if total := d.hostMemory(); total > 0 {
		limit = min(limit, shareOf(int(total/connectionMemory), callerMemoryShare))
	}
	return limit
}

// maxPeerConnections returns how many connections other daemons may have opened to this one.
func maxPeerConnections() int {
	return min(peer.MaxAcceptedConnections, shareOf(maxDescriptors(), peerDescriptors))
}

// maxTunnels returns how many connections to targets may be open for other daemons.
func maxTunnels() int {
	return min(tunnel.MaxServed, shareOf(maxDescriptors(), tunnelDescriptors))
}

// shareOf returns a part of n.
func shareOf(n int, share float64) int {
	return max(minConnections, int(share*float64(n)))
}

// maxDescriptors returns how many descriptors the process may open.
func maxDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxUsedDescriptors))
}

// maxUsedDescriptors bounds the limits that are derived from the descriptors of hosts without a limit.
const maxUsedDescriptors = 1 << 16
