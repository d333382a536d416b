// Package long bounds the long prefills that a daemon has in flight.
//
// It answers long work among short work. A target prefills one prompt after the
// other, so a prompt of several seconds holds back every short request sent
// there after it; and since each daemon sees only its own work in flight, nine
// of them can send nine long prompts to the same target within a second.
package long

const (
	// Least is the prefill time in seconds from which work is long: most of the
	// 0.49 s in which a first token is due (docs/DEVELOPERS.md).
	Least = 0.4
	// depth is how many seconds of long prefill all daemons together may have in
	// flight for each target: with more, short work waits for it, with less, fast
	// targets run out of it between two answers.
	depth = 1.0
)

// Gate counts one daemon's long prefills in flight over all targets. The zero
// value has none.
type Gate struct {
	seconds float64
	n       int
}

// Long is true for a prefill of so many seconds that counts.
func (g *Gate) Long(seconds float64) bool {
	return seconds > Least
}

// Open is true if one more long prefill may start: if there is none, or if the
// sum is below this daemon's part of the targets.
func (g *Gate) Open(parts float64) bool {
	return g.n == 0 || g.seconds < depth*parts
}

// Start counts a long prefill.
func (g *Gate) Start(seconds float64) {
	g.seconds += seconds
	g.n++
}

// End takes one out.
func (g *Gate) End(seconds float64) {
	g.seconds -= seconds
	g.n--
}
