package fireflypath

import "time"

// Record is the history of one request, kept for the "why" query.
type Record struct {
	ID         string    `json:"id"`
	Team       string    `json:"team"`
	Tier       string    `json:"tier"`
	Pool       string    `json:"pool"`
	Arrived    time.Time `json:"arrived"`
	Deadline   time.Time `json:"deadline"`
	Cost       Cost      `json:"cost"`
	Generation uint64    `json:"generation"`
	// Ahead is the number of requests that were queued before it on arrival; for a refused
	// request, the number that waited in its pool.
	Ahead int `json:"ahead"`
	// Rule is the name of the operator's rule that decided, if any.
	Rule string `json:"rule,omitempty"`
	// Unsent lists the targets of attempts that failed before any byte was sent.
	Unsent []string `json:"unsent,omitempty"`
	// Target is the target that it was dispatched to, empty if it was not.
	Target      string      `json:"target,omitempty"`
	Considered  []Candidate `json:"considered,omitempty"`
	Dispatched  time.Time   `json:"dispatched,omitzero"`
	FirstOutput time.Time   `json:"first,omitzero"`
	Ended       time.Time   `json:"ended,omitzero"`
	// Resumes counts the additional connections for the same answer.
	Resumes int `json:"resumes,omitempty"`
	// Relief describes the outcome of a relief round for it.
	Relief string `json:"relief,omitempty"`
	// Tokens is the number of output tokens received.
	Tokens int `json:"tokens,omitempty"`
	// State is the final state, Refusal the refusal if there was one.
	State   string   `json:"state"`
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Recorder keeps the records of finished requests in bounded memory.
type Recorder interface {
	// Keep stores a copy of the record. It may reorder the record's candidates.
	Keep(r *Record)
	// Find returns a copy of a kept record, or nil.
	Find(id string) *Record
	// Each calls fn for the kept records, newest first, until it returns false.
	Each(fn func(*Record) bool)
}
