// Package follow lets most daemons follow the platform's store through a few that watch it.
package follow

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodFollow = "follow"
	// relayWait is how long a watcher holds a call back while nothing changes.
	relayWait = 500 * time.Millisecond
	// callTime is what a call to a watcher may take beyond that.
	callTime = 300 * time.Millisecond
	// oldView is the age at which a watcher's view is of no use: it has missed a
	// watch, and may have been cut off. With the call's own time, a change is in
	// force well within two seconds also where the watcher was cut off.
	oldView = 1100 * time.Millisecond
	// avoidTime is how long a watcher is not asked that did not answer well.
	avoidTime = 2 * time.Second
	// storePause is how long a daemon that could not reach the store either waits
	// before it asks it again. In an outage the watchers ask often enough for all.
	storePause = time.Second
)

// errOld means that no watcher has a view that is young enough.
var errOld = errors.New("watchers' views are old")

// Peers is what Feed needs of the endpoint.
type Peers interface {
	Handle(method string, m peer.Method)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Feed follows the store, or a daemon that does. It implements fireflypath.Feed.
//
// If each daemon watched the store, its calls would grow with the fleet and
// again with each change: 64 daemons made 230 calls a second. One daemon of each
// failure domain watches, and tells the others what changed and how old its
// view is. The age counts from when the question was sent, so that neither the
// clocks of the hosts nor the time on the way can make a view look younger.
type Feed struct {
	store   fireflypath.Feed
	peers   Peers
	members fireflypath.Members
	self    string
	domain  string
	clock   clockwork.Clock
	view    *directory.Directory
	// avoid holds until when a watcher is not asked; failed is when the store
	// last did not answer. Both belong to the caller of Follow.
	avoid   map[string]time.Time
	failed  time.Time
	relayed tally.Counter
	direct  tally.Counter
	// left counts the watchers that were not asked again for a while.
	left tally.Counter
	log  *zap.Logger
}

var _ fireflypath.Feed = (*Feed)(nil)

// New returns the feed of the daemon of that name and failure domain.
func New(self, domain string, store fireflypath.Feed, peers Peers, members fireflypath.Members,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Feed {
	scope = scope.SubScope("follow")
	return &Feed{
		store: store, peers: peers, members: members, self: self, domain: domain, clock: clock,
		avoid:   map[string]time.Time{},
		relayed: scope.Counter("relayed"), direct: scope.Counter("direct"), left: scope.Counter("left"),
		log: log,
	}
}

// Serve answers other daemons from the view. It is called before the endpoint serves.
func (f *Feed) Serve(view *directory.Directory) {
	f.view = view
	f.peers.Handle(methodFollow, f.answer)
}

// ask is what a daemon asks a watcher.
type ask struct {
	// After is the revision of the asker's view; 0 asks for everything.
	After uint64 `json:"a"`
	// Wait is how long the answer may be held back, in milliseconds.
	Wait int64 `json:"w"`
}

// reply is a watcher's answer.
type reply struct {
	Entries  []fireflypath.Entry `json:"e,omitempty"`
	Revision uint64              `json:"r"`
	// Age of the view and the time for which removals may be lapses, in milliseconds.
	Age  int64 `json:"a"`
	Hold int64 `json:"h,omitempty"`
	// Compacted is true if the changes since After are not known.
	Compacted bool `json:"c,omitempty"`
}

// answer serves a daemon that follows this one.
func (f *Feed) answer(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var a ask
	if err := json.Unmarshal(params, &a); err != nil {
		return nil, errors.Wrap(err, "decode follow")
	}
	if !f.Watches() && a.Wait > 0 {
		// Two daemons that take each other for the watcher would tell each other
		// old news for ever.
		return nil, errors.New("this daemon does not watch")
	}
	l, err := f.view.Since(ctx, a.After, time.Duration(a.Wait)*time.Millisecond, oldView)
	if errors.Is(err, fireflypath.ErrCompacted) {
		return reply{Compacted: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return reply{Entries: l.Entries, Revision: l.Revision, Age: l.Age.Milliseconds() + 1, Hold: l.Hold.Milliseconds()}, nil
}

// watchers are the daemons that watch the store, the nearest one first: in each
// failure domain the one whose name has the lowest hash.
func (f *Feed) watchers() []fireflypath.Member {
	lowest := map[string]fireflypath.Member{}
	for _, m := range f.members.Live() {
		if m.Leaving {
			continue
		}
		if o, ok := lowest[m.Domain]; !ok || xxhash.Sum64String(m.Name) < xxhash.Sum64String(o.Name) {
			lowest[m.Domain] = m
		}
	}
	out := make([]fireflypath.Member, 0, len(lowest))
	for _, m := range lowest {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int {
		if (a.Domain == f.domain) != (b.Domain == f.domain) {
			if a.Domain == f.domain {
				return -1
			}
			return 1
		}
		if xxhash.Sum64String(a.Name) < xxhash.Sum64String(b.Name) {
			return -1
		}
		return 1
	})
	return out
}

// Watches is true if this daemon watches the store for others.
func (f *Feed) Watches() bool {
	ws := f.watchers()
	return len(ws) == 0 || slices.ContainsFunc(ws, func(m fireflypath.Member) bool { return m.Name == f.self })
}

// Snapshot implements fireflypath.Feed. The first read of a daemon's life goes
// to the store: it knows no peers yet.
func (f *Feed) Snapshot(ctx context.Context, prefix string) (fireflypath.Listing, error) {
	if !f.Watches() {
		if l, err := f.relay(ctx, 0, 0); err == nil {
			return l, nil
		}
	}
	f.direct.Inc(1)
	return f.store.Snapshot(ctx, prefix)
}

// Follow implements fireflypath.Feed. If the nearest watcher fails, the store is
// asked next: another watcher may be cut off together with the first.
func (f *Feed) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	if f.Watches() {
		f.direct.Inc(1)
		return f.store.Follow(ctx, prefix, after, wait)
	}
	l, err := f.relay(ctx, after, min(wait, relayWait))
	if usable(err) || ctx.Err() != nil {
		return l, err
	}
	if f.clock.Since(f.failed) < storePause {
		return fireflypath.Listing{}, err
	}
	f.direct.Inc(1)
	l, err = f.store.Follow(ctx, prefix, after, min(wait, relayWait))
	if !usable(err) {
		f.failed = f.clock.Now()
	}
	return l, err
}

// usable is true for an answer that says what to do next.
func usable(err error) bool {
	return err == nil || errors.Is(err, fireflypath.ErrCompacted)
}

// relay asks the nearest watcher that did not fail lately.
func (f *Feed) relay(ctx context.Context, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	now := f.clock.Now()
	for i, w := range f.watchers() {
		if i >= maxAsked {
			break
		}
		if now.Before(f.avoid[w.Name]) {
			continue
		}
		l, err := f.askOne(ctx, w, after, wait)
		if !usable(err) {
			f.leave(ctx, w, after, f.clock.Since(now), err)
		}
		return l, err
	}
	return fireflypath.Listing{}, errOld
}

// leave has a watcher not asked for a while. The line is what tells a watcher that
// is cut off from one whose answer did not arrive in time; there is at most one
// for each watcher and avoidTime.
func (f *Feed) leave(ctx context.Context, w fireflypath.Member, after uint64, took time.Duration, err error) {
	f.avoid[w.Name] = f.clock.Now().Add(avoidTime)
	if ctx.Err() != nil {
		return
	}
	f.left.Inc(1)
	f.log.Info("watcher did not bring what changed", zap.String("watcher", w.Name), zap.Uint64("after", after),
		zap.Duration("took", took), logs.Cause(err))
}

// maxAsked bounds the watchers that a daemon tries, one a call.
const maxAsked = 3

func (f *Feed) askOne(ctx context.Context, w fireflypath.Member, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	var r reply
	if err := f.peers.Call(ctx, w, methodFollow, ask{After: after, Wait: wait.Milliseconds()}, &r); err != nil {
		return fireflypath.Listing{}, errors.Wrapf(err, "follow %s", w.Name)
	}
	if r.Compacted {
		return fireflypath.Listing{}, fireflypath.ErrCompacted
	}
	age := time.Duration(r.Age) * time.Millisecond
	if age > oldView || r.Revision < after {
		return fireflypath.Listing{}, errors.Wrapf(errOld, "%s: %v", w.Name, age)
	}
	f.relayed.Inc(1)
	return fireflypath.Listing{
		Entries: r.Entries, Revision: r.Revision, Relayed: true, Age: age,
		Hold: time.Duration(r.Hold) * time.Millisecond,
	}, nil
}
