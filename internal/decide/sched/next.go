package sched

import (
	"fmt"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/deadline"
	"github.com/fireflypath/fireflypath/internal/decide/fair"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

const (
	// sample is how many targets are weighed for one decision. Up to this
	// number all are; of more, a random sample and the holders of the prefix, so
	// that a decision costs the same at 2,700 targets as at 12. The best of 12
	// random ones is among the best sixth in nine of ten decisions.
	sample = 12
	// aside is how many requests may step aside in one decision: for a faster
	// target, for one that has the prompt cached, or as long work. Each costs
	// another weighing of the open targets, few when many wait.
	aside = 8
	// worth is the least number of cached tokens that work steps aside for: four
	// blocks, a tenth of a second at the slowest targets.
	worth = 4 * block
	// patience is how many times the prefill it saves work may step aside for.
	// Under overload the target's time is what is short, and others use it
	// meanwhile.
	patience = 4
	// overdueAfter is how many times longer than expected a first token may take
	// before its target is taken for slow; others' work moves it by about two.
	overdueAfter = 3
	// again is how long after a relief round work past its time is returned once
	// more, if the owner has not decided by then: a peer that does not answer is
	// out of the membership after seconds, and each return starts a round.
	again = 250 * time.Millisecond
	// press is how long after a relief round lower work is not let in to wait: a
	// few round trips, until the daemon that asked has decided.
	press = 50 * time.Millisecond
)

// Next chooses the next work and its target and counts it as in flight.
func (s *Sched) Next(now time.Time, p *fireflypath.Placement) bool {
	s.drain.Pass(now, s.queue.Len() > 0)
	if len(s.sick) > 0 {
		s.probe(now)
	}
	for r := range fair.Ranks {
		if s.queue.Requests(r) == 0 {
			continue
		}
		if len(s.open) == 0 && r >= s.cfg.Lowest {
			return false
		}
		if s.nextOf(now, r, p) {
			return true
		}
	}
	return false
}

// kept is true if the free slots of the fast targets are kept for higher tiers.
// Slow targets are not: they end little work in time that has a tight deadline.
func (s *Sched) kept(now time.Time, r int) bool {
	if s.flights == 0 {
		return false
	}
	return float64(s.capacity-s.busy) <= s.reserve.Above(now, r)
}

// nextOf dispatches the first work of a tier that an open target can end in
// time. Work whose prompt is cached at a target without room lets others pass
// that are as well off here, for a while: the open target would prefill it anew.
func (s *Sched) nextOf(now time.Time, r int, p *fireflypath.Placement) bool {
	s.parked = s.parked[:0]
	s.keep = s.kept(now, r)
	patient := none
	found := false
	for !found && len(s.parked) < aside {
		slot := s.queue.Head(r)
		if slot == none {
			break
		}
		if s.drop(now, slot) {
			continue
		}
		s.find(s.items[slot].work)
		wait := s.elsewhere(now, slot, s.openDepth())
		if !wait && !s.choose(now, slot, p) {
			s.park(slot)
			continue
		}
		if wait || s.elsewhere(now, slot, s.hit(s.pick.Target)/block) {
			if patient == none {
				patient = slot
			}
			s.park(slot)
			continue
		}
		s.send(now, slot, p)
		found = true
	}
	for i := len(s.parked) - 1; i >= 0; i-- {
		s.queue.Return(s.parked[i], s.items[s.parked[i]].work)
	}
	if found || patient == none {
		return found
	}
	s.find(s.items[patient].work)
	if !s.choose(now, patient, p) {
		return false
	}
	s.send(now, patient, p)
	return true
}

// drop takes work out that was withdrawn elsewhere or that is too late.
func (s *Sched) drop(now time.Time, slot int32) bool {
	it := &s.items[slot]
	if it.work.Life.State() != fireflypath.StateWaiting {
		s.unqueue(slot)
		s.release(slot)
		return true
	}
	if !it.latest.After(now) {
		s.doom(slot)
		return true
	}
	return false
}

// park lets others pass until the end of the decision.
func (s *Sched) park(slot int32) {
	s.queue.Remove(slot)
	s.parked = append(s.parked, slot)
}

// elsewhere is true if much more of the prompt is cached at some target than the
// given number of blocks, for as long as is worth waiting for it. It is asked
// before the open targets are weighed, since stepping aside is to cost little,
// and again for the chosen one.
func (s *Sched) elsewhere(now time.Time, slot int32, blocks int) bool {
	it := &s.items[slot]
	if len(s.depths) == 0 || s.urgent(now, it) {
		return false
	}
	saved := (s.depths[0] - blocks) * block
	if saved < worth {
		return false
	}
	if it.aside.IsZero() {
		it.aside = now
	}
	sec := float64(saved) / s.prefillRate(&s.targets[s.holders[0]])
	return now.Sub(it.aside).Seconds() < patience*sec
}

// openDepth is how many blocks of the prompt the best open target holds.
func (s *Sched) openDepth() int {
	n := 0
	for k, i := range s.holders {
		if s.targets[i].at != none {
			n = max(n, s.depths[k])
		}
	}
	return n
}

// find looks up which targets hold the beginning of the prompt.
func (s *Sched) find(w *fireflypath.Work) {
	s.holders, s.depths = s.index.Find(w.Prefix, s.holders[:0], s.depths[:0])
}

// doom sets work aside for Expire, which returns it.
func (s *Sched) doom(slot int32) {
	s.unqueue(slot)
	s.items[slot].phase = phaseDoomed
	s.doomed = append(s.doomed, slot)
}

// choose finds the target for work. It reports false if the work would end too
// late at every open target, or is long and has to wait for its turn.
func (s *Sched) choose(now time.Time, slot int32, p *fireflypath.Placement) bool {
	it := &s.items[slot]
	w := it.work
	s.weigh(now, w, p)
	if len(s.options) == 0 {
		s.exceed(now, slot, p)
	}
	if len(s.options) == 0 {
		return false
	}
	key := uint64(0)
	if len(w.Prefix) > 0 {
		key = w.Prefix[0]
	}
	s.pick = s.options[s.chosen.Choose(key, s.options)]
	factor := s.margin.Factor()
	if s.urgent(now, it) && s.risky(w) {
		factor = s.margin.Tight()
	}
	if s.last(now, it) {
		factor = 1
	}
	if s.targets[s.pick.Target].known() && deadline.Latest(w.Deadline, s.expected(), factor).Before(now) {
		return false
	}
	return !s.long.Long(s.prefill(w)) || s.long.Open(s.parts, w.Team)
}

// expected is how long the work chosen for last takes.
func (s *Sched) expected() time.Duration {
	return time.Duration(s.pick.Score * float64(time.Second))
}

// prefill is how long the prefill of the work chosen for last takes, in seconds.
func (s *Sched) prefill(w *fireflypath.Work) float64 {
	t := s.pick.Target
	return float64(max(w.Cost.Prompt-s.hit(t), 0)) / s.prefillRate(&s.targets[t])
}

// send counts work as in flight at the target chosen last.
func (s *Sched) send(now time.Time, slot int32, p *fireflypath.Placement) {
	it := &s.items[slot]
	s.queue.Serve(slot)
	s.unschedule(slot)
	s.depart(now, slot)
	p.Work = it.work
	p.Target = s.targets[it.target].Name
	p.Waited = now.Sub(it.work.Arrived)
	p.Ahead = it.ahead
}

// weigh fills the options and the candidates: the holders found last, and all
// open targets or a random sample of many.
func (s *Sched) weigh(now time.Time, w *fireflypath.Work, p *fireflypath.Placement) {
	s.options = s.options[:0]
	p.Considered = p.Considered[:0]
	for _, i := range s.holders {
		if s.targets[i].at != none {
			s.consider(now, i, w, p)
		}
	}
	n := len(s.open)
	if n <= sample {
		for _, i := range s.open {
			if s.hit(i) == 0 {
				s.consider(now, i, w, p)
			}
		}
		return
	}
	at := s.rnd.IntN(n)
	step := 1 + s.rnd.IntN(n-1)
	for range sample {
		if i := s.open[at]; s.hit(i) == 0 {
			s.consider(now, i, w, p)
		}
		at = (at + step) % n
	}
}

// hit is the number of prompt tokens expected in the cache of a target, for the
// work weighed last.
func (s *Sched) hit(i int32) int {
	for k, h := range s.holders {
		if h == i {
			return s.depths[k] * block
		}
	}
	return 0
}

// urgent is true for work that has waited for half of the time it has.
func (s *Sched) urgent(now time.Time, it *item) bool {
	return 2*it.latest.Sub(now) <= it.latest.Sub(it.work.Arrived)
}

// last is true for work above the lowest tier that has waited for three quarters
// of its time: the next to come is its refusal, and before it that of all lower
// work.
func (s *Sched) last(now time.Time, it *item) bool {
	return rank(it.work) < s.cfg.Lowest && s.risky(it.work) && 4*it.latest.Sub(now) <= it.latest.Sub(it.work.Arrived)
}

// risky is true while work whose time runs out may be sent with a smaller margin
// or beyond a window. Its refusal would cost lower work that waits, or the tier is
// short of targets for a moment only. When more of its tier waits than the fast
// targets take at once, the refusal costs nothing: other work of the tier uses the
// place and ends in time, where the risk would turn into prefill thrown away.
func (s *Sched) risky(w *fireflypath.Work) bool {
	r := rank(w)
	return s.lower(r) >= 0 || s.queue.Requests(r) <= s.capacity
}

// exceed offers targets beyond their windows to work whose time is running out,
// unless it is of the lowest tier. The slots of a window that lower work took in
// a quiet moment come back too late for it; one request more in the target's own
// queue waits for the next answer there, which all daemons together bring about
// nine times as often as this one sees.
func (s *Sched) exceed(now time.Time, slot int32, p *fireflypath.Placement) {
	it := &s.items[slot]
	if rank(it.work) >= s.cfg.Lowest || !s.risky(it.work) || !s.urgent(now, it) {
		return
	}
	n := len(s.targets)
	at := s.rnd.IntN(n)
	for range min(n, sample) {
		t := &s.targets[at]
		spare := t.requests <= t.limit() && t.filling == 0
		if s.last(now, it) {
			spare = t.requests <= t.limit()+1
		}
		if t.usable() && t.slow.State() == slow.Ready && spare {
			s.consider(now, int32(at), it.work, p)
		}
		at = (at + 1) % n
	}
}

func (s *Sched) consider(now time.Time, i int32, w *fireflypath.Work, p *fireflypath.Placement) {
	t := &s.targets[i]
	if s.keep && s.fast(t) {
		return
	}
	hit := s.hit(i)
	score := s.expect(now, t, w, hit)
	if t.slow.State() == slow.Slow || (t.filling > 0 && now.After(t.due)) {
		score *= slowPenalty
	}
	s.options = append(s.options, place.Option{Target: i, Hash: t.hash, Requests: t.requests, Score: score})
	p.Considered = append(p.Considered, fireflypath.Candidate{
		Target:   t.Name,
		Held:     t.tokens,
		Reported: t.report.Tokens,
		Age:      now.Sub(t.report.Measured),
		Window:   int(t.part * float64(t.window.Tokens(s.prefillRate(t)))),
		Hit:      hit,
		Score:    score,
	})
}

// slowPenalty makes a slow target the last choice, but better than none.
const slowPenalty = 3

// depart counts work as in flight.
func (s *Sched) depart(now time.Time, slot int32) {
	it, t := &s.items[slot], &s.targets[s.pick.Target]
	w := it.work
	it.phase = phaseFlight
	it.target, it.sent, it.first = s.pick.Target, now, time.Time{}
	it.fresh, it.before = max(w.Cost.Prompt-s.hit(it.target), 0), t.prefill
	it.expected, it.long = s.expected(), s.long.Long(s.prefill(w))
	if it.long {
		s.long.Start(w.Team)
	}
	t.requests++
	t.tokens += w.Cost.Tokens()
	t.prefill += it.fresh
	t.filling++
	if t.filling == 1 {
		t.due = now.Add(s.overdue(now, t))
	}
	s.prompt += blend * (float64(it.fresh) - s.prompt)
	s.flights++
	s.reserve.Start(rank(w))
	s.running[rank(w)] += w.Cost.Tokens()
	s.flying[rank(w)]++
	s.drain.Add(now, w.Cost.Tokens())
	t.slow.Probe()
	s.index.Store(it.target, w.Prefix)
	s.refresh(it.target)
}

// overdue is how long a target with prefills in flight may send no first token
// before it is taken for slow: the answers that would tell come too late, as
// they are slow themselves.
func (s *Sched) overdue(now time.Time, t *target) time.Duration {
	sec := t.speed.Delay(now).Seconds() + float64(t.prefill)/s.prefillRate(t)
	return max(time.Duration(overdueAfter*sec*float64(time.Second)), 2*brief)
}

// filled ends the prefill of work in flight.
func (s *Sched) filled(now time.Time, it *item, t *target) {
	t.prefill -= it.fresh
	t.filling--
	t.due = now.Add(s.overdue(now, t))
	if it.long {
		s.long.End(it.work.Team)
	}
}

// land takes work out of flight.
func (s *Sched) land(now time.Time, slot int32) {
	it := &s.items[slot]
	t := &s.targets[it.target]
	t.requests--
	t.tokens -= it.work.Cost.Tokens()
	if it.first.IsZero() {
		s.filled(now, it, t)
	}
	s.flights--
	s.reserve.End(rank(it.work), now.Sub(it.sent))
	s.running[rank(it.work)] -= it.work.Cost.Tokens()
	s.flying[rank(it.work)]--
	s.refresh(it.target)
}

// Expire appends the waiting work that can no longer end in time.
func (s *Sched) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	s.drain.Pass(now, s.queue.Len() > 0)
	for len(s.latest) > 0 && !s.items[s.latest[0]].latest.After(now) {
		slot := s.latest[0]
		latest := s.latestOf(s.items[slot].work)
		if latest.After(now) {
			s.unschedule(slot)
			s.schedule(slot, latest)
			continue
		}
		s.doom(slot)
	}
	kept := s.doomed[:0]
	for _, slot := range s.doomed {
		keep := false
		if out, keep = s.expire(now, slot, out); keep {
			kept = append(kept, slot)
		}
	}
	s.doomed = kept
	return out
}

// expire refuses work whose latest start has passed. If lower work may wait
// here or at peers it has to go first: a caller of a higher tier must not be
// refused while lower work holds a place. While peers are asked the work is
// kept, for the owner to withdraw; it reports true then.
func (s *Sched) expire(now time.Time, slot int32, out []fireflypath.Shed) ([]fireflypath.Shed, bool) {
	it := &s.items[slot]
	w := it.work
	if it.phase != phaseDoomed || w.Life.State() != fireflypath.StateWaiting {
		s.release(slot)
		return out, false
	}
	if now.Sub(it.asked) < again {
		return out, true
	}
	sh := s.lateShed(now, w)
	sh.Detail = fmt.Sprintf("waited %v and can no longer end in time", now.Sub(w.Arrived).Round(time.Millisecond))
	s.items[slot].asked = now
	if !sh.Relief {
		s.release(slot)
	}
	return append(out, sh), sh.Relief
}

// Relieve gives up waiting work of lower tiers than rank, lowest first, until
// tokens are freed.
func (s *Sched) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	if now.Before(s.pressed) {
		// another round's work may be of a higher tier than this one's
		s.pressure = min(s.pressure, rank)
	} else {
		s.pressure = rank
	}
	s.pressed = now.Add(press)
	freed := 0
	for freed < tokens {
		r := s.lower(rank)
		if r < 0 {
			break
		}
		slot := s.queue.Victim(r)
		w := s.items[slot].work
		freed += max(w.Cost.Tokens(), 1)
		s.unqueue(slot)
		out = append(out, fireflypath.Shed{
			Work:       w,
			Reason:     fireflypath.ReasonFull,
			RetryAfter: s.retryAfter(now, w, freed),
			Detail:     fmt.Sprintf("gave way to work of rank %d", rank),
		})
		s.release(slot)
	}
	return out
}

// Wake is when Next or Expire may have something new without an event.
func (s *Sched) Wake(now time.Time) time.Time {
	var at time.Time
	if len(s.latest) > 0 {
		at = s.items[s.latest[0]].latest
	}
	for _, slot := range s.doomed {
		if due := s.items[slot].asked.Add(again); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	if s.queue.Len() == 0 {
		return at
	}
	for _, i := range s.sick {
		t := &s.targets[i]
		if !t.usable() || t.requests > 0 {
			continue
		}
		if due := t.slow.Due(); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	return at
}
