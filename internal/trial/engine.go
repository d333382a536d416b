package trial

import (
	"container/heap"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// batch is the most requests an engine runs at once.
	batch = 16
	// prefill is the prefill speed in tokens a second of the fastest generation.
	prefill = 20000
	// stepBase and stepEach make the time of a decode step in seconds at the
	// fastest generation: 14 ms with a full batch, the slowest 72 ms.
	stepBase = 0.008
	stepEach = 0.0004
	// tax is the part of its decode speed that a batch keeps during a prefill.
	tax = 0.7
	// memory is the prefix cache of an engine in blocks: 256,000 tokens,
	// a third of what all documents of a mix take together on one engine.
	memory = 4000
)

// generations are the slowness factors of the twelve replicas: five hardware
// generations, a factor of five apart.
var generations = []float64{1, 1, 1, 1.5, 1.5, 1.5, 2.2, 2.2, 3.3, 3.3, 5, 5}

// engine is a model engine: first-in first-out, prefill one request after the
// other, decode all together, slower the more there are.
type engine struct {
	loop   *loop
	name   string
	factor float64
	cache  *cache
	queue  []*job
	// filling is in prefill; ends is when that is done.
	filling *job
	running runs
	// virtual is the number of tokens that a request decoding since the start
	// would have; at is when that was reckoned.
	virtual float64
	at      time.Time
	version int
	stored  []uint64
	dropped []uint64
	// prefilled counts prefilled tokens.
	prefilled int
	held      int
}

// job is a request at an engine.
type job struct {
	work   *fireflypath.Work
	output int
	hit    int
	end    float64
	first  func(cached int)
	done   func()
	cut    bool
}

// runs is a heap of decoding jobs by their end in virtual tokens.
type runs []*job

func (r runs) Len() int { return len(r) }

func (r runs) Less(i, j int) bool {
	if r[i].end != r[j].end {
		return r[i].end < r[j].end
	}
	return r[i].work.ID < r[j].work.ID
}

func (r runs) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

func (r *runs) Push(x any) { *r = append(*r, x.(*job)) }

func (r *runs) Pop() any {
	old := *r
	n := len(old) - 1
	x := old[n]
	*r = old[:n]
	return x
}

// accept queues a job.
func (e *engine) accept(j *job) {
	e.held += j.work.Cost.Prompt + j.output
	e.queue = append(e.queue, j)
	e.fill()
}

// fill starts the next prefill if there is a slot.
func (e *engine) fill() {
	if e.filling != nil || len(e.queue) == 0 || len(e.running) >= batch {
		return
	}
	e.advance()
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.filling = j
	j.hit = min(e.cache.find(j.work.Prefix)*block, j.work.Cost.Prompt-1)
	fresh := j.work.Cost.Prompt - j.hit
	e.prefilled += fresh
	sec := float64(fresh) / prefill * e.factor
	e.loop.after(seconds(sec), e.filled)
	e.schedule()
}

// filled ends a prefill: the first token is out.
func (e *engine) filled() {
	e.advance()
	j := e.filling
	e.filling = nil
	stored, dropped := e.cache.store(j.work.Prefix)
	e.stored = append(e.stored, stored...)
	e.dropped = append(e.dropped, dropped...)
	e.held -= j.work.Cost.Prompt
	j.first(j.hit)
	if j.cut {
		e.held -= j.output
	} else {
		j.end = e.virtual + float64(max(j.output-1, 0))
		heap.Push(&e.running, j)
	}
	e.fill()
	e.schedule()
}

// rate is the decode speed of one request in tokens a second.
func (e *engine) rate() float64 {
	r := 1 / ((stepBase + stepEach*float64(len(e.running))) * e.factor)
	if e.filling != nil {
		r *= tax
	}
	return r
}

func (e *engine) advance() {
	d := e.loop.now.Sub(e.at).Seconds()
	e.at = e.loop.now
	if len(e.running) > 0 {
		e.virtual += d * e.rate()
	}
}

// schedule sets the time of the next end; earlier settings become void.
func (e *engine) schedule() {
	e.version++
	if len(e.running) == 0 {
		return
	}
	v := e.version
	left := max(e.running[0].end-e.virtual, 0)
	e.loop.after(seconds(left/e.rate())+time.Microsecond, func() {
		if v == e.version {
			e.finish()
		}
	})
}

func (e *engine) finish() {
	e.advance()
	for len(e.running) > 0 && e.running[0].end <= e.virtual+1e-6 {
		j := heap.Pop(&e.running).(*job)
		e.held -= j.output
		j.done()
	}
	e.fill()
	e.schedule()
}

// slow changes the engine's speed from now on.
func (e *engine) slow(factor float64) {
	e.advance()
	e.factor *= factor
	e.schedule()
}

func (e *engine) report() fireflypath.Report {
	running := len(e.running)
	if e.filling != nil {
		running++
	}
	return fireflypath.Report{
		MeasuredAt: e.loop.now,
		Running:    running,
		Waiting:    len(e.queue),
		Tokens:     e.held,
		MaxRunning: batch,
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
