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
// A version that was ordered receives no work until its status is completed, and none ever
// after it was rolled back. What a daemon does not know of a roll-out counts as a no: an order
// without a status is not tried.
type Versions struct {
	orders  map[string]order
	status  map[string]status
	refused map[string]refused
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
	return &Versions{orders: map[string]order{}, status: map[string]status{}, refused: map[string]refused{}}
}

// SetOrder records an order for a pool, stored at the given revision.
func (v *Versions) SetOrder(pool string, o fireflypath.RolloutOrder, revision uint64) {
	o.Pool = pool
	v.orders[pool] = order{o, revision}
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

// admits reports whether targets of a version may receive work. onlyVersion is true if the
// pool has targets of no other version.
func (v *Versions) admits(pool, version string, onlyVersion bool) bool {
	if slices.Contains(v.refused[pool].versions, version) {
		return false
	}
	o, ordered := v.orders[pool]
	if !ordered || o.Version != version {
		return true
	}
	state, ok := v.decided(pool)
	if !ok {
		return onlyVersion
	}
	return state == fireflypath.RolloutCompleted
}

// Filter returns the targets that may receive work. It leaves the order of the targets and
// returns the argument itself if no order is known.
func (v *Versions) Filter(targets []fireflypath.Target) []fireflypath.Target {
	if len(v.orders) == 0 && len(v.refused) == 0 {
		return targets
	}
	single := singleVersions(targets)
	return slices.DeleteFunc(slices.Clone(targets), func(t fireflypath.Target) bool {
		return !v.admits(t.Pool, t.Version, single[t.Pool])
	})
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
		served := slices.ContainsFunc(targets, func(t fireflypath.Target) bool { return t.Pool == pool && t.Version == o.Version })
		out = append(out, fireflypath.Rollout{
			RolloutOrder: o.RolloutOrder, Decided: decided, Fulfilled: single[pool] && served,
			Refused: v.refused[pool].versions, StatusRevision: v.status[pool].revision, RefusedRevision: v.refused[pool].revision,
		})
	}
	return out
}
