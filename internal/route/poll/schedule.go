package poll

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// idleInterval is the time between two reads of a target without requests of
	// this daemon, if enough other daemons read it too. It is below the 4 s after
	// which an idle connection is closed, because a new connection for each read
	// would cost more than the report.
	idleInterval = 3 * time.Second
	// readsPerSecond is the sustained rate of reads of a daemon. Reading an idle
	// engine costs 0.24 KB in both directions together, including a quarter of a
	// list of cache events (BenchmarkBytes). That makes 1.9 KB/s of the 3 KB/s
	// allowed for control traffic, as long as a daemon has at most eight times as
	// many targets as there are daemons that read them. An engine with longer
	// headers costs more.
	readsPerSecond = 8
	// burst is how many unused reads an idle daemon accumulates. Windows grow with
	// reports, and with this burst fifteen targets are read every second during the
	// first 8 s or so of a sudden load.
	burst = 60
)

// schedule chooses the targets to read within a rate limit. It is not safe for
// concurrent use.
type schedule struct {
	lastRead map[string]time.Time
	tokens   float64
}

func newSchedule() *schedule {
	return &schedule{lastRead: map[string]time.Time{}, tokens: burst}
}

// candidate is a target that may be read.
type candidate struct {
	fireflypath.Target
	watcher fireflypath.Watcher
	// active is true for a target that runs requests of this daemon or is suspected
	// to be unreachable.
	active bool
	// periods is the time since the last read, in units of the target's interval.
	periods float64
}

// selectDue returns the most overdue targets of one round, as many as the rate
// limit allows. readers is the number of daemons, including this one, that read
// these targets.
//
// A leaving target may announce it only in its report, and must get no new
// requests after a few seconds. The daemon that reads the report first informs the
// others, so each target must be read by some daemon about once a second. With few
// readers the rate therefore exceeds readsPerSecond; a single daemon reads every
// target each second.
func (s *schedule) selectDue(now time.Time, all []candidate, readers int) []candidate {
	readers = max(readers, 1)
	s.tokens = min(burst, s.tokens+max(readsPerSecond, float64(len(all))/float64(readers)))
	lastRead := make(map[string]time.Time, len(all))
	var due []candidate
	for _, c := range all {
		lastRead[c.Name] = s.lastRead[c.Name]
		interval := Interval
		if !c.active {
			interval = min(idleInterval, time.Duration(readers)*Interval)
		}
		// Half an interval is added because ticks are not exact.
		c.periods = (float64(now.Sub(s.lastRead[c.Name])) + float64(Interval/2)) / float64(interval)
		if c.periods >= 1 {
			due = append(due, c)
		}
	}
	s.lastRead = lastRead
	slices.SortStableFunc(due, func(a, b candidate) int { return cmp.Compare(b.periods, a.periods) })
	due = due[:min(len(due), max(int(s.tokens), 0))]
	s.tokens -= float64(len(due))
	for _, c := range due {
		s.lastRead[c.Name] = now
	}
	return due
}
