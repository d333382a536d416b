// Package fault defines the faults that the fake engines, services and platform can inject.
package fault

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// Name identifies a fault in POST /fault.
type Name string

// The faults of all fakes. Each fake accepts the ones that apply to it.
const (
	// Clear removes all faults.
	Clear Name = "clear"
	// Die permanently closes the listener and all connections.
	Die Name = "die"
	// DieOnText makes the fake die before it runs a request whose body contains Text.
	DieOnText Name = "deadly"
	// Refuse closes the listener until the fault is removed; open connections are kept.
	Refuse Name = "refuse"
	// ReadClose reads a request and closes its connection without a response.
	ReadClose Name = "read-close"
	// Silent permanently stops all traffic on the connections that are open now.
	Silent Name = "silent"
	// WrongID sends responses with the id of another request.
	WrongID Name = "crossed"
	// Truncate ends a response cleanly after After events, without the final event.
	Truncate Name = "truncate"
	// Break closes the connection of a response after After events.
	Break Name = "break"
	// Forget makes requests to resume a stream fail as if the stream was dropped.
	Forget Name = "forget"
	// Slow divides speeds by Factor or delays each call by Delay.
	Slow Name = "slow"
	// Draining refuses new requests as not run because the target is leaving.
	Draining Name = "draining"
	// NotRun refuses new requests as not run; the target is not leaving.
	NotRun Name = "not-run"
	// Outage makes every call to the platform fail as unavailable.
	Outage Name = "outage"
	// LoseAnswer applies a write and closes its connection without a response.
	LoseAnswer Name = "lost"
	// TakeSnapshot saves the platform's data for RestoreSnapshot.
	TakeSnapshot Name = "snapshot"
	// RestoreSnapshot resets the platform's data to the snapshot.
	RestoreSnapshot Name = "older"
)

// Fault is a fault with its parameters, as sent to POST /fault.
type Fault struct {
	Name Name `json:"name"`
	// Off removes the fault.
	Off bool `json:"off,omitempty"`
	// Count is the number of times the fault applies; 0 means until it is removed.
	Count int `json:"count,omitempty"`
	// After is the number of events sent before a response is cut.
	After int `json:"after,omitempty"`
	// Factor is the factor by which work takes longer.
	Factor float64 `json:"factor,omitempty"`
	// Text selects the requests whose bodies contain it.
	Text string `json:"text,omitempty"`
	// Delay is the additional duration of each call.
	Delay fireflypath.Duration `json:"delay,omitempty"`
}

// ErrUnknownName means that the fake does not support the named fault.
var ErrUnknownName = errors.New("stand-in does not know the fault")

// Set holds the active faults. The zero value is empty.
type Set struct {
	mu     sync.Mutex
	faults map[Name]Fault
}

// Apply activates or removes a fault.
func (s *Set) Apply(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Name == Clear:
		s.faults = nil
	case f.Off:
		delete(s.faults, f.Name)
	default:
		if s.faults == nil {
			s.faults = make(map[Name]Fault)
		}
		s.faults[f.Name] = f
	}
}

// Trigger reports whether a fault is active and, if so, consumes one of its Count.
func (s *Set) Trigger(name Name) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.faults[name]
	if !ok || f.Count == 0 {
		return f, ok
	}
	remaining := f
	remaining.Count--
	s.faults[name] = remaining
	if remaining.Count == 0 {
		delete(s.faults, name)
	}
	return f, true
}

// TriggerDieOnText triggers DieOnText and reports whether the body contains its text.
func (s *Set) TriggerDieOnText(body []byte) bool {
	f, ok := s.Trigger(DieOnText)
	return ok && bytes.Contains(body, []byte(f.Text))
}

// Parse decodes the body of POST /fault.
func Parse(body []byte) (Fault, error) {
	var f Fault
	if err := json.Unmarshal(body, &f); err != nil {
		return f, errors.Wrap(err, "parse fault")
	}
	return f, nil
}
