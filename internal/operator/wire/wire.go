// Package wire defines the messages between the operators' client and a daemon.
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

// HeaderForwarded marks a query that another daemon forwarded. It is not forwarded
// again.
const HeaderForwarded = "Fireflypath-Forwarded"

// Outcome is the result of a command.
type Outcome string

// Outcomes of a command. Only OutcomeDone means that something changed. After
// OutcomeUnknown something may have changed.
const (
	// OutcomeDone means that the change is in force or the order was sent.
	OutcomeDone Outcome = "done"
	// OutcomePlanned means that the command asked for a plan, which is in Plan.
	OutcomePlanned Outcome = "planned"
	// OutcomeRefused means that the command was not executed and cannot succeed
	// unchanged.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnavailable means that the command was not executed because the
	// platform's store is down or slow. It may be retried.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeInvalid means that the command could not be parsed.
	OutcomeInvalid Outcome = "bad"
	// OutcomeUnknown means that the command may or may not have been executed. The
	// query "settle" with the command's ID tells which.
	OutcomeUnknown Outcome = "unknown"
)

// CommandRequest asks a daemon to execute a command.
type CommandRequest struct {
	// ID is a ULID. A command is executed at most once per ID, so it can be sent
	// again safely.
	ID string `json:"id"`
	// Text is the command as the operator wrote it.
	Text string `json:"words"`
	// Base is the configuration generation that the command was written against;
	// 0 means any. The keyword "at" in the text takes precedence.
	Base uint64 `json:"base,omitempty"`
}

// CommandResult is the response to a CommandRequest.
type CommandResult struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Detail describes the outcome in a sentence.
	Detail string `json:"detail,omitempty"`
	// Generation is the generation that contains the change or, for a refused change
	// or a plan, the one that was in force.
	Generation uint64 `json:"generation,omitempty"`
	// Repeated is true if the command with this ID had already been executed.
	Repeated bool `json:"repeated,omitempty"`
	// ConflictingID is the ID of the change that was committed first.
	ConflictingID string `json:"lost,omitempty"`
	// Problems lists everything that is wrong with a refused change.
	Problems check.Problems `json:"problems,omitempty"`
	// Syntax locates the syntax error of an invalid command.
	Syntax *syntax.Error `json:"syntax,omitempty"`
	// Plan is set for OutcomePlanned.
	Plan *plan.Plan `json:"plan,omitempty"`
	// AuditFailed is true if a refusal or the result of an order could not be written
	// to the audit trail because the platform's store is down.
	AuditFailed bool `json:"unnoted,omitempty"`
}

// QueryRequest asks a daemon to answer a query.
type QueryRequest struct {
	Text string `json:"words"`
}

// ErrorResponse is the response to a query that failed, or to a request without a
// valid key.
type ErrorResponse struct {
	Detail string        `json:"detail"`
	Syntax *syntax.Error `json:"syntax,omitempty"`
}

// HeldResponse lists the requests that are held for crashing targets or suspected of it.
type HeldResponse struct {
	Rows []quarantine.Row `json:"rows"`
}

// ReleaseRequest asks a daemon to allow a held request to run again.
type ReleaseRequest struct {
	Digest string `json:"digest"`
}
