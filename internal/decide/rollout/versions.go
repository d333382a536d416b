// Package rollout decides which versions of a pool's targets may receive work.
//
// Without it, the targets of a new version receive as much work as any other from the moment
// they register: a bad version gets half of the requests of its pool, and callers see its
// failures before the operator does.
package rollout

import (
	"maps"
	"slices"

	"github.com/fireflypath/fireflypath"
)

// Versions holds the orders of an operator, their status, and the versions that were rolled back.
// It is not safe for concurrent use.
//
// A version that was ordered is not in the view until all requests go to it, and never after it was rolled
// back. What a daemon does not know of a roll-out counts as a no: an order without a status or a trial is
// not tried.
type Versions struct {
	orders  map[string]order
	status  map[string]status
	refused map[string]refused
	records map[string]record
	// trials is true if versions are tried. dropped then holds the versions whose orders were replaced.
	trials  bool
	dropped map[string][]string
}

type record struct {
	fireflypath.RolloutRecord
	revision uint64
}

type order struct {
	fireflypath.RolloutOrder
	revision uint64
}

type status struct {
	fireflypath.RolloutStatus
	revision uint64
}

type refused struct {
	versions []string
	revision uint64
}

// New returns a Versions without orders.
func New() *Versions {
	return &Versions{
		orders: map[string]order{}, status: map[string]status{}, refused: map[string]refused{},
		records: map[string]record{}, dropped: map[string][]string{},
	}
}

// EnableTrials makes a version whose order was replaced wait for another order.
func (v *Versions) EnableTrials() { v.trials = true }

// SetOrder records an order for a pool, stored at the given revision.
func (v *Versions) SetOrder(pool string, o fireflypath.RolloutOrder, revision uint64) {
	o.Pool = pool
	if last, ok := v.orders[pool]; ok && v.trials && last.Version != o.Version && !v.isCompleted(pool) {
		v.dropped[pool] = append(v.dropped[pool], last.Version)
	}
	v.orders[pool] = order{o, revision}
}

// isCompleted reports whether the ordered version was completed.
func (v *Versions) isCompleted(pool string) bool {
	if state, ok := v.decided(pool); ok {
		return state == fireflypath.RolloutCompleted
	}
	r := v.records[pool]
	return r.Version == v.orders[pool].Version && r.Phase == fireflypath.RolloutAccepted
}

// SetRecord records the trial of a pool, stored at the given revision.
func (v *Versions) SetRecord(pool string, r fireflypath.RolloutRecord, revision uint64) {
	v.records[pool] = record{r, revision}
	if r.Phase == fireflypath.RolloutAccepted {
		v.dropped[pool] = slices.DeleteFunc(v.dropped[pool], func(version string) bool { return version == r.Version })
	}
}

// tried returns the trial of the pool's newest order. One that is older than the order belongs to an
// earlier order.
func (v *Versions) tried(pool string) (record, bool) {
	o, r := v.orders[pool], v.records[pool]
	return r, r.ID != 0 && r.Version == o.Version && r.revision >= o.revision
}

// isWithheld reports whether a version that is not ordered was tried without being completed.
func (v *Versions) isWithheld(pool, version string) bool {
	r := v.records[pool]
	if r.ID != 0 && r.Version == version {
		return r.Phase != fireflypath.RolloutAccepted
	}
	return slices.Contains(r.Withheld, version) || slices.Contains(v.dropped[pool], version)
}

// withheld lists the versions of a pool that are neither ordered nor completed.
func (v *Versions) withheld(pool string) []string {
	r := v.records[pool]
	var out []string
	for _, version := range slices.Concat(r.Withheld, v.dropped[pool], []string{r.Version}) {
		if version != v.orders[pool].Version && v.isWithheld(pool, version) && !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	return out
}

// hasStopped reports whether a version gets no more work because its successor gets it all.
func (v *Versions) hasStopped(pool, version string) bool {
	r, ok := v.tried(pool)
	return ok && version != r.Version && (r.Phase == fireflypath.RolloutSwitch || r.Phase == fireflypath.RolloutAccepted)
}

// HasOrder reports whether the order is the one that is known for a pool.
func (v *Versions) HasOrder(pool string, o fireflypath.RolloutOrder) bool {
	known, ok := v.orders[pool]
	o.Pool = pool
	return ok && known.RolloutOrder == o
}

// RemoveOrder forgets the order for a pool. Versions that were rolled back stay so.
func (v *Versions) RemoveOrder(pool string) { delete(v.orders, pool) }

// SetStatus records the status of a pool's roll-out, stored at the given revision.
func (v *Versions) SetStatus(s fireflypath.RolloutStatus, revision uint64) {
	v.status[s.Pool] = status{s, revision}
}

// RemoveStatus forgets the status of a pool's roll-out.
func (v *Versions) RemoveStatus(pool string) { delete(v.status, pool) }

// SetRefused records the versions of a pool that were rolled back.
func (v *Versions) SetRefused(pool string, versions []string, revision uint64) {
	v.refused[pool] = refused{versions, revision}
}

// decided returns the state of a pool's newest order, if it is final. A status that is older
// than the order belongs to an earlier one.
func (v *Versions) decided(pool string) (fireflypath.RolloutState, bool) {
	o, s := v.orders[pool], v.status[pool]
	if s.Version != o.Version || s.revision < o.revision || !s.State.Final() {
		return "", false
	}
	return s.State, true
}

// isRunning reports whether the status of a pool's newest order is that it is running.
func (v *Versions) isRunning(pool string) bool {
	o, s := v.orders[pool], v.status[pool]
	return s.Version == o.Version && s.revision >= o.revision && s.State == fireflypath.RolloutRunning
}

// admits reports whether targets of a version may receive work. onlyVersion is true if the
// pool has targets of no other version.
func (v *Versions) admits(pool, version string, onlyVersion bool) bool {
	if slices.Contains(v.refused[pool].versions, version) {
		return false
	}
	o, ordered := v.orders[pool]
	if !ordered || o.Version != version {
		return !v.isWithheld(pool, version)
	}
	if state, ok := v.decided(pool); ok {
		return state == fireflypath.RolloutCompleted
	}
	r, tried := v.tried(pool)
	switch {
	case tried && r.Phase == fireflypath.RolloutRejected:
		return false
	case tried && r.Phase != fireflypath.RolloutTrial:
		return true
	case !tried && r.Version == version && r.Phase == fireflypath.RolloutAccepted:
		return true // the order of the version that serves comes again
	}
	return onlyVersion
}

// Filter returns the targets that may receive work. It leaves the order of the targets and
// returns the argument itself if no order is known.
func (v *Versions) Filter(targets []fireflypath.Target) []fireflypath.Target {
	if len(v.orders) == 0 && len(v.refused) == 0 && len(v.records) == 0 {
		return targets
	}
	single := singleVersions(targets)
	out := slices.DeleteFunc(slices.Clone(targets), func(t fireflypath.Target) bool {
		return !v.admits(t.Pool, t.Version, single[t.Pool])
	})
	for i, t := range out {
		out[i].Drained = t.Drained || v.hasStopped(t.Pool, t.Version)
	}
	return out
}

// singleVersions returns the pools whose targets are all of one version.
func singleVersions(targets []fireflypath.Target) map[string]bool {
	version, single := map[string]string{}, map[string]bool{}
	for _, t := range targets {
		first, known := version[t.Pool]
		if !known {
			version[t.Pool], single[t.Pool] = t.Version, true
			continue
		}
		single[t.Pool] = single[t.Pool] && first == t.Version
	}
	return single
}

// Rollouts returns what is known of the roll-out of each pool with an order, by pool.
func (v *Versions) Rollouts(targets []fireflypath.Target) []fireflypath.Rollout {
	if len(v.orders) == 0 {
		return nil
	}
	single := singleVersions(targets)
	var out []fireflypath.Rollout
	for _, pool := range slices.Sorted(maps.Keys(v.orders)) {
		o := v.orders[pool]
		_, decided := v.decided(pool)
		r, tried := v.tried(pool)
		next := fireflypath.Rollout{
			RolloutOrder: o.RolloutOrder, Decided: decided, Running: v.isRunning(pool),
			Refused: v.refused[pool].versions, StatusRevision: v.status[pool].revision, RefusedRevision: v.refused[pool].revision,
			Record: r.RolloutRecord, RecordRevision: r.revision, Tried: tried, Withheld: v.withheld(pool),
		}
		for _, t := range targets {
			switch {
			case t.Pool != pool:
			case t.Version != o.Version:
				next.OldTargets++
			case !t.Drained:
				next.Targets = append(next.Targets, t)
			}
		}
		next.Fulfilled = single[pool] && slices.ContainsFunc(targets, func(t fireflypath.Target) bool { return t.Pool == pool && t.Version == o.Version })
		out = append(out, next)
	}
	return out
}
