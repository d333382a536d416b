// Package long bounds the long prefills that a daemon has in flight.
//
// It answers long work among short work. A target prefills one prompt after the
// other, so a prompt of several seconds holds back every short request sent
// there after it; and since each daemon sees only its own work in flight, nine
// of them can send nine long prompts to the same target within a second.
package long

const (
	// least is the prefill time in seconds from which work is long: most of the
	// 0.49 s in which a first token is due (docs/DEVELOPERS.md).
	least = 0.4
	// depth is how many long prefills all daemons together may have in flight
	// for each target: one that runs, and every other target a next one, so that
	// the target does not run out between an answer and the next dispatch.
	depth = 1.5
)

// Gate counts one daemon's long prefills in flight over all targets.
type Gate struct {
	n int
	// teams counts them by team, for those that have any.
	teams map[string]int
}

// New makes a Gate without work.
func New() *Gate {
	return &Gate{teams: make(map[string]int)}
}

// Long is true for a prefill of so many seconds that counts.
func (g *Gate) Long(seconds float64) bool {
	return seconds > least
}

// Open is true if one more long prefill of a team may start: if there is none, or
// if there are fewer than this daemon's part of the targets allows. A team that
// has none in flight may have one above that: the long prefills of a hot team
// end one by one and are followed by its next, and a team that comes now and
// then would wait for one of them each time.
func (g *Gate) Open(parts float64, team string) bool {
	n := g.n
	if g.teams[team] == 0 {
		n--
	}
	return n <= 0 || float64(n) < depth*parts
}

// Start counts a long prefill.
func (g *Gate) Start(team string) {
	g.n++
	g.teams[team]++
}

// End takes one out.
func (g *Gate) End(team string) {
	g.n--
	g.teams[team]--
	if g.teams[team] == 0 {
		delete(g.teams, team)
	}
}
