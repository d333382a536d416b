package windowshare

import "github.com/fireflypath/fireflypath/internal/peer"

// maxEarlyPools bounds the unknown pools whose demands are kept. One command adds one
// pool; a daemon does not lag behind by more than this many.
const maxEarlyPools = 64

// earlyDemands holds the peers' demands for pools that the configuration here does not
// contain yet, by pool and peer. A peer sends a demand once and then only when it
// changes. A demand dropped because it arrived before the configuration would be missing
// for as long as the peer's load is steady. This daemon would consider the peer idle and
// use its fraction of the windows as well.
type earlyDemands map[string]map[string]peer.Demand

// add records a demand.
func (e earlyDemands) add(from string, d peer.Demand) {
	if e[d.Pool] == nil {
		if len(e) >= maxEarlyPools {
			return
		}
		e[d.Pool] = map[string]peer.Demand{}
	}
	e[d.Pool][from] = d
}

// moveTo moves the demands for a pool to another map.
func (e earlyDemands) moveTo(pool string, to map[string]peer.Demand) {
	for from, d := range e[pool] {
		to[from] = d
	}
	delete(e, pool)
}
