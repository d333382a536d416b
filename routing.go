package fireflypath

import "time"

// Repeat says what may happen to a request whose outcome is unknown.
type Repeat string

const (
	// RepeatNever is for requests that run at most once.
	RepeatNever Repeat = "never"
	// RepeatSafe is for idempotent requests.
	RepeatSafe Repeat = "safe"
)

// Form is the form of a route's answers.
type Form string

const (
	// FormWhole is an answer that counts only when it is complete.
	FormWhole Form = "whole"
	// FormEvents is a series of server-sent events with increasing ids.
	FormEvents Form = "events"
)

// Route sends the requests of a host and path prefix to pools.
type Route struct {
	Name string `json:"name" validate:"required,max=64"`
	// Host is compared without its port, in lower case.
	Host string `json:"host" validate:"required"`
	// Prefix begins and ends with a slash; the longest that begins a path wins.
	Prefix string `json:"prefix" validate:"required,startswith=/,endswith=/"`
	// Split holds the pools and their weights; at least one weight is above 0.
	Split []Split `json:"split" validate:"min=1,dive"`
	Form  Form    `json:"form" validate:"oneof=whole events"`
	// Repeat is safe for events if they can be resumed.
	Repeat Repeat `json:"repeat" validate:"oneof=never safe"`
	// Attempts bounds the targets that one request may be sent to; 0 counts as 1.
	Attempts int `json:"attempts,omitempty" validate:"min=0"`
	// Timeout is the longest a caller is kept; 0 leaves it to the caller.
	Timeout Duration `json:"timeout,omitempty" validate:"min=0"`
	// Goal is the time to the answer, or to its first event, that callers hope for.
	Goal Duration `json:"goal,omitempty" validate:"min=0"`
	// Gap is the longest pause between events that callers bear.
	Gap Duration `json:"gap,omitempty" validate:"min=0"`
	// Patience is how long callers wait for an answer to begin before they leave;
	// 0 is until their deadline.
	Patience Duration `json:"patience,omitempty" validate:"min=0"`
	// Rank is the tier's rank; 0 is the highest. A team's own rank goes first.
	Rank int `json:"rank" validate:"min=0,max=15"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Sticky requests carry prompts whose parts targets keep.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable streams go on at another target behind a given event.
	Resumable bool `json:"resumable,omitempty"`
}

// Split is a pool's part of a route's requests.
type Split struct {
	Pool   string `json:"pool" validate:"required"`
	Weight int    `json:"weight" validate:"min=0"`
}

// Unit is what a quota is counted in.
type Unit string

const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = "requests"
	// UnitTokens counts prompt tokens and the most output tokens.
	UnitTokens Unit = "tokens"
)

// Quota is what a team may use, summed over all daemons.
type Quota struct {
	Unit Unit `json:"unit" validate:"oneof=requests tokens"`
	// Rate is units a second; 0 is no limit.
	Rate float64 `json:"rate" validate:"min=0"`
	// Burst is units that may be used at once on top.
	Burst float64 `json:"burst" validate:"min=0"`
	// Plain is what a request without a token count uses.
	Plain int `json:"plain,omitempty" validate:"min=0"`
}

// Bounds limit what a caller may send and how long it may idle; 0 is no bound.
type Bounds struct {
	Header     int      `json:"header,omitempty" validate:"min=0"`
	Body       int      `json:"body,omitempty" validate:"min=0"`
	HeaderTime Duration `json:"header_time,omitempty" validate:"min=0"`
	Idle       Duration `json:"idle,omitempty" validate:"min=0"`
}

// Headers are the names of the headers that callers, daemons and targets exchange.
type Headers struct {
	// ID is the request's id, set by the caller and repeated by the target.
	ID string
	// Deadline is how many milliseconds are left.
	Deadline string
	// Key is the caller's key; it is not passed on.
	Key string
	// Team tells the target whose request it is.
	Team string
	// Target names the target that is meant; another one does not run the request.
	Target string
	// Instance is a target's own name in its answers.
	Instance string
	// NotRun marks an answer of a target that did not run the request.
	NotRun string
	// Signature marks an answer that a target made.
	Signature string
	// Load is a target's running and waiting requests and its slots.
	Load string
	// Tokens is the number of prompt tokens and of the most output tokens.
	Tokens string
	// OutputHint is the caller's estimate of the output tokens.
	OutputHint string
	// Event is the id of the last event that the caller has.
	Event string
	// DaemonOnly are headers that only daemons set; those of callers are dropped.
	DaemonOnly []string
}

// Load is a target's load as it says in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Codec reads what the platform keeps in its store and writes in its headers.
type Codec interface {
	// Headers are the names in use.
	Headers() Headers
	// ConfigKey holds the operator's configuration; TargetPrefix begins the keys
	// of the targets' registrations.
	ConfigKey() string
	TargetPrefix() string
	// Config decodes the configuration; its targets and generation are not set.
	Config(value []byte) (*Config, error)
	// Target decodes a registration.
	Target(key string, value []byte) (Target, error)
	// Load decodes the load header of an answer; false means that it has none.
	Load(header string) (Load, bool)
	// Cost decodes the token header: the prompt and the most output.
	Cost(header string) (Cost, bool)
}

// Listing is a part of a store's keys at a revision.
type Listing struct {
	Entries []Entry
	// Revision is the store's own when it answered.
	Revision uint64
	// Relayed is true for the view of another daemon: Revision is then that of
	// its view, and Entries hold all that changed up to it.
	Relayed bool
	// Partial is true if a large value is still on its way. What Entries hold is in
	// force, but the view is not that of Revision yet and proves nothing.
	Partial bool
	// Pause is how long to wait before the next question.
	Pause time.Duration
	// Age is how old a relayed view was when the question came.
	Age time.Duration
	// Hold is for how long a removal in a relayed view may be a registration that
	// lapsed while the store was away.
	Hold time.Duration
}

// Freshness tells how old the view of the configuration and the targets is.
type Freshness interface {
	// Age is the time since the view was surely the newest, at most; time in which
	// the host was suspended counts. It is very large before the first view.
	Age() time.Duration
}
