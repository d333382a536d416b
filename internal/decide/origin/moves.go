package origin

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

// notResumable stands for the pools of a route while its streams cannot be resumed. What such a stream
// has begun, no target can go on with.
const notResumable = ""

// routeID identifies the requests that a route serves.
type routeID struct{ host, prefix string }

// overlaps reports whether a change of one route may change which one serves a path of the other.
func (r routeID) overlaps(o routeID) bool {
	return r.host == o.host && (strings.HasPrefix(r.prefix, o.prefix) || strings.HasPrefix(o.prefix, r.prefix))
}

// moves remembers which pools have served the same paths one after the other. A stream that began before
// its route moved would otherwise go on at the route's new pool.
type moves struct {
	// routes holds the pools of each route of the last configuration, in order.
	routes map[routeID][]string
	// related holds when two pools last replaced each other.
	related map[string]map[string]time.Time
}

// observe records the routes of a configuration. It returns the pools that are related to others now and
// were not before.
func (m *moves) observe(now time.Time, cfg *fireflypath.Config) []string {
	if cfg.Version == 0 && len(cfg.Routes) == 0 {
		return nil // targets that are known before the first configuration
	}
	before := m.routes
	m.routes = poolsByRoute(cfg.Routes)
	if before == nil {
		return nil // streams that began earlier are covered by the history's age
	}
	var newly []string
	for id := range changedRoutes(before, m.routes) {
		newly = append(newly, m.relate(now, overlappingPools(id, before, m.routes))...)
	}
	return newly
}

func poolsByRoute(routes []fireflypath.Route) map[routeID][]string {
	out := make(map[routeID][]string, len(routes))
	for i := range routes {
		r := &routes[i]
		pools := []string{notResumable}
		if r.Resumable {
			pools = Pools(r)
		}
		slices.Sort(pools)
		out[routeID{r.Host, r.Prefix}] = slices.Compact(pools)
	}
	return out
}

// Pools returns the pools that serve a route.
func Pools(r *fireflypath.Route) []string {
	out := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		out = append(out, s.Pool)
	}
	return out
}

// changedRoutes returns the routes that were added, were removed or have other pools.
func changedRoutes(before, after map[routeID][]string) map[routeID]bool {
	out := map[routeID]bool{}
	for id, pools := range after {
		if old, ok := before[id]; !ok || !slices.Equal(old, pools) {
			out[id] = true
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			out[id] = true
		}
	}
	return out
}

// overlappingPools returns the pools of a route, and of all that serve some of its paths, before and after
// a change.
func overlappingPools(id routeID, before, after map[routeID][]string) []string {
	var out []string
	for _, routes := range []map[routeID][]string{before, after} {
		for other, pools := range routes {
			if other.overlaps(id) {
				out = append(out, pools...)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// relate records that the pools may have begun each other's streams. It returns those that had no
// relation before.
func (m *moves) relate(now time.Time, pools []string) []string {
	if len(pools) < 2 {
		return nil
	}
	if m.related == nil {
		m.related = map[string]map[string]time.Time{}
	}
	var newly []string
	for _, a := range pools {
		if m.related[a] == nil {
			m.related[a] = map[string]time.Time{}
			newly = append(newly, a)
		}
		for _, b := range pools {
			if a != b {
				m.related[a][b] = now
			}
		}
	}
	return newly
}

// prune drops the relations from before the given time.
func (m *moves) prune(before time.Time) {
	for pool, others := range m.related {
		maps.DeleteFunc(others, func(_ string, at time.Time) bool { return at.Before(before) })
		if len(others) == 0 {
			delete(m.related, pool)
		}
	}
}

// relatedTo returns the pools that are related to a pool since the given time, in order.
func (m *moves) relatedTo(since time.Time, pool string) []string {
	var out []string
	for other, at := range m.related[pool] {
		if !at.Before(since) {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return out
}
