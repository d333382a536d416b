// Package longprefill limits the long prefills that a daemon has in flight.
//
// A target prefills one prompt after the other, so a prompt of several seconds
// delays every short request sent there after it. As each daemon sees only its
// own work in flight, nine daemons can send nine long prompts to the same target
// within a second.
package longprefill

const (
	// minSeconds is the prefill time from which work counts as long: most of
	// the 0.49 s within which a first token is due (docs/DEVELOPERS.md).
	minSeconds = 0.4
	// maxPerTarget is the number of long prefills per target that all daemons
	// together may have in flight: one that runs at each target and a next one
	// for every second target, so that targets do not become idle between an
	// answer and the next dispatch.
	maxPerTarget = 1.5
)

// Limiter counts one daemon's long prefills in flight at all targets.
type Limiter struct {
	inFlight int
	// inFlightByTeam holds only teams with long prefills in flight.
	inFlightByTeam map[string]int
}

// New returns a Limiter without work in flight.
func New() *Limiter {
	return &Limiter{inFlightByTeam: make(map[string]int)}
}

// IsLong reports whether a prefill of the given time counts as long.
func (l *Limiter) IsLong(seconds float64) bool {
	return seconds > minSeconds
}

// Allow reports whether a team may start another long prefill, where parts is
// the sum of this daemon's parts of the targets. It is allowed if none is in
// flight or if fewer are than this daemon's parts allow. A team without one in
// flight may exceed the limit by one: otherwise the limit stays used up by a
// busy team, whose finished long prefills are replaced by its next ones, and an
// occasional request of another team would have to wait for one of these each
// time.
func (l *Limiter) Allow(parts float64, team string) bool {
	counted := l.inFlight
	if l.inFlightByTeam[team] == 0 {
		counted--
	}
	return counted <= 0 || float64(counted) < maxPerTarget*parts
}

// Start counts a long prefill as in flight.
func (l *Limiter) Start(team string) {
	l.inFlight++
	l.inFlightByTeam[team]++
}

// End counts a long prefill as finished.
func (l *Limiter) End(team string) {
	l.inFlight--
	l.inFlightByTeam[team]--
	if l.inFlightByTeam[team] == 0 {
		delete(l.inFlightByTeam, team)
	}
}
