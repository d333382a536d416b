package fireflypath

import "time"

// Scheduler schedules the work of one pool at one daemon: it decides which work is dispatched to
// which target, which work waits and which is refused. It reads no clock and does no I/O, so that
// the daemon and the simulation run the same code. It is not safe for concurrent use; its owner
// holds one lock per pool.
//
// A Scheduler returns the work that is to be shed. The owner changes its Lifecycle and sends the
// refusal. Work that has already left StateWaiting is skipped silently.
type Scheduler interface {
	// Offer adds work. It appends to out the work that is shed for it: the work itself or
	// lower work that it displaces.
	Offer(now time.Time, w *Work, out []Shed) []Shed
	// Next selects the next work and its target and counts the work as in flight. It reports
	// false if nothing may be dispatched now. The placement's Considered slice is reused by
	// the next call.
	Next(now time.Time, p *Placement) bool
	// Withdraw removes waiting work. It reports false if the work was not waiting here.
	Withdraw(now time.Time, w *Work) bool
	// Expire appends the waiting work that can no longer finish in time.
	Expire(now time.Time, out []Shed) []Shed
	// Wake returns the time at which Next or Expire may return something new without an
	// event; zero means never.
	Wake(now time.Time) time.Time
	// Observe processes an event at a target.
	Observe(now time.Time, e Event)
	// SetTargets replaces the targets. Learned state is kept for those that remain.
	SetTargets(now time.Time, targets []Target)
	// SetShare sets this daemon's share of each target's window.
	SetShare(now time.Time, s Share)
	// Demand summarises the waiting and running work for the other daemons.
	Demand(now time.Time) Demand
	// Relieve sheds waiting work of lower tiers than rank, lowest first, until the given
	// number of tokens is freed. The owner refuses the work that is returned.
	Relieve(now time.Time, rank, tokens int, out []Shed) []Shed
	// Views appends the state of each target, for operators.
	Views(now time.Time, out []TargetView) []TargetView
}

// Shed is waiting work that is given up.
type Shed struct {
	Work *Work
	// Reason is ReasonFull, ReasonDeadline or ReasonEarly.
	Reason Reason
	// RetryAfter is when capacity is expected.
	RetryAfter time.Duration
	// Detail names the limit that was reached, with its values.
	Detail string
	// Relief is true if peers may hold lower waiting work, so that the owner must ask them
	// before it refuses this work. The work keeps waiting meanwhile. The owner asks all peers
	// and its own Scheduler to relieve first the rank just above the lowest configured tier,
	// then each higher rank up to the rank of the work, so that no tier gives way before all
	// daemons have given up the tiers below it. If the peers freed nothing, the owner relieves
	// its own Scheduler for the rank of the work, and then refuses and withdraws the work.
	// Otherwise it keeps work that was shed as full, and asks again for work that is past its
	// time.
	Relief bool
	// Tokens is the amount of lower work that the owner asks the peers to give up, if Relief.
	Tokens int
}

// Placement is the decision to send work to a target.
type Placement struct {
	Work   *Work
	Target string
	// Waited is how long the work has waited.
	Waited time.Duration
	// Ahead is the number of requests that were queued before this one when it arrived.
	Ahead int
	// PromptAhead is the number of prompt tokens that the target had to process before the
	// work. TimeToFirst is the expected time from the dispatch until the answer begins. Both
	// are 0 if unknown.
	PromptAhead int
	TimeToFirst time.Duration
	// Considered holds the targets that were compared, including the chosen one.
	Considered []Candidate
}

// Candidate is the state of a target at the time of a placement.
type Candidate struct {
	Target string `json:"target"`
	// InFlight is this daemon's own in-flight work in estimated tokens; it is always up to date.
	InFlight int `json:"held"`
	// Reported is the target's last reported load in tokens.
	Reported int `json:"reported"`
	// Age is the age of Reported.
	Age time.Duration `json:"age"`
	// Window is this daemon's share of the target's window in tokens.
	Window int `json:"window"`
	// CachedPrompt is the number of prompt tokens expected in the target's prefix cache.
	CachedPrompt int `json:"hit"`
	// Score is the expected time in seconds; lower is better.
	Score float64 `json:"score"`
	// SkipReason is the reason why the target could not be chosen; empty if it could.
	SkipReason string `json:"skip,omitempty"`
}

// EventKind is the kind of an event at a target.
type EventKind int

const (
	// EventUnsent is an attempt that failed before any byte was sent; the work waits again.
	EventUnsent EventKind = iota
	// EventFirstOutput is the first token or byte of an answer.
	EventFirstOutput
	// EventDone is a complete answer.
	EventDone
	// EventFailed is an answer that will not be completed.
	EventFailed
	// EventRefused is a target that reported that it did not run the work.
	EventRefused
	// EventReport is a load report.
	EventReport
	// EventCache is a notification that blocks were cached or evicted.
	EventCache
	// EventLeaving is first-hand evidence that a target accepts no more work.
	EventLeaving
	// EventStaying withdraws EventLeaving.
	EventStaying
	// EventNotice is the header of an answer, with what the target declares in it.
	EventNotice
)

// Event is something that happened at a target. Fields that the kind does not use are zero.
type Event struct {
	Kind   EventKind
	Target string
	// Incarnation is the incarnation of the target that the event refers to. An event of an
	// earlier incarnation says nothing about the target's current state.
	Incarnation uint64
	// Work is set for the kinds that end a request or change its state.
	Work *Work
	// Sent is when the work was dispatched.
	Sent time.Time
	// Tokens is the number of output tokens received, for EventDone and EventFailed.
	Tokens int
	// Cached is the number of prompt tokens that the target found in its cache, or -1.
	Cached int
	// NotByTarget is true for an EventFailed or EventUnsent that says nothing about the target,
	// because the caller left or the path to the target was lost.
	NotByTarget bool
	// Report is set for EventReport, Notice for EventNotice.
	Report Report
	Notice Notice
	// Blocks holds the cumulative hashes stored (or evicted, if Dropped), for EventCache.
	Blocks  []uint64
	Dropped bool
}

// Notice is what a target declares in an answer about the requests that it takes.
type Notice struct {
	// Limit is the number of requests a second that the target takes from all daemons
	// together, if Limited. It holds until an answer names none.
	Limit   float64 `json:"l,omitempty"`
	Limited bool    `json:"m,omitempty"`
	// Leaving is true if the target is shutting down. That holds until its end, whatever its
	// registration and later answers say.
	Leaving bool `json:"g,omitempty"`
	// Brittle is true if the target fails when it has to turn away more than MaxTurnedAway requests
	// in a second for want of room. It holds until an answer does not say so.
	Brittle       bool `json:"b,omitempty"`
	MaxTurnedAway int  `json:"n,omitempty"`
	// Backoff is the time for which the target wants no more requests of this daemon; other
	// daemons are not concerned.
	Backoff time.Duration `json:"-"`
}

// Report is a load report of a target. It arrives with a delay.
type Report struct {
	// MeasuredAt is when the target measured its load, by the reader's clock.
	MeasuredAt time.Time
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests queued in the target.
	Waiting int
	// Tokens is the outstanding work, in tokens to prefill or generate.
	Tokens int
	// MaxRunning is the maximum number of requests that the target runs concurrently; 0 if
	// unknown.
	MaxRunning int
}

// Share is one daemon's share of the windows of a pool's targets.
type Share struct {
	// Fractions maps a target's name to a fraction between 0 and 1. Default applies to targets
	// that are not in it.
	Fractions map[string]float64
	// Default is the fraction for other targets; 1 for a single daemon.
	Default float64
	// UnknownSenders is true if daemons that do not report to this one also send work to the
	// targets, so that only the targets themselves know their load.
	UnknownSenders bool
	// Senders is the number of daemons that dispatch to the same targets, including this one; 0
	// if unknown. Index is the position of this daemon among them, which differs between any
	// two of them.
	Senders, Index int
}

// Demand is a daemon's summary of one pool, which daemons exchange.
type Demand struct {
	Pool string `json:"pool"`
	// Waiting and Running are in estimated tokens by rank.
	Waiting []int `json:"waiting"`
	Running []int `json:"running"`
	// WaitingRequests is the number of waiting requests by rank, RunningRequests that of
	// running ones.
	WaitingRequests []int `json:"requests"`
	RunningRequests []int `json:"busy,omitempty"`
	// Slots is the learned window of all the pool's targets in requests, not only this
	// daemon's share; 0 if unknown.
	Slots int `json:"slots,omitempty"`
}

// TargetView is the state of a target as one daemon sees it.
type TargetView struct {
	Target string `json:"target"`
	Pool   string `json:"pool"`
	// State is one of ready, slow, ejected, probing, leaving, drained, limited, full, foreign.
	State string `json:"state"`
	// Window is the learned window of the whole target in tokens, Share this daemon's fraction
	// of it.
	Window int     `json:"window"`
	Share  float64 `json:"part"`
	// InFlight is this daemon's own in-flight work in tokens, Requests the number of
	// its requests in flight.
	InFlight int `json:"held"`
	Requests int `json:"requests"`
	// PrefillRate and DecodeRate are learned, in tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// Age is the age of the last report.
	Age time.Duration `json:"age"`
}

// PeerLoad is what another daemon reports about its work.
type PeerLoad struct {
	Name string
	// InFlight is the number of its requests at each target. Targets are keyed by their
	// identity here and below, so that nothing reported about one incarnation of a target
	// counts for the next.
	InFlight map[string]int
	// PendingPrompts is the amount of prompt of these requests that waits for prefill at each
	// target, in thousands of tokens. Targets with small amounts are left out.
	PendingPrompts map[string]int
	// WaitingRanks is the highest rank that waits there, by pool. Nothing waits in a pool that
	// is not in it.
	WaitingRanks map[string]int
	// Speeds holds the speeds of targets that it learned.
	Speeds map[string]Speed
	// PartialView is true if it places work without knowing all the work that others place:
	// because it places its own work, or that of only a part of its cell.
	PartialView bool
}

// NewPeerLoad returns the load of a peer that has not reported yet.
func NewPeerLoad(name string) PeerLoad {
	return PeerLoad{
		Name: name, InFlight: map[string]int{}, PendingPrompts: map[string]int{}, WaitingRanks: map[string]int{},
		Speeds: map[string]Speed{},
	}
}

// Speed is the speed of a target for a single request, in tokens per second for prefill and events
// per second for generation.
type Speed struct {
	Prefill int `json:"p"`
	Decode  int `json:"d"`
}
