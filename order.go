package fireflypath

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrFenced means that the target has seen a higher fencing number than that of the order.
var ErrFenced = errors.New("target refuses the fencing number as old")

// Orderer sends orders to targets, directly or through the holder of the order lease.
type Orderer interface {
	// Order sends an order with the fencing number of the lease. Sending an order with the
	// same ID again is harmless. ErrUnknown means that the target may or may not have accepted
	// it; any other error means that it did not.
	Order(ctx context.Context, o Order) error
}
