package slots

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
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
	// guessPrefill is a prefill speed in tokens a second for targets that nothing
	// is known of; a wrong guess lasts for one answer.
	guessPrefill = 30_000
	// failWeight weighs a new outcome in the part of work that fails.
	failWeight = 0.15
	// failCost is how many times longer work seems to take at a target where all
	// of it fails.
	failCost = 20
	// slotCost is what each taken slot adds to the expected time, as a part of
	// it: a batch that is fuller makes each token slower.
	slotCost = 0.05
	// chunk is how many prompt tokens an engine prefills in one step beside the
	// streams that it runs: the usual default of engines with continuous batching.
	chunk = 2048
	// defaultStride is the number of tokens of an event where nobody says it.
	defaultStride = 3
	// gapPart is the part of the pause that callers bear by which one prompt may
	// hold up the streams at its target. The rest is for their own steps and for
	// the prompts that other daemons send.
	gapPart = 0.6
	// muchSlower is the part of the fastest known prefill speed below which a target
	// is one of another generation. Learned speeds of equal engines differ by up to
	// a third, those of unlike ones by two to five times.
	muchSlower = 0.5
	// hurry is the part of the time left in which work must be expected to end.
	hurry = 0.8
	// maxExtra is how many requests of the highest tier may stand in a full
	// target's own queue. They get the next slots that become free there, whoever
	// used them: the daemons need not agree on it first. Each tier below has one
	// less, the lowest none.
	maxExtra = 2
	// inheritTime is how long requests hold a slot: half a second at fast engines,
	// two at the slowest. The work of those who had a target before is over by then.
	inheritTime = 800 * time.Millisecond
	// brandNew is how long after a target was first known the daemons learn whose it
	// is: it has no work of others then.
	brandNew = 500 * time.Millisecond
	// holdWeight weighs a new sample of how long a request holds its slot.
	holdWeight = 0.1
	// spread is the part of the expected time by which daemons differ in their
	// choice, so that equal views do not send everything to one target.
	spread = 0.1
)

// target is what is known of one target.
type target struct {
	fireflypath.Target
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
//
// A new target is seen by all daemons at once, with all its places free: they
// take turns at it as at a place that became free.
func (s *Sched) SetTargets(now time.Time, targets []fireflypath.Target) {
	next := make(map[string]*target, len(targets))
	for _, t := range targets {
		known := s.targets[t.Name]
		if known == nil || known.Addr != t.Addr {
			known = &target{hash: xxhash.Sum64String(t.Name), freed: now, since: now}
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
	unheard := !t.told || s.share.Mixed
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
	return min(max(s.lowest-rank, 0), maxExtra)
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

// choose is the best target with room for the work, or nil.
func (s *Sched) choose(now time.Time, w *fireflypath.Work) *target {
	var best *target
	least := 0.0
	extra := s.extra(w.Rank)
	for _, t := range s.order {
		if !s.takes(now, t, extra) || !s.turn(now, t, w.Rank) || slices.Contains(w.Avoid, t.Name) || !s.fits(now, t, w) {
			continue
		}
		if v := s.score(now, t, w); best == nil || v < least {
			best, least = t, v
		}
	}
	return best
}

// fits is false for work that would do harm at the target, or come to nothing.
//
// Engines prefill prompts in chunks between the steps of the streams that they
// run. At an engine several times slower than others a prompt of some thousand
// tokens holds up all its streams for longer than their callers bear, and a long
// answer does not end in time. Such work waits for a faster target, unless it
// would be late for that. Where no target is much faster there is nothing to wait
// for: the longest prompts would then wait until their goal has passed.
func (s *Sched) fits(now time.Time, t *target, w *fireflypath.Work) bool {
	if s.fast == 0 || !t.known() {
		return true
	}
	if s.duration(t, w) > hurry*w.Deadline.Sub(now).Seconds() && s.duration(s.best, w) < s.duration(t, w) {
		return false
	}
	if w.Gap <= 0 || s.taken(now, t) == 0 || s.prefillRate(t) > muchSlower*s.fast {
		return true
	}
	stall := float64(min(w.Cost.Prompt, s.stride()*chunk)) / s.prefillRate(t)
	return stall <= gapPart*w.Gap.Seconds() || now.After(w.Goal)
}

func (s *Sched) stride() int {
	if s.pool.Stride > 0 {
		return s.pool.Stride
	}
	return defaultStride
}

// duration is how long the work is expected to take at a target, in seconds.
func (s *Sched) duration(t *target, w *fireflypath.Work) float64 {
	sec := float64(w.Cost.Prompt) / s.prefillRate(t)
	if d := t.speed.Decode(); d > 0 {
		sec += float64(w.Output) / (d * float64(s.stride()))
	}
	return sec
}

// known is true if the target's speeds were learned from answers.
func (t *target) known() bool {
	return t.speed.Prefill() > 0 && t.speed.Decode() > 0
}

// score is how long the work is expected to take until its answer begins, in
// seconds, made worse by failures and by a full batch.
func (s *Sched) score(now time.Time, t *target, w *fireflypath.Work) float64 {
	sec := float64(t.prefill+t.ahead+w.Cost.Prompt)/s.prefillRate(t) + t.speed.Delay(now).Seconds() + 1e-3
	taken := float64(s.taken(now, t)) / float64(t.slots())
	sec *= 1 + slotCost*taken*float64(t.slots())
	if over := s.taken(now, t) + 1 - t.slots(); over > 0 {
		sec += float64(over) * t.hold / float64(t.slots())
	}
	sec *= 1 + failCost*t.failing
	return sec * (1 + spread*s.noise(t))
}

// noise is a number between 0 and 1 that differs between daemons for a target.
func (s *Sched) noise(t *target) float64 {
	return float64(place.Mix(t.hash^s.seed)>>11) / (1 << 53)
}

func (s *Sched) prefillRate(t *target) float64 {
	if r := t.speed.Prefill(); r > 0 {
		return r
	}
	if s.fast > 0 {
		return s.fast
	}
	return guessPrefill
}

// Observe learns from an event at a target.
func (s *Sched) Observe(now time.Time, e fireflypath.Event) {
	t := s.targets[e.Target]
	switch e.Kind {
	case fireflypath.EventReport:
		if t != nil {
			t.report = max(e.Report.Running+e.Report.Waiting-t.requests, 0)
			t.heard = now
		}
	case fireflypath.EventLeaving:
		if t != nil {
			t.leaving = true
		}
	case fireflypath.EventBack:
		if t != nil {
			t.leaving = false
		}
	case fireflypath.EventCache:
	case fireflypath.EventFirst:
		s.first(now, e.Work)
	case fireflypath.EventDone, fireflypath.EventFailed, fireflypath.EventRefused, fireflypath.EventUnsent:
		s.land(now, e)
	}
}

func (s *Sched) first(now time.Time, w *fireflypath.Work) {
	f, ok := s.flights[w]
	if !ok || !f.first.IsZero() {
		return
	}
	f.first = now
	s.flights[w] = f
	t := f.target
	t.prefill -= w.Cost.Prompt
	t.speed.First(now, w.Cost.Prompt+f.before, now.Sub(f.sent))
	s.learned(t)
	t.good()
}

// learned keeps the fastest target known.
func (s *Sched) learned(t *target) {
	if t.speed.Prefill() > s.fast {
		s.fast, s.best = t.speed.Prefill(), t
	}
}

// land takes work out of flight.
func (s *Sched) land(now time.Time, e fireflypath.Event) {
	f, ok := s.flights[e.Work]
	if !ok {
		return
	}
	delete(s.flights, e.Work)
	t := f.target
	t.requests--
	t.own = now
	if f.first.IsZero() {
		t.prefill -= e.Work.Cost.Prompt
	}
	s.drain.Add(now, 1)
	held := now.Sub(f.sent).Seconds()
	t.hold = blend(t.hold, held)
	s.hold = blend(s.hold, held)
	switch e.Kind {
	case fireflypath.EventFailed:
		if e.Left {
			t.probing = false
			return
		}
		t.bad(now, f.first.IsZero())
	case fireflypath.EventDone:
		t.good()
		if !f.first.IsZero() {
			t.speed.Done(e.Tokens, now.Sub(f.first))
		}
	case fireflypath.EventRefused:
		t.bad(now, true)
	case fireflypath.EventUnsent:
		t.bad(now, true)
		if e.Work.Life.State() == fireflypath.StateWaiting {
			s.waiting = append(s.waiting, e.Work)
		}
	default:
	}
}

// blend weighs a new sample of a time; the first one counts in full.
func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + holdWeight*(sample-old)
}
