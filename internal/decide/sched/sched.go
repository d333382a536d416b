// Package sched implements the scheduler of one pool on one daemon on top of the
// other packages in decide. It learns how many requests each target may hold at
// once; package slots uses the number of slots that targets report instead.
package sched

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/deadline"
	"github.com/fireflypath/fireflypath/internal/decide/fair"
	"github.com/fireflypath/fireflypath/internal/decide/longprefill"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/prefix"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
	"github.com/fireflypath/fireflypath/internal/decide/reserve"
	"github.com/fireflypath/fireflypath/internal/decide/retry"
)

const (
	// defaultMaxRequests limits the number of waiting requests. At the
	// specified peak of 57 requests per second and daemon it holds more than a
	// minute of arrivals, which is longer than interactive callers wait.
	defaultMaxRequests = 4096
	// defaultMaxBytes limits the memory held by waiting requests.
	defaultMaxBytes = 64 << 20
	// rateHorizon is the averaging time of drain and arrival rates. It is long
	// compared with the run time of a request and short compared with a burst.
	rateHorizon = 10 * time.Second
	// none marks a missing item, target or position.
	none = int32(-1)
)

// Config configures a Scheduler.
type Config struct {
	// Pool is the pool to schedule for.
	Pool fireflypath.Pool
	// Targets are the initial targets of the pool.
	Targets []fireflypath.Target
	// LowestRank is the rank of the lowest configured tier. Work of a higher
	// tier is refused for lack of capacity only after peers were asked to shed
	// lower-tier work.
	LowestRank int
	// Seed initializes the random choices. It differs between daemons so that
	// daemons with the same view do not all choose the same target.
	Seed uint64
	// Placement selects the placement strategy; the zero value is the default
	// one.
	Placement place.Policy
}

// Scheduler implements fireflypath.Scheduler.
type Scheduler struct {
	cfg         Config
	queue       *fair.Queue
	chooser     *place.Chooser
	prefixIndex *prefix.Index
	backoff     *retry.Backoff
	margin      deadline.Margin
	rng         *rand.Rand

	items   []item
	freeIDs []int32
	idOf    map[*fireflypath.Work]int32
	// startHeap is a min-heap of waiting items, ordered by latest start time.
	startHeap []int32
	// expired lists work that passed its latest start; Expire returns it.
	expired []int32

	targets     []target
	targetIndex map[string]int32
	// available lists the targets that can take another request, ejected the
	// targets ejected by slowness detection.
	available, ejected []int32
	share              fireflypath.Share
	// inFlight counts the requests in flight; inFlightTokens and inFlightByRank
	// hold their estimated tokens and their number by rank.
	inFlight       int
	inFlightTokens [fair.Ranks]int
	inFlightByRank [fair.Ranks]int

	reserve *reserve.Reserve
	// fastSlots is the total request limit of the usable fast targets, fastBusy
	// the number of requests in flight there.
	fastSlots, fastBusy int
	drainRate           rate.Meter
	arrivalRates        [fair.Ranks]rate.Meter
	// outputRatio is the learned ratio of generated to allowed output tokens.
	outputRatio float64
	// maxPrefillRate and maxDecodeRate are the highest known speeds in tokens
	// per second, 0 before the first answer.
	maxPrefillRate, maxDecodeRate float64
	// avgUncached is the average number of prompt tokens to prefill.
	avgUncached float64
	// avgSlowness is the average ratio of actual to expected answer time over
	// all targets.
	avgSlowness float64

	// reliefUntil is the time until which new work ranked below reliefRank may
	// not wait.
	reliefUntil  time.Time
	reliefRank   int
	longPrefills *longprefill.Limiter
	// totalParts is the sum of this daemon's parts of the usable targets.
	totalParts float64
	// fastReserved is true while fast targets are reserved for tiers above the
	// one being dispatched.
	fastReserved bool
	options      []place.Candidate
	// choice is the most recently chosen option.
	choice place.Candidate
	// prefixHolders are the targets with part of the current prompt in their
	// cache; prefixDepths holds the number of cached blocks for each.
	prefixHolders []int32
	prefixDepths  []int
	// deferred lists items taken out of the queue until the end of the current
	// decision.
	deferred []int32
}

var _ fireflypath.Scheduler = (*Scheduler)(nil)

// phase is the stage of an item's processing.
type phase int8

const (
	phaseFree phase = iota
	phaseWaiting
	phaseExpired
	phaseInFlight
)

// item is a request that waits or is in flight.
type item struct {
	work  *fireflypath.Work
	phase phase
	// heapPos is the position in startHeap, or -1.
	heapPos       int32
	latestStart   time.Time
	requestsAhead int
	// deferredSince is when the item was first deferred to wait for a target
	// that has its prompt cached.
	deferredSince time.Time
	// reliefAsked is when peers were last asked to shed work in favor of this
	// item.
	reliefAsked time.Time
	// target, dispatchedAt, firstTokenAt, uncached, prefillAhead and expected
	// describe the dispatched request: uncached is the number of prompt tokens
	// to prefill, prefillAhead the number of prompt tokens of this daemon that
	// were queued at the target before it.
	target       int32
	dispatchedAt time.Time
	firstTokenAt time.Time
	uncached     int
	prefillAhead int
	// longPrefill is true if the prefill counts as long (see package longprefill).
	longPrefill bool
	expected    time.Duration
}

// New returns a Scheduler for the pool and targets in cfg.
func New(cfg Config) *Scheduler {
	cfg.Pool = withDefaultLimits(cfg.Pool)
	s := &Scheduler{
		cfg:          cfg,
		queue:        fair.New(),
		chooser:      place.New(cfg.Placement, cfg.Seed),
		prefixIndex:  prefix.New(),
		backoff:      retry.New(),
		reserve:      reserve.New(),
		longPrefills: longprefill.New(),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 2)),
		idOf:         make(map[*fireflypath.Work]int32),
		targetIndex:  make(map[string]int32),
		share:        fireflypath.Share{Default: 1},
		drainRate:    rate.Meter{TimeConstant: rateHorizon},
		outputRatio:  1,
		avgSlowness:  1,
	}
	for i := range s.arrivalRates {
		s.arrivalRates[i].TimeConstant = rateHorizon
	}
	s.SetTargets(time.Time{}, cfg.Targets)
	return s
}

// allocItem allocates an item for work and returns its id.
func (s *Scheduler) allocItem(w *fireflypath.Work) int32 {
	var id int32
	if n := len(s.freeIDs); n > 0 {
		id = s.freeIDs[n-1]
		s.freeIDs = s.freeIDs[:n-1]
	} else {
		s.items = append(s.items, item{})
		id = int32(len(s.items) - 1)
	}
	s.items[id] = item{work: w, heapPos: none, target: none}
	s.idOf[w] = id
	return id
}

// freeItem frees an item's id for reuse.
func (s *Scheduler) freeItem(id int32) {
	delete(s.idOf, s.items[id].work)
	s.items[id] = item{}
	s.freeIDs = append(s.freeIDs, id)
}

// removeWaiting removes a waiting item from the queue and the start heap.
func (s *Scheduler) removeWaiting(id int32) {
	s.queue.Remove(id)
	s.removeStart(id)
}

// rankOf returns the work's rank, limited to the ranks that the queue has.
func rankOf(w *fireflypath.Work) int {
	return min(max(w.Rank, 0), fair.Ranks-1)
}

// ditherOf returns a pseudo-random number in [0, 1) for a target, which differs
// between daemons.
func (s *Scheduler) ditherOf(name string) float64 {
	return float64(place.Mix64(xxhash.Sum64String(name)^place.Mix64(s.cfg.Seed+1))>>11) / (1 << 53)
}
