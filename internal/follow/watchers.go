package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

// chosen is who watches among the live daemons that it was worked out from.
type chosen struct {
	live     []fireflypath.Member
	watchers []fireflypath.Member
}

// watchers are the daemons that watch the store, the nearest one first: in each
// failure domain the one whose name has the lowest hash. They are worked out once for
// each view of the fleet: a watcher is asked a hundred times a second.
func (f *Feed) watchers() []fireflypath.Member {
	live := f.members.Live()
	if c := f.chosen.Load(); c != nil && same(c.live, live) {
		return c.watchers
	}
	c := &chosen{live: live, watchers: f.choose(live)}
	f.chosen.Store(c)
	return c.watchers
}

// same is true for two views that are one slice: a view is never changed in place.
func same(a, b []fireflypath.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (f *Feed) choose(live []fireflypath.Member) []fireflypath.Member {
	lowest := map[string]fireflypath.Member{}
	for _, m := range live {
		if m.Leaving {
			continue
		}
		if o, ok := lowest[m.Domain]; !ok || lot(m) < lot(o) {
			lowest[m.Domain] = m
		}
	}
	out := make([]fireflypath.Member, 0, len(lowest))
	for _, m := range lowest {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int {
		if (a.Domain == f.domain) != (b.Domain == f.domain) {
			if a.Domain == f.domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(lot(a), lot(b))
	})
	return out
}

func lot(m fireflypath.Member) uint64 {
	return xxhash.Sum64String(m.Name)
}

// Watches is true if this daemon watches the store for others.
func (f *Feed) Watches() bool {
	ws := f.watchers()
	return len(ws) == 0 || slices.ContainsFunc(ws, func(m fireflypath.Member) bool { return m.Name == f.self })
}
