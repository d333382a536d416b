// Package bodybudget bounds the memory that a gate uses for the bodies of requests.
//
// Each body is bounded by the configuration, but their number only by the number of connections. A
// burst of large bodies, or callers that send theirs slowly, would end a daemon on a small host by its
// memory, with all requests that it carries.
package bodybudget

import "sync/atomic"

const (
	// smallBody is the size in bytes up to which a body may use all of the budget.
	smallBody = 64 << 10
	// largeShare is the part of the budget that larger bodies may use, so that they do not keep out
	// small ones, which most callers send.
	largeShare = 0.75
)

// Budget is the number of bytes that bodies may use together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns an unused budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Take takes n more bytes for a body that has taken the given number before, and reports whether that
// was possible. What was taken has to be returned with Release.
func (b *Budget) Take(n, before int64) bool {
	limit := b.limit
	if before+n > smallBody {
		limit = int64(largeShare * float64(b.limit))
	}
	if b.used.Add(n) <= limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	b.used.Add(-n)
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	return b.used.Load()
}
