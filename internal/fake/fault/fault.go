// Package fault holds the faults that the stand-ins can be told to show.
package fault

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// Name names a fault.
type Name string

// The faults of all stand-ins; each lists the ones that it knows.
const (
	// Clear takes all faults back.
	Clear Name = "clear"
	// Die closes the listener and all connections for good.
	Die Name = "die"
	// DieOnText dies of each request whose body holds Text, when it would begin to run it.
	DieOnText Name = "deadly"
	// Refuse closes the listener until it is taken back; open connections stay.
	Refuse Name = "refuse"
	// ReadClose reads a request and closes its connection without an answer.
	ReadClose Name = "read-close"
	// Silent stops all traffic on the connections open now, for good.
	Silent Name = "silent"
	// WrongID gives answers another request's id.
	WrongID Name = "crossed"
	// Truncate ends an answer cleanly after After events, without its end mark.
	Truncate Name = "truncate"
	// Break closes an answer's connection after After events.
	Break Name = "break"
	// Forget drops the kept stream of a broken or truncated answer.
	Forget Name = "forget"
	// Slow divides speeds by Factor, or delays each call by Delay.
	Slow Name = "slow"
	// Draining refuses new work as not run.
	Draining Name = "draining"
	// NotRun refuses new work as not run, without leaving.
	NotRun Name = "not-run"
	// Outage refuses each call to the platform.
	Outage Name = "outage"
	// LoseAnswer lets a write take effect and closes its connection without an answer.
	LoseAnswer Name = "lost"
	// TakeSnapshot remembers the platform's data for Older.
	TakeSnapshot Name = "snapshot"
	// RestoreSnapshot brings the platform's data back to the snapshot.
	RestoreSnapshot Name = "older"
)

// Fault is a fault to show.
type Fault struct {
	Name Name `json:"name"`
	// Off takes the fault back.
	Off bool `json:"off,omitempty"`
	// Count is how often it strikes; 0 is until it is taken back.
	Count int `json:"count,omitempty"`
	// After is the number of events sent before an answer ends.
	After int `json:"after,omitempty"`
	// Factor is how many times slower work runs.
	Factor float64 `json:"factor,omitempty"`
	// Text is what a body holds that is meant.
	Text string `json:"text,omitempty"`
	// Delay is how much longer a call takes.
	Delay fireflypath.Duration `json:"delay,omitempty"`
}

// ErrUnknownName means that a stand-in does not know a fault's name.
var ErrUnknownName = errors.New("stand-in does not know the fault")

// Set holds the faults in force. The zero value holds none.
type Set struct {
	mu     sync.Mutex
	faults map[Name]Fault
}

// Apply puts a fault in force or takes it back.
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

// Trigger reports whether a fault is in force and uses up one of its count.
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

// TriggerDieOnText is true if a body is deadly.
func (s *Set) TriggerDieOnText(body []byte) bool {
	f, ok := s.Trigger(DieOnText)
	return ok && bytes.Contains(body, []byte(f.Text))
}

// Parse reads the body of a POST /fault.
func Parse(body []byte) (Fault, error) {
	var f Fault
	if err := json.Unmarshal(body, &f); err != nil {
		return f, errors.Wrap(err, "parse fault")
	}
	return f, nil
}
