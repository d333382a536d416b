package soak

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// invariant is a property that must hold whatever faults occur.
type invariant string

const (
	invariantAtMostOnce invariant = "a request that may not be repeated runs at most once"
	invariantNotRun     invariant = "an answer that says not run is true"
	invariantComplete   invariant = "a response that looks complete is its target's complete response"
	invariantStream     invariant = "no event of a stream is missing or duplicated"
	invariantVersions   invariant = "a stream holds events of one pool and version"
	invariantGoesOn     invariant = "streams that are resumed go on where new ones begin"
	invariantKilled     invariant = "an answer without a frame is cut where its daemon is killed"
	invariantBody       invariant = "targets receive a request as it was sent"
	invariantRevoked    invariant = "no request runs with a key that was revoked longer ago than allowed"
	invariantDrained    invariant = "a target that is leaving gets no requests after two seconds"
	invariantLimited    invariant = "a target gets no more requests than it says it takes"
	invariantBackoff    invariant = "a target gets the backoff that it asks for"
	invariantBrittle    invariant = "a brittle target does not fall over because of what it is sent"
	invariantPaths      invariant = "daemons without paths to targets serve like the others"
	invariantRecords    invariant = "daemons have records in a restored store"
	invariantVersion    invariant = "a configuration is in force everywhere and never goes back"
	invariantHeld       invariant = "a request that crashes targets is held by all daemons"
	invariantNotHeld    invariant = "no other request is held because of it"
	invariantCrowd      invariant = "a daemon that gets nearly all callers serves those that it reads"
	invariantMemory     invariant = "a daemon stays within the memory of its host"
	invariantRecovery   invariant = "service is back after the faults"
)

// invariants lists all invariants in the order in which reports print them.
var invariants = []invariant{
	invariantAtMostOnce, invariantNotRun, invariantComplete, invariantStream, invariantVersions, invariantGoesOn, invariantKilled, invariantBody,
	invariantRevoked, invariantDrained, invariantLimited, invariantBackoff, invariantBrittle, invariantPaths, invariantRecords, invariantVersion, invariantHeld, invariantNotHeld, invariantCrowd, invariantMemory, invariantRecovery,
}

// violation is one failed check of an invariant.
type violation struct {
	invariant invariant
	detail    string
}

// request is a request that a caller sent, and what became of it.
type request struct {
	atMostOnce bool
	body       string
	sentAt     time.Time
	key        string
	// lastEvent is the Last-Event-Id that it was sent with.
	lastEvent string
	// daemon is the one that it was sent to.
	daemon *process
	// runs counts how often targets ran the request.
	runs int
	// refusedStatus is the status of a response that says that the request did not run.
	refusedStatus int
}

// history records the requests that callers sent and targets ran, and checks the
// invariants.
type history struct {
	mu       sync.Mutex
	requests map[string]*request
	revoked  map[string]time.Time
	checked  map[invariant]int
	// quietBreaks holds the requests with an answer whose break nobody can tell from its end.
	quietBreaks map[string]bool
	// open holds the streams that targets send at present, killed the requests of those that passed
	// through a daemon when it was killed.
	open       map[string]openAnswer
	killed     map[string]bool
	violations []violation
}

func newHistory() *history {
	return &history{requests: map[string]*request{}, revoked: map[string]time.Time{}, checked: map[invariant]int{}, quietBreaks: map[string]bool{}, open: map[string]openAnswer{}, killed: map[string]bool{}}
}

// check counts a check of the invariant and records a violation if ok is false.
func (h *history) check(inv invariant, ok bool, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkLocked(inv, ok, format, args...)
}

// checkLocked is like check. The caller holds mu.
func (h *history) checkLocked(inv invariant, ok bool, format string, args ...any) {
	h.checked[inv]++
	if !ok {
		h.violations = append(h.violations, violation{inv, fmt.Sprintf(format, args...)})
	}
}

func (h *history) recordRequest(id string, s *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id] = s
}

// originOf returns the daemon that a request was sent to, and when. The daemon is nil if that is
// not known.
func (h *history) originOf(id string) (*process, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.requests[id]; s != nil {
		return s.daemon, s.sentAt
	}
	return nil, time.Time{}
}

// recordRun records that a target ran a request.
func (h *history) recordRun(id, body, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.requests[id]
	if s == nil {
		h.checkLocked(invariantBody, false, "%s ran %q, which nobody sent", target, id)
		return
	}
	s.runs++
	h.checkLocked(invariantBody, s.body == body, "%s ran %s with another body", target, id)
	if s.atMostOnce {
		h.checkLocked(invariantAtMostOnce, s.runs == 1, "%s ran %d times, last on %s", id, s.runs, target)
		h.checkLocked(invariantNotRun, s.refusedStatus == 0, "%s ran on %s after its caller received status %d", id, target, s.refusedStatus)
	}
	if revokedAt, isRevoked := h.revoked[s.key]; isRevoked && s.key != "" {
		late := s.sentAt.Sub(revokedAt)
		h.checkLocked(invariantRevoked, late <= revocationDelay, "%s was sent %v after its key was revoked and ran on %s", id, late, target)
	}
}

// recordRefusal records a response that says that the request did not run.
func (h *history) recordRefusal(id string, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.requests[id]
	s.refusedStatus = status
	if s.atMostOnce {
		h.checkLocked(invariantNotRun, s.runs == 0, "%s received status %d although it ran", id, status)
	}
}

// checkLastEvent checks the Last-Event-Id with which a target gets a request: none where streams may not be
// resumed, so that a target that goes by it answers whole, and the caller's elsewhere. A daemon that takes a
// stream up again within one response sends a later one.
func (h *history) checkLastEvent(id, got string, resumable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.requests[id]
	if s == nil {
		return // recordRun has reported it
	}
	ok := got == ""
	if resumable {
		sent, _ := strconv.Atoi(s.lastEvent) // none means 0
		n, err := strconv.Atoi(got)
		ok = got == s.lastEvent || err == nil && n >= sent
	}
	h.checkLocked(invariantBody, ok, "%s was sent with the last event %q and arrived with %q", id, s.lastEvent, got)
}

func (h *history) recordRevocation(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revoked[key] = time.Now()
}
