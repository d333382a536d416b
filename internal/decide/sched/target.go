package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
	"github.com/fireflypath/fireflypath/internal/decide/speed"
	"github.com/fireflypath/fireflypath/internal/decide/window"
)

const (
	// guessPrefill and guessDecode are the speeds in tokens a second assumed
	// before any answer. 27 tokens a second are the letter's 37 ms between
	// tokens; a prompt of 2,000 tokens in its 0.49 s to the first token needs
	// about 5,000.
	guessPrefill = 5000
	guessDecode  = 27
	// quick is how many times slower than the fastest a fast target may be. Of
	// five generations with speeds five times apart it takes the upper three.
	quick = 2.5
	// block is the size of a cache block in tokens (docs/PROTOCOLS.md).
	block = 64
)

// target is what is known of one target.
type target struct {
	fireflypath.Target
	gone    bool
	leaving bool
	window  window.Window
	speed   speed.Speed
	slow    slow.Detector
	// part is this daemon's fraction of the window, dither what rounds it.
	part, dither float64
	// hash is of the name, the same at all daemons.
	hash uint64
	// requests and tokens are in flight from here; prefill is the prompt part
	// before the first token.
	requests int
	tokens   int
	prefill  int
	// filling is the number of requests before their first token.
	filling int
	report  fireflypath.Report
	// slots and busy are what the target counts for in the sums of slots and of
	// busy slots of fast targets.
	slots, busy int
	// counted is what the target counts for in the sum of parts.
	counted float64
	// due is when the next first token is overdue.
	due time.Time
	// at is the position in the list of open targets, or -1.
	at int32
}

// SetTargets replaces the targets and keeps what was learned of those that stay.
func (s *Scheduler) SetTargets(_ time.Time, targets []fireflypath.Target) {
	for i := range s.targets {
		s.targets[i].gone = true
	}
	for _, t := range targets {
		s.setTarget(t)
	}
	for i := range s.targets {
		s.refresh(int32(i))
	}
}

func (s *Scheduler) setTarget(t fireflypath.Target) {
	if i, ok := s.names[t.Name]; ok {
		old := &s.targets[i]
		old.gone = false
		if old.Addr != t.Addr {
			old.window.Reset()
			old.slow.Reset()
			old.leaving = false
			s.index.Forget(i)
		}
		old.Target = t
		return
	}
	i := s.vacant()
	s.targets[i] = target{
		Target: t,
		window: window.New(t.Window),
		part:   s.partOf(t.Name),
		dither: s.noise(t.Name),
		hash:   xxhash.Sum64String(t.Name),
		at:     none,
	}
	s.names[t.Name] = i
}

// vacant is the number of a target that is gone and holds no work, or a new one.
func (s *Scheduler) vacant() int32 {
	for i := range s.targets {
		t := &s.targets[i]
		if t.gone && t.requests == 0 && t.at == none {
			delete(s.names, t.Name)
			s.index.Forget(int32(i))
			return int32(i)
		}
	}
	s.targets = append(s.targets, target{})
	return int32(len(s.targets) - 1)
}

// SetShare sets this daemon's part of each target's window.
func (s *Scheduler) SetShare(_ time.Time, share fireflypath.Share) {
	s.share = share
	for i := range s.targets {
		s.targets[i].part = s.partOf(s.targets[i].Name)
		s.refresh(int32(i))
	}
}

func (s *Scheduler) partOf(name string) float64 {
	if p, ok := s.share.Part[name]; ok {
		return p
	}
	return s.share.Default
}

// usable is true if the target may get work at all.
func (t *target) usable() bool {
	return !t.gone && !t.leaving && !t.Drained && t.part > 0
}

// limit is how many requests this daemon may have there. Parts of a window are
// fractions of a request; rounding them by a number that differs between
// daemons makes their sum the window, where rounding up would overfill every
// target and rounding down would leave small windows unused.
func (t *target) limit() int {
	return int(t.part*t.window.Requests() + t.dither)
}

// room is true if one more request may be sent. Whatever is below its limits
// takes one request of any size: a part of a window can be smaller than one
// long request, which would otherwise wait for ever. So a daemon exceeds its
// part by less than one request.
func (s *Scheduler) room(t *target) bool {
	if !t.usable() {
		return false
	}
	if t.slow.State() == slow.Probing {
		return false
	}
	if s.flights > 0 && t.requests >= t.limit() {
		return false
	}
	return t.prefill == 0 || t.prefill < int(t.part*float64(t.window.Tokens(s.prefillRate(t))))
}

// refresh moves a target in or out of the list of open ones.
func (s *Scheduler) refresh(i int32) {
	t := &s.targets[i]
	s.count(t)
	if t.slow.State() == slow.Ejected {
		s.close(i)
		s.quarantine(i)
		return
	}
	if s.room(t) {
		if t.at == none {
			t.at = int32(len(s.open))
			s.open = append(s.open, i)
		}
		return
	}
	s.close(i)
}

// count keeps the sums over targets.
func (s *Scheduler) count(t *target) {
	part := 0.0
	if t.usable() && t.slow.State() != slow.Ejected {
		part = t.part
	}
	s.parts += part - t.counted
	t.counted = part
	slots, busy := 0, 0
	if t.usable() && t.slow.State() == slow.Ready && s.fast(t) {
		slots, busy = t.limit(), t.requests
	}
	s.capacity += slots - t.slots
	s.busy += busy - t.busy
	t.slots, t.busy = slots, busy
}

// fast is true for a target that work with a tight deadline can use.
func (s *Scheduler) fast(t *target) bool {
	return quick*s.decodeRate(t) >= s.fastDecode
}

func (s *Scheduler) close(i int32) {
	t := &s.targets[i]
	if t.at == none {
		return
	}
	n := len(s.open) - 1
	last := s.open[n]
	s.open[t.at] = last
	s.targets[last].at = t.at
	s.open = s.open[:n]
	t.at = none
}

func (s *Scheduler) quarantine(i int32) {
	for _, j := range s.sick {
		if i == j {
			return
		}
	}
	s.sick = append(s.sick, i)
}

// probe opens ejected targets whose pause is over for one request.
func (s *Scheduler) probe(now time.Time) {
	for k := 0; k < len(s.sick); k++ {
		i := s.sick[k]
		t := &s.targets[i]
		ejected := t.slow.State() == slow.Ejected
		if ejected && (now.Before(t.slow.Due()) || !t.usable() || t.requests > 0) {
			continue
		}
		s.sick[k] = s.sick[len(s.sick)-1]
		s.sick = s.sick[:len(s.sick)-1]
		k--
		if ejected && t.at == none {
			t.at = int32(len(s.open))
			s.open = append(s.open, i)
		}
	}
}

// known is true if the target's speeds were learned from answers.
func (t *target) known() bool {
	return t.speed.Prefill() > 0 && t.speed.Decode() > 0
}

func (s *Scheduler) prefillRate(t *target) float64 {
	if r := t.speed.Prefill(); r > 0 {
		return r
	}
	if s.fastPrefill > 0 {
		return s.fastPrefill / 2
	}
	return guessPrefill
}

func (s *Scheduler) decodeRate(t *target) float64 {
	if r := t.speed.Decode(); r > 0 {
		return r
	}
	if s.fastDecode > 0 {
		return s.fastDecode / 2
	}
	return guessDecode
}

// expect is how long work takes at a target in seconds: own prefill ahead, the
// delay that others cause, what is not cached, and the output.
func (s *Scheduler) expect(now time.Time, t *target, w *fireflypath.Work, hit int) float64 {
	fresh := max(w.Cost.Prompt-hit, 0)
	wait := max(t.speed.Delay(now).Seconds(), s.queued(now, t))
	prefill := float64(t.prefill+fresh) / s.prefillRate(t)
	decode := s.outputOf(w) / s.decodeRate(t)
	return wait + prefill + decode
}

// queued is the time that the work of other daemons waiting in the target takes
// to prefill, in seconds, as last reported, less what has passed since.
func (s *Scheduler) queued(now time.Time, t *target) float64 {
	others := float64(t.report.Waiting - t.filling)
	if others <= 0 {
		return 0
	}
	return max(others*s.prompt/s.prefillRate(t)-now.Sub(t.report.Measured).Seconds(), 0)
}

func (s *Scheduler) outputOf(w *fireflypath.Work) float64 {
	return float64(w.Cost.Output) * s.output
}
