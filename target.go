package fireflypath

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Backend. An error that is none of these leaves the outcome unknown.
var (
	// ErrUnsent means that no byte of the request left this host.
	ErrUnsent = errors.New("request was not sent")
	// ErrUnreachable means that the target took no connection; ErrUnsent marks
	// the same error. Want of descriptors or ports on this host is not meant:
	// it would make all targets look dead to a daemon under load.
	ErrUnreachable = errors.New("target takes no connection")
	// ErrNotRun means that the target said that it did not run the request.
	ErrNotRun = errors.New("target did not run the request")
	// ErrDraining means that the target said so because it is leaving; it wraps ErrNotRun.
	ErrDraining = errors.Wrap(ErrNotRun, "target is leaving")
	// ErrRequestMismatch means that an answer carried another request's id.
	ErrRequestMismatch = errors.New("answer belongs to another request")
	// ErrTruncated means that an answer ended before its end mark.
	ErrTruncated = errors.New("answer was cut short")
	// ErrGone means that a target no longer knows the request to resume.
	ErrGone = errors.New("target does not hold the answer")
)

// Call is a request as it is sent to a target.
type Call struct {
	// ID is the request's id; the answer must carry it.
	ID string
	// Method and Path are those of the caller, the pool's prefix removed.
	Method string
	Path   string
	// Key is the caller's idempotency key, passed on to services.
	Key string
	// Header holds the end-to-end headers to pass on.
	Header map[string]string
	Body   []byte
	// Stream is true if the caller wants the answer as it comes.
	Stream bool
}

// Chunk is a piece of an answer.
type Chunk struct {
	// Data belongs to the receiver until the next call.
	Data []byte
	// Offset is the sequence number of the piece, from 1, for a resume.
	Offset int
	// Tokens is the number of output tokens in the piece.
	Tokens int
}

// Head is the start of an answer.
type Head struct {
	Status int
	Header map[string]string
	// Cached is the number of prompt tokens found in the prefix cache, or -1.
	Cached int
}

// Answer is an answer being read. It is used by one goroutine.
type Answer interface {
	// Head is available once the Answer is.
	Head() Head
	// Next returns the next piece, or io.EOF only after the whole answer.
	Next(ctx context.Context) (Chunk, error)
	// Close gives the connection up; it may be called twice.
	Close() error
}

// Backend speaks to the targets of one kind. No method sends a request twice.
type Backend interface {
	// Dispatch sends the call once and returns when the answer begins.
	Dispatch(ctx context.Context, t Target, c *Call) (Answer, error)
	// Resume reads an answer again from behind the given offset on a new
	// connection. It is no new dispatch: the target does not run the work again.
	Resume(ctx context.Context, t Target, c *Call, offset int) (Answer, error)
	// Cancel asks the target to stop work whose answer nobody wants.
	Cancel(ctx context.Context, t Target, id string) error
}

// Watcher learns the state of targets on its own.
type Watcher interface {
	// Poll reads a target's load report and cache events.
	Poll(ctx context.Context, t Target) ([]Event, error)
}

// OrderKind names an order to a target.
type OrderKind string

// The orders that targets accept.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderVersion OrderKind = "version"
	OrderRole    OrderKind = "role"
)

// Order changes what a target serves.
type Order struct {
	// ID makes a repeated order harmless.
	ID     string    `json:"id"`
	Kind   OrderKind `json:"kind"`
	Target string    `json:"target"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
	// Fence grows with each holder of the order lease.
	Fence uint64 `json:"fence"`
	// Sent is when the holder passed its last check.
	Sent time.Time `json:"sent"`
}
