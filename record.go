package fireflypath

import "time"

// Record is the story of one request, kept for "why".
type Record struct {
	ID         string    `json:"id"`
	Team       string    `json:"team"`
	Tier       string    `json:"tier"`
	Pool       string    `json:"pool"`
	Arrived    time.Time `json:"arrived"`
	Deadline   time.Time `json:"deadline"`
	Cost       Cost      `json:"cost"`
	Generation uint64    `json:"generation"`
	// Ahead is the number of requests that stood before it on arrival; for one
	// that was refused, the number that waited in its pool.
	Ahead int `json:"ahead"`
	// Rule names the operator's rule that decided, if one did.
	Rule string `json:"rule,omitempty"`
	// Unsent lists the targets of attempts of which no byte left.
	Unsent []string `json:"unsent,omitempty"`
	// Target is where it was dispatched, empty if it was not.
	Target     string      `json:"target,omitempty"`
	Considered []Candidate `json:"considered,omitempty"`
	Dispatched time.Time   `json:"dispatched,omitzero"`
	First      time.Time   `json:"first,omitzero"`
	Ended      time.Time   `json:"ended,omitzero"`
	// Resumes counts new connections for the same answer.
	Resumes int `json:"resumes,omitempty"`
	// Relief says how a relief round for it went.
	Relief string `json:"relief,omitempty"`
	// Tokens is the number of output tokens received.
	Tokens int `json:"tokens,omitempty"`
	// State is the last state, Refusal the refusal if there was one.
	State   string   `json:"state"`
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Recorder keeps the records of requests that ended, in bounded memory.
type Recorder interface {
	// Keep copies the record, and may reorder its candidates.
	Keep(r *Record)
	// Find returns a copy of a kept record, or nil.
	Find(id string) *Record
	// Each visits the kept records, newest first, until fn returns false.
	Each(fn func(*Record) bool)
}
