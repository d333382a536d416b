package daemon

import (
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath/internal/memory"
)

const (
	// heldMemoryShare is the part of the host's memory that may be held for callers and peers. The
	// garbage collector takes as much again, and the daemon itself needs the rest.
	heldMemoryShare = 0.25
	// largeShare is the part of that memory that large bodies and answers may use.
	largeShare = 0.75
	// defaultHeldMemory is the limit in bytes if neither it nor the host's memory is known.
	defaultHeldMemory = 64 << 20
)

// newMemoryBudget returns the budget for the bytes that are held for callers and peers.
func (d *Daemon) newMemoryBudget() *memory.Budget {
	limit := d.maxHeldMemory()
	return memory.New(d.deps.Clock, limit, int(largeShare*float64(limit)))
}

// maxHeldMemory returns the limit of that budget in bytes.
func (d *Daemon) maxHeldMemory() int {
	if d.cfg.Limits.PendingBodies > 0 {
		return d.cfg.Limits.PendingBodies
	}
	total := d.hostMemory()
	if total == 0 {
		return defaultHeldMemory
	}
	return int(heldMemoryShare * float64(total))
}

// hostMemory returns the memory of the host in bytes, or 0 if it is not known.
func (d *Daemon) hostMemory() int64 {
	if d.cfg.Host.Memory > 0 {
		return int64(d.cfg.Host.Memory) << 20
	}
	return systemMemory()
}

// systemMemory returns the memory in bytes that the system reports, or 0 if it reports none.
func systemMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
