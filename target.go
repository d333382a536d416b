package fireflypath

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Backend. After any other error the outcome is unknown.
var (
	// ErrUnsent means that no byte of the request left this host.
	ErrUnsent = errors.New("request was not sent")
	// ErrUnreachable means that the target did not accept the connection; the error is also
	// marked as ErrUnsent. It does not cover a lack of file descriptors or ports on this host,
	// which would make all targets look dead to a daemon under load.
	ErrUnreachable = errors.New("target takes no connection")
	// ErrNotRun means that the target reported that it did not run the request.
	ErrNotRun = errors.New("target did not run the request")
	// ErrDraining means that the target did not run the request because it is leaving; it
	// wraps ErrNotRun.
	ErrDraining = errors.Wrap(ErrNotRun, "target is leaving")
	// ErrRequestMismatch means that an answer carried the ID of another request.
	ErrRequestMismatch = errors.New("answer belongs to another request")
	// ErrTruncated means that an answer ended before its end marker.
	ErrTruncated = errors.New("answer was cut short")
	// ErrGone means that the target no longer holds the answer that was to be resumed.
	ErrGone = errors.New("target does not hold the answer")
)

// GroupByPool returns the targets of each pool, in their order.
func GroupByPool(all []Target) map[string][]Target {
	sizes := map[string]int{}
	for i := range all {
		sizes[all[i].Pool]++
	}
	out := make(map[string][]Target, len(sizes))
	for _, t := range all {
		if out[t.Pool] == nil {
			out[t.Pool] = make([]Target, 0, sizes[t.Pool])
		}
		out[t.Pool] = append(out[t.Pool], t)
	}
	return out
}

// Call is a request as it is sent to a target.
type Call struct {
	// ID is the request's ID, which the answer must carry.
	ID string
	// Method and Path are those of the caller's request, without the pool's prefix.
	Method string
	Path   string
	// IdempotencyKey is the caller's idempotency key, which is forwarded to services.
	IdempotencyKey string
	// Header holds the end-to-end headers to forward.
	Header map[string]string
	Body   []byte
	// Stream is true if the caller wants a streamed answer.
	Stream bool
}

// Chunk is a piece of an answer.
type Chunk struct {
	// Data is valid until the next call.
	Data []byte
	// Offset is the sequence number of the chunk, starting at 1, for resuming.
	Offset int
	// Tokens is the number of output tokens in the chunk.
	Tokens int
}

// Head is the start of an answer.
type Head struct {
	Status int
	Header map[string]string
	// Cached is the number of prompt tokens found in the prefix cache, or -1.
	Cached int
}

// Answer is an answer that is being read. It is not safe for concurrent use.
type Answer interface {
	// Head returns the head, which is available immediately.
	Head() Head
	// Next returns the next chunk. It returns io.EOF only after the complete answer.
	Next(ctx context.Context) (Chunk, error)
	// Close releases the connection. It may be called twice.
	Close() error
}

// Backend is the client of the targets of one kind. No method sends a request twice.
type Backend interface {
	// Dispatch sends the call once and returns when the answer begins.
	Dispatch(ctx context.Context, t Target, c *Call) (Answer, error)
	// Resume reads the rest of an answer after the given offset on a new connection. The
	// target does not run the work again.
	Resume(ctx context.Context, t Target, c *Call, offset int) (Answer, error)
	// Cancel asks the target to stop work whose answer is no longer needed.
	Cancel(ctx context.Context, t Target, id string) error
}

// Watcher reads the state of targets independently of requests.
type Watcher interface {
	// Poll reads the load report and the cache events of a target.
	Poll(ctx context.Context, t Target) ([]Event, error)
}

// OrderKind is the kind of an order to a target.
type OrderKind string

// The orders that targets accept.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderVersion OrderKind = "version"
	OrderRole    OrderKind = "role"
)

// Order is a command that changes what a target serves.
type Order struct {
	// ID makes repeating an order harmless.
	ID     string    `json:"id"`
	Kind   OrderKind `json:"kind"`
	Target string    `json:"target"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
	// Fence is the fencing number, which grows with each holder of the order lease.
	Fence uint64 `json:"fence"`
	// Sent is when the holder last verified that it holds the lease.
	Sent time.Time `json:"sent"`
}
