package follow

import "time"

const (
	// leastWatch and mostWatch bound how long the store holds a watch. Each one that
	// ends costs a call, and proves the view.
	leastWatch = 750 * time.Millisecond
	mostWatch  = 1500 * time.Millisecond
	// afterWatch is what a change needs beyond a watch where the watcher was cut off
	// just before: its view is found old, a large value does not come from it, and the
	// store is asked.
	afterWatch = 2250 * time.Millisecond
	// watchSlack is how much older a view becomes than its watch was held, when all is
	// well.
	watchSlack = 350 * time.Millisecond
	// arrivalSlack is how much later than the end of a watch its answer's bytes come.
	arrivalSlack = 250 * time.Millisecond
	// relayPart is the part of a watch for which a watcher holds a call back while
	// nothing changes.
	relayPart = 2.0 / 3
)

// pace is how often is asked what has changed. The more time a change has to be in
// force everywhere, the fewer calls are needed to find a watcher that was cut off
// early enough.
type pace struct {
	// watch and relay are how long the store and a watcher hold a call.
	watch, relay time.Duration
	// old is the age at which a watcher's view is of no use: it has missed a watch, and
	// may have been cut off.
	old time.Duration
	// arrived is how recent the store's last bytes are at a daemon that is not cut off
	// from it.
	arrived time.Duration
}

// paceOf is the pace where a change has the given time.
func paceOf(force time.Duration) pace {
	watch := min(max(force-afterWatch, leastWatch), mostWatch)
	return pace{
		watch: watch, relay: time.Duration(relayPart * float64(watch)),
		old: watch + watchSlack, arrived: watch + arrivalSlack,
	}
}
