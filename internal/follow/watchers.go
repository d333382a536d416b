package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

// watcherSet holds the live daemons and the watchers selected among them.
type watcherSet struct {
	live     []fireflypath.Member
	watchers []fireflypath.Member
}

// currentWatchers returns the daemons that watch the store, the nearest one first: in each
// failure domain the daemon whose name has the lowest hash. They are selected once for each
// version of the member list, as a watcher is called a hundred times a second.
func (f *Feed) currentWatchers() []fireflypath.Member {
	live := f.members.Live()
	if set := f.watcherSet.Load(); set != nil && isSameSlice(set.live, live) {
		return set.watchers
	}
	set := &watcherSet{live: live, watchers: f.selectWatchers(live)}
	f.watcherSet.Store(set)
	return set.watchers
}

// isSameSlice reports whether two member lists are the same slice. A member list is never
// changed in place.
func isSameSlice(a, b []fireflypath.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// selectWatchers selects the watchers and orders them, those of this failure domain first.
func (f *Feed) selectWatchers(live []fireflypath.Member) []fireflypath.Member {
	byDomain := map[string]fireflypath.Member{}
	for _, m := range live {
		if m.Leaving {
			continue
		}
		if o, ok := byDomain[m.Domain]; !ok || nameHash(m) < nameHash(o) {
			byDomain[m.Domain] = m
		}
	}
	out := make([]fireflypath.Member, 0, len(byDomain))
	for _, m := range byDomain {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int {
		if (a.Domain == f.domain) != (b.Domain == f.domain) {
			if a.Domain == f.domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(nameHash(a), nameHash(b))
	})
	return out
}

func nameHash(m fireflypath.Member) uint64 {
	return xxhash.Sum64String(m.Name)
}

// IsWatcher reports whether this daemon watches the store for others. It does if no live
// daemon is known.
func (f *Feed) IsWatcher() bool {
	ws := f.currentWatchers()
	return len(ws) == 0 || slices.ContainsFunc(ws, func(m fireflypath.Member) bool { return m.Name == f.self })
}
