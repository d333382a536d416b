// Package sched composes the decision modules into the scheduler of one pool at one daemon.
package sched

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/deadline"
	"github.com/fireflypath/fireflypath/internal/decide/fair"
	"github.com/fireflypath/fireflypath/internal/decide/long"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/prefix"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
	"github.com/fireflypath/fireflypath/internal/decide/reserve"
	"github.com/fireflypath/fireflypath/internal/decide/retry"
)

const (
	// defaultRequests bounds waiting requests: at 57 requests a second and
	// daemon (the letter's peak) it holds more than a minute of arrivals, longer
	// than interactive callers wait.
	defaultRequests = 4096
	// defaultBytes bounds the memory of waiting requests.
	defaultBytes = 64 << 20
	// horizon is the time over which drain and arrival rates are measured: long
	// against a request's run, short against a burst.
	horizon = 10 * time.Second
	none    = int32(-1)
)

// Config is what a Sched is made from.
type Config struct {
	// Pool is the pool that is decided for.
	Pool fireflypath.Pool
	// Targets are the pool's targets at first.
	Targets []fireflypath.Target
	// LowestRank is the rank of the lowest configured tier. Work of a higher tier is
	// refused for want of room only after peers were asked for lower work.
	LowestRank int
	// Seed breaks ties; it differs between daemons, so that equal views do not
	// give equal choices.
	Seed uint64
	// Placement is how targets are chosen; the zero value is the shipped way.
	Placement place.Kind
}

// Scheduler implements fireflypath.Scheduler.
type Scheduler struct {
	cfg    Config
	queue  *fair.Queue
	chosen *place.Chooser
	index  *prefix.Index
	damper *retry.Damper
	margin deadline.Margin
	rnd    *rand.Rand

	items []item
	spare []int32
	slots map[*fireflypath.Work]int32
	// latest is a heap of waiting items by the time they must start.
	latest []int32
	// doomed is work found too late at dispatch, for Expire to return.
	doomed []int32

	targets []target
	names   map[string]int32
	// open lists the targets that have room; sick those that are ejected.
	open, sick []int32
	share      fireflypath.Share
	flights    int
	running    [fair.Ranks]int
	flying     [fair.Ranks]int

	reserve *reserve.Reserve
	// capacity is the sum of the limits of usable fast targets, busy what is in
	// flight there.
	capacity, busy int
	drain          rate.Meter
	arrivals       [fair.Ranks]rate.Meter
	// output is the learned part of the allowed output that is generated.
	output float64
	// fastPrefill and fastDecode are the best known speeds, 0 before any answer.
	fastPrefill, fastDecode float64
	// prompt is the average prompt to prefill, in tokens.
	prompt float64
	// pace is the average over targets of how long answers take against expected.
	pace float64

	// pressed is until when work of ranks below pressure may not wait.
	pressed  time.Time
	pressure int
	long     *long.Gate
	// parts is the sum of this daemon's parts of the usable targets.
	parts float64
	// keep is true while fast targets are kept for tiers above the one in turn.
	keep    bool
	options []place.Option
	// pick is the option chosen last.
	pick place.Option
	// holders and depths are the targets found for a prefix and the blocks there.
	holders []int32
	depths  []int
	parked  []int32
}

var _ fireflypath.Scheduler = (*Scheduler)(nil)

// phase is where an item is.
type phase int8

const (
	phaseFree phase = iota
	phaseWaiting
	phaseDoomed
	phaseFlight
)

// item is one request that waits or is in flight.
type item struct {
	work  *fireflypath.Work
	phase phase
	// pos is the position in the heap of latest starts, or -1.
	pos    int32
	latest time.Time
	ahead  int
	// aside is when it first let others pass for a target with a cached prompt.
	aside time.Time
	// asked is when peers were last asked to make room for it.
	asked time.Time
	// target, sent, first, fresh, before and expected describe the flight:
	// fresh is the prompt to prefill, before what stood before it from here.
	target int32
	sent   time.Time
	first  time.Time
	fresh  int
	before int
	// long is true if the prefill counts as long.
	long     bool
	expected time.Duration
}

// New makes a Sched.
func New(cfg Config) *Scheduler {
	cfg.Pool = bounded(cfg.Pool)
	s := &Scheduler{
		cfg:     cfg,
		queue:   fair.New(),
		chosen:  place.New(cfg.Placement, cfg.Seed),
		index:   prefix.New(),
		damper:  retry.New(),
		reserve: reserve.New(),
		long:    long.New(),
		rnd:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		slots:   make(map[*fireflypath.Work]int32),
		names:   make(map[string]int32),
		share:   fireflypath.Share{Default: 1},
		drain:   rate.Meter{Horizon: horizon},
		output:  1,
		pace:    1,
	}
	for i := range s.arrivals {
		s.arrivals[i].Horizon = horizon
	}
	s.SetTargets(time.Time{}, cfg.Targets)
	return s
}

// alloc takes a slot for work.
func (s *Scheduler) alloc(w *fireflypath.Work) int32 {
	var slot int32
	if n := len(s.spare); n > 0 {
		slot = s.spare[n-1]
		s.spare = s.spare[:n-1]
	} else {
		s.items = append(s.items, item{})
		slot = int32(len(s.items) - 1)
	}
	s.items[slot] = item{work: w, pos: none, target: none}
	s.slots[w] = slot
	return slot
}

// release gives a slot back.
func (s *Scheduler) release(slot int32) {
	delete(s.slots, s.items[slot].work)
	s.items[slot] = item{}
	s.spare = append(s.spare, slot)
}

// unqueue takes a waiting item out of the queue and the heap.
func (s *Scheduler) unqueue(slot int32) {
	s.queue.Remove(slot)
	s.unschedule(slot)
}

func rank(w *fireflypath.Work) int {
	return min(max(w.Rank, 0), fair.Ranks-1)
}

// noise is a number between 0 and 1 that differs between daemons for a target.
func (s *Scheduler) noise(name string) float64 {
	return float64(place.Mix(xxhash.Sum64String(name)^place.Mix(s.cfg.Seed+1))>>11) / (1 << 53)
}
