package follow

import "time"

const (
	// minWatchTimeout and maxWatchTimeout limit how long the store holds a watch. Each
	// watch that ends costs a call and confirms that the view is current.
	minWatchTimeout = 750 * time.Millisecond
	maxWatchTimeout = 1500 * time.Millisecond
	// failoverTime is the time that a change needs in addition to a watch if the watcher
	// was cut off just before it: a follower has to detect that the watcher's view is
	// stale, fail to get a large value from it, and read from the store.
	failoverTime = 2250 * time.Millisecond
	// viewAgeMargin is how much older than the watch timeout a view becomes in normal
	// operation.
	viewAgeMargin = 350 * time.Millisecond
	// arrivalMargin is how long after the end of a watch its response arrives.
	arrivalMargin = 250 * time.Millisecond
	// relayFraction is the fraction of the watch timeout for which a watcher holds a call
	// while nothing changes.
	relayFraction = 2.0 / 3
	// relayAgeMargin is how much older than a watcher's a relay's view may be. In that time the
	// relay moves to another watcher if its own fails.
	relayAgeMargin = 750 * time.Millisecond
	// minRelayLimit is the propagation limit from which on there are relays. Below it, the time
	// in which a follower finds that a relay's watcher was cut off is too long.
	minRelayLimit = 3 * time.Second
	// gainFraction is the fraction of the watch timeout by which a source's view must be newer
	// than the follower's to be worth a response.
	gainFraction = 0.5
)

// timing holds the intervals of polling. The longer the propagation limit, the fewer calls
// are needed to detect in time that a watcher was cut off.
type timing struct {
	// watchTimeout and relayTimeout are how long the store and a watcher hold a call.
	watchTimeout, relayTimeout time.Duration
	// maxViewAge is the age from which a watcher's view is stale: the watcher has missed a
	// watch and may have been cut off.
	maxViewAge time.Duration
	// maxArrivalAge is how long ago bytes from the store arrived, at most, at a daemon that
	// is connected to it.
	maxArrivalAge time.Duration
	// relaysAllowed is true if large failure domains have relays. maxRelayAge is the age from
	// which a relay's view is stale, confirmTimeout how long a call waits for a newer view than
	// the follower's, and minGain by how much it has to be newer.
	relaysAllowed                        bool
	maxRelayAge, confirmTimeout, minGain time.Duration
}

// newTiming returns the timing for a propagation limit.
func newTiming(propagationLimit time.Duration) timing {
	watch := min(max(propagationLimit-failoverTime, minWatchTimeout), maxWatchTimeout)
	return timing{
		watchTimeout: watch, relayTimeout: time.Duration(relayFraction * float64(watch)),
		maxViewAge: watch + viewAgeMargin, maxArrivalAge: watch + arrivalMargin,
		relaysAllowed: propagationLimit >= minRelayLimit, maxRelayAge: watch + viewAgeMargin + relayAgeMargin,
		confirmTimeout: watch + arrivalMargin, minGain: time.Duration(gainFraction * float64(watch)),
	}
}
