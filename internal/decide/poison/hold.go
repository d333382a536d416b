package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

// hold is a set of causes. Requests with all of them are refused.
type hold struct {
	// members is ordered and not empty.
	members []digest.Digest
	pool    string
	kind    Kind
	// until is when such requests may run again; count is how often they were held.
	until   time.Time
	count   int
	crashes int
	// number grows with each hold of this detector.
	number int
	// evidence names the crashed targets that led to the hold. It is empty if another daemon decided.
	evidence []string
}

// digest identifies the set.
func (h *hold) digest() digest.Digest { return digest.OfSet(h.members) }

func (h *hold) verdict(s State) Verdict {
	return Verdict{Digest: h.digest(), Members: h.members, Kind: h.kind, Pool: h.pool, State: s, Until: h.until, Crashes: h.crashes, Holds: h.count}
}

// isHeld reports whether requests with the causes are held.
func (det *Detector) isHeld(now time.Time, causes []digest.Digest) bool {
	for _, d := range causes {
		for _, h := range det.holdsOf[d] {
			if now.Before(h.until) && containsAll(causes, h.members) {
				return true
			}
		}
	}
	return false
}

// withoutMember replaces a hold by one of the other members, which are to blame then.
func (det *Detector) withoutMember(key digest.Digest, h *hold, d digest.Digest) []Verdict {
	det.removeHold(key)
	cleared := h.verdict(Cleared)
	rest := *h
	rest.members = slices.DeleteFunc(slices.Clone(h.members), func(o digest.Digest) bool { return o == d })
	if len(rest.members) == 0 {
		return []Verdict{cleared}
	}
	if same := det.holds[rest.digest()]; same != nil && same.until.After(rest.until) {
		return []Verdict{cleared}
	}
	det.addHold(&rest)
	return []Verdict{cleared, rest.verdict(Held)}
}

// Release ends the hold or the suspicion that the digest identifies. It reports false if there is
// none.
func (det *Detector) Release(d digest.Digest) (Verdict, bool) {
	if h := det.holds[d]; h != nil {
		det.removeHold(d)
		return h.verdict(Cleared), true
	}
	r := det.causes[d]
	if r == nil || r.suspectSince.IsZero() {
		return Verdict{}, false
	}
	det.forget(d, r)
	return Verdict{Digest: d, Pool: r.pool, State: Cleared, Crashes: r.total()}, true
}

// addHold holds a set of causes and restarts the count of their crashes.
func (det *Detector) addHold(h *hold) {
	key := h.digest()
	det.removeHold(key)
	det.lastHold++
	h.number = det.lastHold
	det.holds[key] = h
	for _, d := range h.members {
		det.holdsOf[d] = append(det.holdsOf[d], h)
	}
	for name, t := range det.crashedTargets {
		if !t.explained && slices.ContainsFunc(t.runs, func(r run) bool { return r.hasAll(h.members) }) {
			det.explain(name, t)
		}
	}
	for _, d := range h.members {
		if r := det.causes[d]; r != nil {
			r.suspectSince = time.Time{}
		}
	}
}

// removeHold removes a hold, if there is one.
func (det *Detector) removeHold(key digest.Digest) {
	h := det.holds[key]
	if h == nil {
		return
	}
	delete(det.holds, key)
	for _, d := range h.members {
		det.holdsOf[d] = slices.DeleteFunc(det.holdsOf[d], func(o *hold) bool { return o == h })
		if len(det.holdsOf[d]) == 0 {
			delete(det.holdsOf, d)
		}
	}
}

// holdCause holds a cause together with those that it was never seen without.
func (det *Detector) holdCause(now time.Time, c candidate) Verdict {
	h := &hold{members: det.inseparable(c.digest, c.cause), pool: c.cause.pool, kind: KindPart, crashes: c.crashes}
	for _, crash := range c.cause.crashes {
		h.evidence = append(h.evidence, crash.target)
	}
	slices.Sort(h.members)
	if slices.ContainsFunc(h.members, func(d digest.Digest) bool { return det.causes[d] != nil && det.causes[d].isRequest }) {
		h.kind = KindRequest
	}
	holds := 0
	if old := det.holds[h.digest()]; old != nil {
		holds = old.count
	}
	h.until, h.count = now.Add(det.cfg.HoldTime<<min(holds, maxDoublings)), holds+1
	det.addHold(h)
	return h.verdict(Held)
}

// withdrawExplained ends the holds whose crashes are all explained by what was held later, and returns
// their verdicts. While several causes crash all targets, a sound request that many send meets more
// crashes than each of them and is held first. It is refused from then on, so that no answer can clear
// it. A later hold is proved by crashes without it. A set is withdrawn only once.
func (det *Detector) withdrawExplained(now time.Time) []Verdict {
	var explained []*hold
	for key, h := range det.holds {
		if len(h.evidence) > 0 && !det.withdrawn[key] && now.Before(h.until) && det.explainedByLaterHolds(now, h) {
			explained = append(explained, h)
		}
	}
	slices.SortFunc(explained, func(a, b *hold) int { return cmp.Compare(a.number, b.number) })
	var out []Verdict
	for _, h := range explained {
		det.withdrawn[h.digest()] = true
		det.removeHold(h.digest())
		out = append(out, h.verdict(Cleared))
	}
	return out
}

// explainedByLaterHolds reports whether on each target whose crash led to the hold, a request ran that
// is held by a later one.
func (det *Detector) explainedByLaterHolds(now time.Time, h *hold) bool {
	for _, name := range h.evidence {
		t := det.crashedTargets[name]
		if t == nil || !slices.ContainsFunc(t.runs, func(r run) bool { return det.isHeldLater(now, h, r.causes) }) {
			return false
		}
	}
	return true
}

// isHeldLater reports whether requests with the causes are held by a hold that began after h and has
// no member in common with it.
func (det *Detector) isHeldLater(now time.Time, h *hold, causes []digest.Digest) bool {
	for _, d := range causes {
		for _, o := range det.holdsOf[d] {
			if o.number > h.number && now.Before(o.until) && containsAll(causes, o.members) && !sharesMember(o, h) {
				return true
			}
		}
	}
	return false
}

// sharesMember reports whether two holds have a cause in common.
func sharesMember(a, b *hold) bool {
	return slices.ContainsFunc(a.members, func(d digest.Digest) bool { return slices.Contains(b.members, d) })
}
