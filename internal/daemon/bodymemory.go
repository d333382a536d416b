package daemon

import (
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath/internal/bodies"
)

const (
	// bodyMemoryShare is the part of the host's memory that bodies may use. The garbage collector
	// takes as much again, and the daemon itself needs the rest.
	bodyMemoryShare = 0.25
	// largeBodyShare is the part of that memory that large bodies may use.
	largeBodyShare = 0.75
	// defaultBodyMemory is the limit in bytes if neither it nor the host's memory is known.
	defaultBodyMemory = 64 << 20
)

// newBodyBudget returns the budget for the bodies that the gate holds.
func (d *Daemon) newBodyBudget() *bodies.Budget {
	limit := d.maxBodyMemory()
	return bodies.New(limit, int(largeBodyShare*float64(limit)))
}

// maxBodyMemory returns the limit in bytes of the bodies that the gate holds.
func (d *Daemon) maxBodyMemory() int {
	if d.cfg.Limits.PendingBodies > 0 {
		return d.cfg.Limits.PendingBodies
	}
	memory := int64(d.cfg.Host.Memory) << 20
	if memory == 0 {
		memory = systemMemory()
	}
	if memory == 0 {
		return defaultBodyMemory
	}
	return int(bodyMemoryShare * float64(memory))
}

// systemMemory returns the memory in bytes that the system reports, or 0 if it reports none.
func systemMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
