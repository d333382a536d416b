package follow

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

const (
	// maxDirectFollowers is the number of daemons of a failure domain up to which the watcher
	// serves all others itself.
	maxDirectFollowers = 32
	// relaysTried is the number of relays that a follower tries before the watcher.
	relaysTried = 2
)

// tree is the way of changes from the store to this daemon, as of one version of the member
// list.
//
// In each failure domain one daemon watches the store. In a large domain it serves only a few
// relays, each of which serves a part of the others: a watcher that served all of them would
// send each change of any target to hundreds of daemons over one link.
type tree struct {
	live []fireflypath.Member
	// watchers are the daemons that watch the store, the one of this failure domain first.
	watchers []fireflypath.Member
	// sources are the daemons that this one follows, in the order in which it tries them.
	sources []fireflypath.Member
	// relays are the relays of this failure domain.
	relays []fireflypath.Member
	// watching is true if this daemon watches the store itself.
	watching bool
}

// currentTree returns the tree of the current member list. It is computed once for each version
// of the list, as a watcher is called a hundred times a second.
func (f *Feed) currentTree() *tree {
	live := f.members.Live()
	if t := f.tree.Load(); t != nil && isSameSlice(t.live, live) {
		return t
	}
	t := newTree(live, f.self, f.domain, f.timing.relaysAllowed)
	f.tree.Store(t)
	return t
}

// isSameSlice reports whether two member lists are the same slice. A member list is never
// changed in place.
func isSameSlice(a, b []fireflypath.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func newTree(live []fireflypath.Member, self, domain string, relaysAllowed bool) *tree {
	t := &tree{live: live}
	strongest := map[string]fireflypath.Member{}
	var own []fireflypath.Member
	for _, m := range live {
		if m.Leaving {
			continue
		}
		if m.Domain == domain {
			own = append(own, m)
		}
		if o, ok := strongest[m.Domain]; !ok || compareStrength(m, o) < 0 {
			strongest[m.Domain] = m
		}
	}
	for _, m := range strongest {
		t.watchers = append(t.watchers, m)
	}
	slices.SortFunc(t.watchers, func(a, b fireflypath.Member) int {
		if (a.Domain == domain) != (b.Domain == domain) {
			if a.Domain == domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(dutyHash(a.Name), dutyHash(b.Name))
	})
	t.watching = len(t.watchers) == 0 || containsName(t.watchers, self)
	if relaysAllowed && len(own) > maxDirectFollowers {
		slices.SortFunc(own, compareStrength)
		t.relays = own[1 : 1+relayCount(len(own))]
	}
	t.sources = withoutName(t.watchers, self)
	if len(t.relays) > 0 && !t.watching && !containsName(t.relays, self) {
		t.sources = append(nearestRelays(t.relays, self), t.watchers...)
	}
	return t
}

// relayCount returns the number of relays of a failure domain of n daemons. The watcher then
// serves about as many relays as each relay serves daemons.
func relayCount(n int) int {
	return int(math.Ceil(math.Sqrt(float64(n))))
}

// nearestRelays returns the relays that a follower tries first. The order differs between
// followers, so that those of a relay that fails are shared out to all others.
func nearestRelays(relays []fireflypath.Member, self string) []fireflypath.Member {
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b fireflypath.Member) int {
		return cmp.Compare(xxhash.Sum64String(self+"/"+a.Name), xxhash.Sum64String(self+"/"+b.Name))
	})
	return out[:min(relaysTried, len(out))]
}

// compareStrength orders daemons by what their hosts can carry, the strongest first.
func compareStrength(a, b fireflypath.Member) int {
	return cmp.Or(a.CompareCapacity(b), cmp.Compare(dutyHash(a.Name), dutyHash(b.Name)))
}

// dutyHash orders daemons of equal strength. It differs from the hashes by which dispatchers and
// coordinators are chosen, so that not all duties fall to the same daemon.
func dutyHash(name string) uint64 {
	return xxhash.Sum64String("watcher/" + name)
}

func containsName(ms []fireflypath.Member, name string) bool {
	return slices.ContainsFunc(ms, func(m fireflypath.Member) bool { return m.Name == name })
}

func withoutName(ms []fireflypath.Member, name string) []fireflypath.Member {
	return slices.DeleteFunc(slices.Clone(ms), func(m fireflypath.Member) bool { return m.Name == name })
}

// isRelay reports whether a member is a relay of this failure domain.
func (t *tree) isRelay(name string) bool { return containsName(t.relays, name) }

// IsWatcher reports whether this daemon watches the store for others. It does if no live
// daemon is known.
func (f *Feed) IsWatcher() bool { return f.currentTree().watching }
