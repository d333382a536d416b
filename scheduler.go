package fireflypath

import "time"

// Scheduler decides for one pool at one daemon: whom to serve, who waits, who
// is refused and where work goes. It holds no clock and does no I/O, so that
// the daemon and a trial in virtual time run the same code. It is not safe for
// concurrent use; its owner holds one lock per pool.
//
// A Scheduler returns work to give up; the owner moves its Life and writes the
// refusal. Work that lost its Life elsewhere is skipped silently.
type Scheduler interface {
	// Offer takes work in. It appends to out what gives way: the work itself,
	// or lower work displaced by it.
	Offer(now time.Time, w *Work, out []Shed) []Shed
	// Next chooses the next work and its target and counts it as in flight.
	// It reports false when nothing may be dispatched now. The placement's
	// Considered slice is reused by the next call.
	Next(now time.Time, p *Placement) bool
	// Withdraw removes waiting work; it reports false if it was not waiting here.
	Withdraw(now time.Time, w *Work) bool
	// Expire appends the waiting work that can no longer end in time.
	Expire(now time.Time, out []Shed) []Shed
	// Wake is when Next or Expire may have something new without an event;
	// zero means never.
	Wake(now time.Time) time.Time
	// Observe learns from an event at a target.
	Observe(now time.Time, e Event)
	// SetTargets replaces the targets and keeps what was learned of those that stay.
	SetTargets(now time.Time, targets []Target)
	// SetShare sets this daemon's part of each target's window.
	SetShare(now time.Time, s Share)
	// Demand summarises waiting and running work for the other daemons.
	Demand(now time.Time) Demand
	// Relieve gives up waiting work of lower tiers than rank, lowest first,
	// until tokens are freed. The owner refuses what it returns.
	Relieve(now time.Time, rank, tokens int, out []Shed) []Shed
	// Views appends what is known of each target, for operators.
	Views(now time.Time, out []TargetView) []TargetView
}

// Shed is waiting work that gives way.
type Shed struct {
	Work *Work
	// Reason is ReasonFull, ReasonDeadline or ReasonEarly.
	Reason Reason
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	// Detail names the bound that was met, with its figures.
	Detail string
	// Relief is true if peers may hold lower waiting work, so that the owner
	// must ask them before it refuses. The work still waits meanwhile. The owner
	// asks all peers and its own Scheduler to relieve the lowest configured tier's
	// neighbour first, then each rank up to the work's own, so that no tier gives
	// way before all daemons have given up the ones below it. If peers freed
	// nothing, the owner relieves its own Scheduler for the work's rank, and then
	// refuses and withdraws the work. Else it leaves work that was shed as full,
	// and asks again for work that is past its time.
	Relief bool
	// Tokens is how much lower work the owner asks the peers to give up, if Relief.
	Tokens int
}

// Placement is a decision to send work to a target.
type Placement struct {
	Work   *Work
	Target string
	// Generation is the daemon's count of the targets' state, for "why".
	Waited time.Duration
	// Ahead is how much waiting work stood before this when it arrived, in requests.
	Ahead int
	// PromptAhead is the prompt in tokens that the target had to read before the work's
	// own; First is when the answer was expected to begin, from the dispatch on.
	// Both are 0 where they are not known.
	PromptAhead int
	TimeToFirst time.Duration
	// Considered holds the targets weighed, the chosen one among them.
	Considered []Candidate
}

// Candidate is a target as it looked when a placement was decided.
type Candidate struct {
	Target string `json:"target"`
	// Held is this daemon's own in-flight estimate in tokens; it is exact.
	Held int `json:"held"`
	// Reported is the target's last reported load in tokens.
	Reported int `json:"reported"`
	// Age is how old Reported was.
	Age time.Duration `json:"age"`
	// Window is this daemon's part of the target's window in tokens.
	Window int `json:"window"`
	// Hit is the number of prompt tokens expected in the target's prefix cache.
	Hit int `json:"hit"`
	// Score is lower for better targets; its unit is expected seconds.
	Score float64 `json:"score"`
	// Skip says why the target could not be chosen; empty if it could.
	Skip string `json:"skip,omitempty"`
}

// EventKind names what happened at a target.
type EventKind int

const (
	// EventUnsent is an attempt of which no byte left; the work waits again.
	EventUnsent EventKind = iota
	// EventFirst is the first token or byte of an answer.
	EventFirst
	// EventDone is a whole answer.
	EventDone
	// EventFailed is an answer that will not be whole.
	EventFailed
	// EventRefused is a target that said that it did not run the work.
	EventRefused
	// EventReport is a load report.
	EventReport
	// EventCache is a notice that blocks were cached or dropped.
	EventCache
	// EventLeaving is first-hand evidence that a target takes no more work.
	EventLeaving
	// EventStaying takes EventLeaving back.
	EventStaying
)

// Event is something that happened at a target. Fields not named by the kind's
// use are zero.
type Event struct {
	Kind   EventKind
	Target string
	// Incarnation is the life of the target that the event tells of. One of an
	// earlier life says nothing of the target as it is now.
	Incarnation uint64
	// Work is set for the kinds that end or move one request.
	Work *Work
	// Sent is when the work was dispatched.
	Sent time.Time
	// Tokens is the number of output tokens received, for EventDone and EventFailed.
	Tokens int
	// Cached is the number of prompt tokens that the target found cached, or -1.
	Cached int
	// CallerLeft is true for an EventFailed that tells nothing of the target: the
	// caller left.
	CallerLeft bool
	// Report is set for EventReport.
	Report Report
	// Blocks are the cumulative hashes stored (or dropped, if Dropped), for EventCache.
	Blocks  []uint64
	Dropped bool
}

// Report is a target's own statement of its load; it arrives late.
type Report struct {
	// Measured is when the target took the reading, by the reader's clock.
	Measured time.Time
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests queued in the target.
	Waiting int
	// Tokens is the work held, in tokens still to prefill or generate.
	Tokens int
	// Batch is the largest number of requests the target runs at once; 0 if unknown.
	Batch int
}

// Share is one daemon's part of the windows of a pool's targets.
type Share struct {
	// Fractions maps a target's name to a fraction between 0 and 1; a target not
	// named takes Default.
	Fractions map[string]float64
	// Default is the fraction for other targets: 1 for a daemon alone.
	Default float64
	// UnknownSenders is true if daemons that this one does not hear send work to the targets
	// too, so that only the targets themselves know how busy they are.
	UnknownSenders bool
}

// Demand is a daemon's line about one pool in the summaries that daemons exchange.
type Demand struct {
	Pool string `json:"pool"`
	// Waiting and Running are estimated tokens by rank.
	Waiting []int `json:"waiting"`
	Running []int `json:"running"`
	// WaitingRequests is the number of waiting requests by rank, Busy that of running ones.
	WaitingRequests []int `json:"requests"`
	RunningRequests []int `json:"busy,omitempty"`
	// Slots is the learned window of all the pool's targets in requests, not
	// only this daemon's part; 0 if it is not known.
	Slots int `json:"slots,omitempty"`
}

// TargetView is what one daemon knows of a target.
type TargetView struct {
	Target string `json:"target"`
	Pool   string `json:"pool"`
	// State is one of ready, slow, ejected, probing, leaving, drained.
	State string `json:"state"`
	// Window is the learned window of the whole target in tokens; Part is this daemon's fraction.
	Window int     `json:"window"`
	Share  float64 `json:"part"`
	// Held and Requests are this daemon's own in-flight work.
	Held     int `json:"held"`
	Requests int `json:"requests"`
	// PrefillRate and DecodeRate are learned, in tokens a second.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// Age is how old the last report is.
	Age time.Duration `json:"age"`
}

// PeerLoad is what another daemon tells of its work.
type PeerLoad struct {
	Name string
	// InFlight counts its requests at each target. Targets are named by their
	// identity here and below, so that nothing that was told of one life of a
	// target counts for the next.
	InFlight map[string]int
	// PendingPrompts is how much prompt of these requests still waits there for its
	// prefill, in thousands of tokens; targets with little of it are left out.
	PendingPrompts map[string]int
	// WaitingRanks is the highest rank that waits there, by pool; a pool that is not in
	// it has nothing waiting.
	WaitingRanks map[string]int
	// Speeds is what it learned of targets.
	Speeds map[string]Speed
	// PartialView is true if it places work without knowing all that others place: its own, or
	// that of a part of its group.
	PartialView bool
}

// NewPeerLoad returns a Mate that has told nothing yet.
func NewPeerLoad(name string) PeerLoad {
	return PeerLoad{
		Name: name, InFlight: map[string]int{}, PendingPrompts: map[string]int{}, WaitingRanks: map[string]int{},
		Speeds: map[string]Speed{},
	}
}

// Speed is how fast a target works for one request, in tokens a second to
// prefill and events a second to generate.
type Speed struct {
	Prefill int `json:"p"`
	Decode  int `json:"d"`
}
