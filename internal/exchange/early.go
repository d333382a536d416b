package exchange

import "github.com/fireflypath/fireflypath/internal/peer"

// maxEarly bounds the pools that lines are kept for before they are known. One
// command adds a pool; more than this is not one daemon's lag.
const maxEarly = 64

// early holds peers' lines for pools that the configuration here does not have
// yet. A peer tells a line once and then only when it changes, so a line that
// came before the configuration and was dropped would be missing for as long as
// the peer's load is steady: this daemon would take the peer for idle and use
// its part of the windows as well.
type early map[string]map[string]peer.Demand

// keep notes a line.
func (e early) keep(from string, d peer.Demand) {
	if e[d.Pool] == nil {
		if len(e) >= maxEarly {
			return
		}
		e[d.Pool] = map[string]peer.Demand{}
	}
	e[d.Pool][from] = d
}

// take moves the lines of a pool.
func (e early) take(pool string, to map[string]peer.Demand) {
	for from, d := range e[pool] {
		to[from] = d
	}
	delete(e, pool)
}
