// Package lend decides which slots a cell lends to other cells, and which cells it asks for some.
//
// It is meant for demand that is uneven over cells. Each cell sends its work only to its own targets.
// Without lending, requests of a busy cell are refused while other cells have free slots.
//
// The dispatcher of a cell in need asks those of a few other cells. The lender decides: it grants a
// number of slots at named targets until a time, and counts them as in use until the borrower has
// reported that its work there has ended. The borrower's use of a grant ends before the lender's
// counting does. Nothing is sent while there is no need.
package lend

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// MaxRanks is the number of ranks that are told apart. Lower ones count as the last.
	MaxRanks = 16
	// MaxBorrowers is how many dispatchers a cell keeps records of. Further ones are refused.
	MaxBorrowers = 4
	// MaxLenders is how many cells a cell borrows from at a time.
	MaxLenders = 4
	// MaxTargets is the number of targets in a grant.
	MaxTargets = 16
	// Lease is how long a borrower may use a grant from the moment at which it asked.
	Lease = 500 * time.Millisecond
	// Margin is how much later a lease ends at the lender. By then the last requests that the borrower
	// placed have reached the target.
	Margin = 200 * time.Millisecond
	// RenewInterval is the time between two requests to a lender. A lender gets a slot back after the
	// next one at the latest, when the work there has ended.
	RenewInterval = 200 * time.Millisecond
	// Linger is how long a lender counts slots after the end of a lease if it hears no more of the
	// borrower. It is the longest time that callers wait for an answer; the work has ended by then.
	Linger = 10 * time.Second
	// ReportAge bounds the time from a target's report of its load to the decision that uses it, with
	// the stall of a host in between.
	ReportAge = 250 * time.Millisecond
	// MaxRun is the longest expected run of a request at a borrowed target. Together with
	// RenewInterval it gives the lender its slots back within a second.
	MaxRun = 750 * time.Millisecond
)

// Slots is a number of slots at a target.
type Slots struct {
	// Target is the identity of the target.
	Target string `json:"t"`
	Count  int    `json:"n,omitempty"`
	// Prefill and Decode are the speeds that the lender has learned; 0 means unknown.
	Prefill int `json:"p,omitempty"`
	Decode  int `json:"d,omitempty"`
}

// Ask is a borrower's request to a lender, and its report of what it uses.
type Ask struct {
	// Cell is the borrower's cell.
	Cell int `json:"c"`
	// Need is the number of slots that the borrower can use, by the rank of the work that waits for
	// them or runs in them. It is empty if the borrower only returns slots.
	Need []int `json:"w,omitempty"`
	// Used is what the borrower's work occupies at the lender's targets.
	Used []Slots `json:"u,omitempty"`
	// Version is that of the grant which the borrower holds; 0 if it holds none.
	Version uint64 `json:"v,omitempty"`
	// Sequence grows with each request of a borrower, so that one that arrives late changes nothing.
	Sequence int64 `json:"q,omitempty"`
	// Partial is true if Used may not contain all work of the borrower's cell.
	Partial bool `json:"x,omitempty"`
}

// Grant is a lender's answer. It replaces earlier grants of the lender's cell.
type Grant struct {
	// Version identifies the grant; 0 if there is none and was none before.
	Version uint64 `json:"v,omitempty"`
	// Lease is how long the grant may be used from the moment at which it was asked for.
	Lease fireflypath.Micros `json:"l,omitempty"`
	// Same is true if the borrower holds the grant already; Slots is empty then.
	Same  bool    `json:"s,omitempty"`
	Slots []Slots `json:"g,omitempty"`
	// Counted is the number of slots that the lender counts as in use by the borrower.
	Counted int `json:"k,omitempty"`
}

// Loan is what a cell has lent to one borrower. The daemons of the cell know it, so that the next
// dispatcher counts it.
type Loan struct {
	Borrower string  `json:"b"`
	Cell     int     `json:"c"`
	Slots    []Slots `json:"g,omitempty"`
}

// Total returns the number of slots.
func Total(slots []Slots) int {
	n := 0
	for i := range slots {
		n += slots[i].Count
	}
	return n
}
