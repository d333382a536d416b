package slots

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/speed"
)

const (
	// reportLife is how long a target's own word about its load is used: longer,
	// and what it counted has ended.
	reportLife = 400 * time.Millisecond
	// firstPause is how long a target that failed gets nothing; it doubles with
	// each failure to longestPause. A crashed target is back after seconds.
	firstPause   = 300 * time.Millisecond
	longestPause = 4 * time.Second
	// failWeight weighs a new outcome in the part of work that fails.
	failWeight = 0.15
	// inheritTime is when the work of those who had a target before is taken to be
	// over. Requests hold a slot for half a second at fast engines and for two at the
	// slowest; 0.8 s leaves few fast ones idle.
	inheritTime = 800 * time.Millisecond
	// brandNew is the age up to which a target that comes to this daemon has just
	// registered, and so has no work of others.
	brandNew = 500 * time.Millisecond
)

// target is what is known of one target.
type target struct {
	fireflypath.Target
	// id is the target's identity; hash is that of its name.
	id    string
	hash  uint64
	speed speed.Speed
	// requests and prefill, in prompt tokens before their first event, are in
	// flight from here.
	requests int
	prefill  int
	// hold is how long a request holds its slot, in seconds.
	hold float64
	// elsewhere is what other daemons have in flight there, by their own word.
	elsewhere int
	// ahead is how much prompt of theirs waits there for its prefill, in tokens.
	ahead int
	// freed is when a place was last seen to become free that this daemon had not
	// held itself; own is when a place of its own became free.
	freed, own time.Time
	// since is when the target was first known; inherited is when it came to this
	// daemon from others that still had work there.
	since, inherited time.Time
	// told is true once other daemons have said anything.
	told bool
	// report is the target's own word, heard with an answer, less own requests.
	report int
	heard  time.Time
	// foreign is true for a target that other daemons send work to.
	foreign bool
	// leaving is first-hand evidence that the target takes no more work.
	leaving bool
	// failing is the part of work that failed lately.
	failing float64
	// pause is how long the target was last kept out; until is the end of that.
	pause time.Duration
	until time.Time
	// probing is true while one request decides whether the target is back.
	probing bool
}

// SetTargets replaces the targets and keeps what was learned of those that stay.
// One that started again under its name is a new target: what was in flight to
// the life before, and what was learned of it, does not count for it.
//
// A new target is seen by all daemons at once, with all its places free: they
// take turns at it as at a place that became free.
func (s *Sched) SetTargets(now time.Time, targets []fireflypath.Target) {
	next := make(map[string]*target, len(targets))
	for _, t := range targets {
		known := s.targets[t.Name]
		if known == nil || known.Addr != t.Addr || known.Incarnation != t.Incarnation {
			known = &target{id: t.Identity(), hash: xxhash.Sum64String(t.Name), freed: now, since: now}
		}
		known.Target = t
		s.serve(now, known)
		next[t.Name] = known
	}
	s.targets = next
	s.order = s.order[:0]
	for _, t := range next {
		s.order = append(s.order, t)
	}
	slices.SortFunc(s.order, func(a, b *target) int { return strings.Compare(a.Name, b.Name) })
	s.fast, s.best = 0, nil
	for _, t := range s.order {
		s.learned(t)
	}
}

func (t *target) slots() int {
	if t.Slots > 0 {
		return t.Slots
	}
	return defaultSlots
}

// others is how many requests of other daemons are at the target.
func (s *Sched) others(now time.Time, t *target) int {
	n := 0
	if t.told {
		n = t.elsewhere
	}
	unheard := !t.told || s.share.Mixed || s.tune.Reports
	if unheard && now.Sub(t.heard) <= reportLife {
		n = max(n, t.report)
	}
	return n + t.left(now)
}

// left is how much work of those who had the target before may still be there: it
// ends one by one.
func (t *target) left(now time.Time) int {
	age := now.Sub(t.inherited)
	if t.inherited.IsZero() || age >= inheritTime {
		return 0
	}
	return int(math.Ceil(float64(t.slots()) * float64(inheritTime-age) / float64(inheritTime)))
}

// taken is how many requests of all daemons are at the target.
func (s *Sched) taken(now time.Time, t *target) int {
	return t.requests + s.others(now, t)
}

// extra is how many requests of the rank may stand before a full target.
func (s *Sched) extra(rank int) int {
	return min(max(s.lowest-rank, 0), s.tune.Extra)
}

// skip says why the target takes no work, or nothing if it does; extra is how
// many requests may be there beyond its slots.
func (s *Sched) skip(now time.Time, t *target, extra int) string {
	switch {
	case t.foreign:
		return "foreign"
	case t.Drained, t.leaving:
		return "leaving"
	case now.Before(t.until):
		return "ejected"
	case t.probing:
		return "probing"
	case s.taken(now, t) >= t.slots()+extra:
		return "full"
	default:
		return ""
	}
}

func (s *Sched) takes(now time.Time, t *target, extra int) bool {
	return s.skip(now, t, extra) == ""
}

// sent lets one request decide about a target that had failed.
func (t *target) sent(now time.Time) {
	if t.pause > 0 && !now.Before(t.until) {
		t.probing = true
	}
}

// good ends a target's ejection.
func (t *target) good() {
	t.failing *= 1 - failWeight
	t.pause, t.until, t.probing = 0, time.Time{}, false
}

// bad counts a failure; eject keeps the target out for a while.
func (t *target) bad(now time.Time, eject bool) {
	t.failing += failWeight * (1 - t.failing)
	t.probing = false
	t.own = time.Time{}
	if eject {
		t.pause = min(max(2*t.pause, firstPause), longestPause)
		t.until = now.Add(t.pause)
	}
}
