// Package wire holds the messages between the operators' client and a daemon.
package wire

import (
	"github.com/fireflypath/fireflypath/internal/check"
	"github.com/fireflypath/fireflypath/internal/plan"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

// Paths of the endpoints.
const (
	PathDo      = "/do"
	PathAsk     = "/ask"
	PathSettle  = "/settle"
	PathHeld    = "/held"
	PathRelease = "/release"
)

// HeaderForwarded marks a query that another daemon passed on; it is not
// passed on again.
const HeaderForwarded = "Fireflypath-Forwarded"

// Outcome is the fate of a command in one word.
type Outcome string

// The outcomes. Only OutcomeDone changed something; OutcomeUnknown may have.
const (
	// OutcomeDone is in force, or sent if it is an order.
	OutcomeDone Outcome = "done"
	// OutcomePlanned is what a plan gives.
	OutcomePlanned Outcome = "planned"
	// OutcomeRefused was not done and will not be as it is.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnavailable was not done because the platform's service is down or
	// slow; it may be tried again.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeInvalid could not be parsed.
	OutcomeInvalid Outcome = "bad"
	// OutcomeUnknown must be settled by the command's id.
	OutcomeUnknown Outcome = "unknown"
)

// CommandRequest asks for a command to be done.
type CommandRequest struct {
	// ID makes a repetition harmless; a ULID.
	ID string `json:"id"`
	// Text are the command as given.
	Text string `json:"words"`
	// Base is the generation it was written against; 0 means any. "at" in the
	// words goes first.
	Base uint64 `json:"base,omitempty"`
}

// CommandResult is the answer to Do.
type CommandResult struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Detail is a sentence for people.
	Detail string `json:"detail,omitempty"`
	// Generation is in force with the change, or was met by a refused one.
	Generation uint64 `json:"generation,omitempty"`
	// Repeated is true if the id had been done before.
	Repeated bool `json:"repeated,omitempty"`
	// ConflictingID names the change that was committed first.
	ConflictingID string `json:"lost,omitempty"`
	// Problems are all that is wrong with a refused change.
	Problems check.Problems `json:"problems,omitempty"`
	// Syntax is set for OutcomeInvalid.
	Syntax *syntax.Error `json:"syntax,omitempty"`
	// Plan is set for OutcomePlanned.
	Plan *plan.Plan `json:"plan,omitempty"`
	// AuditFailed is true if a refusal or an order's result could not be written
	// to the audit trail, because the service is down.
	AuditFailed bool `json:"unnoted,omitempty"`
}

// QueryRequest is a query.
type QueryRequest struct {
	Text string `json:"words"`
}

// ErrorResponse is the answer to a query that cannot be answered, and to a request
// without the right key.
type ErrorResponse struct {
	Detail string        `json:"detail"`
	Syntax *syntax.Error `json:"syntax,omitempty"`
}

// HeldResponse lists the requests that are held or suspected since they end targets.
type HeldResponse struct {
	Rows []quarantine.Row `json:"rows"`
}

// ReleaseRequest lets a request run again.
type ReleaseRequest struct {
	Digest string `json:"digest"`
}
