package poll

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// idleInterval is the time between two reports of a target that this daemon
	// holds nothing at, if enough others read it too. It is below the 4 s after
	// which an unused connection is dropped: a new one for each report would cost
	// more than the report.
	idleInterval = 3 * time.Second
	// readsPerSecond is how many reads a daemon makes each second in the long run. A
	// report of an idle engine costs 0.24 KB in both directions together, with
	// its quarter of a list of cache events (BenchmarkBytes): 1.9 of the 3 KB
	// that the letter allows for control, while a daemon has up to eight times
	// as many targets as there are daemons that read them. An engine with longer headers costs more.
	readsPerSecond = 8
	// burst is what an idle daemon saves up. Windows grow with reports, and a
	// burst of work finds fifteen targets read each second for some 8 s.
	burst = 60
)

// schedule chooses the targets to read. It is used by one goroutine.
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
	// active is true while this daemon has work there.
	active bool
	// periods is how many of its periods have gone by.
	periods float64
}

// selectDue takes the most overdue targets of one round, as many as the budget
// lets through. mates is the number of daemons that read these targets, with
// this one.
//
// A target that leaves may say so in its report only, and may get no new work
// after a few seconds. Who reads it first tells the mates, so each target must
// be read by any of them about once a second: few daemons spend more than the
// budget, and one alone reads every target each second.
func (s *schedule) selectDue(now time.Time, all []candidate, mates int) []candidate {
	mates = max(mates, 1)
	s.tokens = min(burst, s.tokens+max(readsPerSecond, float64(len(all))/float64(mates)))
	seen := make(map[string]time.Time, len(all))
	var due []candidate
	for _, c := range all {
		seen[c.Name] = s.lastRead[c.Name]
		period := Interval
		if !c.active {
			period = min(idleInterval, time.Duration(mates)*Interval)
		}
		// Half a round more, as the ticks are not exact.
		c.periods = (float64(now.Sub(s.lastRead[c.Name])) + float64(Interval/2)) / float64(period)
		if c.periods >= 1 {
			due = append(due, c)
		}
	}
	s.lastRead = seen
	slices.SortStableFunc(due, func(a, b candidate) int { return cmp.Compare(b.periods, a.periods) })
	due = due[:min(len(due), max(int(s.tokens), 0))]
	s.tokens -= float64(len(due))
	for _, c := range due {
		s.lastRead[c.Name] = now
	}
	return due
}
