package fireflypath

import "context"

// Orderer sends orders to targets, or has the holder of the order lease do so.
type Orderer interface {
	// Order sends an order with the fencing number of the lease. The same id
	// may be sent again without harm. ErrUnknown means that the target may or
	// may not have taken it; every other error means that it did not.
	Order(ctx context.Context, o Order) error
}
