package sim

import (
	"math"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

const (
	// maxRetryWaitFraction is the largest fraction of the time left until its deadline
	// that a caller waits before it retries.
	maxRetryWaitFraction = 1.0 / 3
	// maxRetries is how often a caller retries.
	maxRetries = 1
	// maxImpatientRetries is how often a caller retries that does not wait before it
	// does.
	maxImpatientRetries = 3
	// estimateSpread is the standard deviation of the logarithm of the error in
	// callers' estimates of the output size.
	estimateSpread = 0.5
	// waveAmplitude and wavePeriod describe the periodic variation of the arrival rate.
	waveAmplitude = 0.15
	wavePeriod    = 11 * time.Second
	// rankStep is the difference in rank between the two groups of teams.
	rankStep = 4
	// balancerSkew is the largest relative deviation of a daemon's share of the
	// requests from an even share.
	balancerSkew = 0.25
)

// request is a caller's request over all of its attempts.
type request struct {
	w      *world
	id     string
	kind   int
	prompt int
	// output is in tokens; outputEstimate is the caller's estimate of it.
	output, outputEstimate int
	rank                   int
	arrivedAt              time.Time
	impatient              bool

	attempts   int
	refusals   int
	lastDaemon *daemon
	ended      bool
	// generated counts the output tokens received; firstEventAt, lastEventAt and
	// longestGap describe the output events.
	generated    int
	firstEventAt time.Time
	// version is the version of the engine that sent the first event, or "".
	version     string
	lastEventAt time.Time
	longestGap  time.Duration
	// dispatchedAt is the time of the first dispatch of the first attempt.
	dispatchedAt time.Time
	// counted is true if the first attempt was made while paths were lost, countedCut if at a daemon
	// without paths.
	counted, countedCut bool
	// keeps is true once the caller returned at the time that it was told.
	keeps bool
	// crashes is the part by which the request crashes engines, or 0; away is how long these are gone.
	crashes digest.Digest
	away    time.Duration
}

func (r *request) spec() fleet.Kind { return r.w.options.Fleet.Kinds[r.kind] }

func (r *request) deadline() time.Time { return r.arrivedAt.Add(r.spec().Timeout.Duration()) }

// scheduleArrivals schedules the arrival of all requests.
func (w *world) scheduleArrivals() {
	w.generateRequests(func(r *request) { w.loop.At(r.arrivedAt, r.start) })
}

// generateRequests draws all requests. They do not depend on the outcome of earlier
// ones.
func (w *world) generateRequests(fn func(*request)) {
	for k, kind := range w.options.Fleet.Kinds {
		rnd := newRand(w.options.Seed, uint64(100+k))
		phase := rnd.Float64() * 2 * math.Pi
		maxRate := kind.Rate * 6
		for at := 0.0; ; {
			at += rnd.ExpFloat64() / maxRate
			t := time.Duration(at * float64(time.Second))
			if t >= load.Span {
				break
			}
			wave := 1 + waveAmplitude*math.Sin(2*math.Pi*t.Seconds()/wavePeriod.Seconds()+phase)
			accept := rnd.Float64() < kind.Rate*w.options.Load.RateFactor(k, t)*wave/maxRate
			r := w.drawRequest(rnd, k, t)
			if accept {
				fn(r)
			}
		}
	}
}

// drawRequest draws the properties of one request.
func (w *world) drawRequest(rnd randomSource, k int, at time.Duration) *request {
	kind := w.options.Fleet.Kinds[k]
	events := lognormalSize(rnd, kind.Output)
	r := &request{
		w: w, kind: k, id: strconv.Itoa(k) + "-" + strconv.FormatInt(int64(at), 36),
		prompt: int(lognormalSize(rnd, kind.Prompt)), output: int(max(events, 1) * float64(w.options.Fleet.Engines.Stride)),
		rank: k, arrivedAt: loop.Epoch.Add(at),
	}
	r.outputEstimate = max(1, int(float64(r.output)*math.Exp(estimateSpread*rnd.NormFloat64())))
	if rnd.Float64() >= w.options.Fleet.HighPriority {
		r.rank += rankStep
	}
	r.impatient = rnd.Float64() < w.options.Load.Impatient
	return r
}

// lognormalSize draws a size from a lognormal distribution with the given mean.
func lognormalSize(rnd randomSource, s fleet.Size) float64 {
	v := s.Mean * math.Exp(s.Spread*rnd.NormFloat64()-s.Spread*s.Spread/2)
	return math.Round(min(max(v, 1), s.Max))
}

func (r *request) start() {
	r.w.tally.add(r)
	r.startAttempt()
}

// startAttempt sends the request to a daemon chosen by the balancer, not the one of the
// previous attempt.
func (r *request) startAttempt() {
	d := r.w.pickDaemon(r)
	r.lastDaemon = d
	r.attempts++
	if r.attempts == 1 {
		r.w.countAttempt(r)
	} else {
		r.w.returns.countAttempt(r)
	}
	c := &call{r: r, d: d, number: r.attempts}
	now := r.w.loop.Now()
	patience := r.spec().Patience()
	r.w.loop.After(r.w.options.Fleet.CallerHop.Duration(), func() { c.offer() })
	r.w.loop.After(patience, func() { c.checkPatience(now, patience) })
}

// pickDaemon chooses a daemon pseudorandomly with uneven weights.
func (w *world) pickDaemon(r *request) *daemon {
	n := len(w.daemons)
	weight := func(d *daemon) float64 {
		if d == r.lastDaemon && n > 1 {
			return 0
		}
		even := 1 + balancerSkew*(1-2*float64(d.index)/float64(max(n-1, 1)))
		return even * w.options.Load.CellFactor(d.cell, w.loop.Now().Sub(loop.Epoch))
	}
	sum := 0.0
	for _, d := range w.daemons {
		sum += weight(d)
	}
	at := hashFraction(w.options.Seed, int(r.arrivedAt.Sub(loop.Epoch)), r.attempts+10*r.kind) * sum
	for _, d := range w.daemons {
		if at -= weight(d); at < 0 {
			return d
		}
	}
	return w.daemons[n-1]
}

// handleRefusal handles a refusal: the caller retries after the given time, or gives
// up.
func (r *request) handleRefusal(after time.Duration) {
	r.refusals++
	remaining := r.deadline().Sub(r.w.loop.Now())
	limit := maxRetries
	r.countRefusal(after, remaining)
	if r.impatient {
		limit, after = maxImpatientRetries, 0
	}
	if r.attempts > limit || remaining <= 0 {
		r.finish(outcomeRefused)
		return
	}
	r.w.loop.After(min(after, time.Duration(maxRetryWaitFraction*float64(remaining))), r.startAttempt)
}

// handleFailure handles an answer that broke off or never began.
func (r *request) handleFailure() {
	if r.spec().Repeat && r.attempts <= maxRetries && r.w.loop.Now().Before(r.deadline()) {
		r.startAttempt()
		return
	}
	r.finish(outcomeFailed)
}

// handleEvent handles one output event.
func (r *request) handleEvent(now time.Time, last bool) {
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	if !last {
		return
	}
	k := r.spec()
	if r.firstEventAt.Sub(r.arrivedAt) <= k.Goal.Duration() && r.longestGap <= k.Gap.Duration() {
		r.finish(outcomeInTime)
		return
	}
	r.finish(outcomeLate)
}

func (r *request) finish(o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	if r.crashes != 0 {
		return // nobody waits for it
	}
	if o == outcomeInTime || o == outcomeLate {
		r.w.countServed(r)
	}
	r.countReturned(o)
	r.w.tally.finish(r, o)
}
