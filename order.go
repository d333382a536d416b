package fireflypath

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrFenced means that a target has seen a higher fencing number than the order's.
var ErrFenced = errors.New("target refuses the fencing number as old")

// Orderer sends orders to targets, or has the holder of the order lease do so.
type Orderer interface {
	// Order sends an order with the fencing number of the lease. The same id
	// may be sent again without harm. ErrUnknown means that the target may or
	// may not have taken it; every other error means that it did not.
	Order(ctx context.Context, o Order) error
}
