// Package follow lets most daemons follow the platform's store through a few that watch it.
package follow

import (
	"context"
	"sync/atomic"
	"time"

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
	// callTime is what a call to a watcher may take beyond its wait. Answers have a page
	// at most, whatever changed.
	callTime = 300 * time.Millisecond
	// latePart is the part of the time for a change to be in force up to which a follower
	// asks its watcher once more for a large answer on its way. Of three seconds it leaves
	// half a second for that call and 0.85 s for the store's own answer; of two seconds,
	// which fleets without slow links have, it leaves no wait at all.
	latePart = 0.55
	// youngPart is the part of the time for a change to be in force up to which a view is
	// young enough to look for another watcher first. All daemons that start at once
	// take the wrong ones for watchers until they know each other.
	youngPart = 0.25
	// youngPause is the pause before that.
	youngPause = 100 * time.Millisecond
	// unlimited is above any age of a view.
	unlimited = 1 << 62 * time.Nanosecond
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
	Handle(method string, m peer.Handler)
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
	// force is the time for a change to be in force everywhere.
	force time.Duration
	pace  pace
	clock clockwork.Clock
	view  *directory.Directory
	// avoid holds until when a watcher is not asked; failed is when the store
	// last did not answer. Both belong to the caller of Follow.
	avoid   map[string]time.Time
	failed  time.Time
	relayed tally.Counter
	direct  tally.Counter
	// left counts the watchers that were not asked again for a while.
	left tally.Counter
	// fetched counts the bytes of large values that came from watchers.
	fetched tally.Counter
	log     *zap.Logger

	values *values
	// chosen is who watched when that was last worked out.
	chosen atomic.Pointer[chosen]
	// download is the large value on its way here, or nil. It belongs to the caller
	// of Follow.
	download *download
}

var _ fireflypath.Feed = (*Feed)(nil)

// New returns the feed of the daemon of that name and failure domain. A change has
// to be in force everywhere in the time given as force.
func New(self, domain string, force time.Duration, store fireflypath.Feed, peers Peers, members fireflypath.Members,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Feed {
	scope = scope.SubScope("follow")
	return &Feed{
		store: store, peers: peers, members: members, self: self, domain: domain, force: force, pace: paceOf(force), clock: clock,
		avoid:   map[string]time.Time{},
		relayed: scope.Counter("relayed"), direct: scope.Counter("direct"), left: scope.Counter("left"),
		fetched: scope.Counter("fetched_bytes"), log: log,
		values: &values{versions: map[string][]fireflypath.Entry{}},
	}
}

// Snapshot implements fireflypath.Feed. The first read of a daemon's life goes
// to the store: it knows no peers yet.
func (f *Feed) Snapshot(ctx context.Context, prefix string) (fireflypath.Listing, error) {
	if !f.Watches() {
		l, err := f.relay(ctx, 0, 0, downloadTime)
		if err == nil && !l.Partial {
			return l, nil
		}
	}
	f.direct.Inc(1)
	return f.kept(f.store.Snapshot(ctx, prefix))
}

// Follow implements fireflypath.Feed. If the nearest watcher fails, the store is
// asked next: another watcher may be cut off together with the first.
func (f *Feed) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	if f.Watches() {
		f.direct.Inc(1)
		return f.kept(f.store.Follow(ctx, prefix, after, wait))
	}
	relayed, err := f.relay(ctx, after, min(wait, f.pace.relay), fetchTime)
	if usable(err) || ctx.Err() != nil {
		return relayed, err
	}
	if f.young() {
		return fireflypath.Listing{Partial: true, Entries: relayed.Entries, Pause: youngPause}, nil
	}
	if f.clock.Since(f.failed) >= storePause {
		f.direct.Inc(1)
		var l fireflypath.Listing
		l, err = f.kept(f.store.Follow(ctx, prefix, after, min(wait, f.pace.relay)))
		if usable(err) {
			return l, err
		}
		f.failed = f.clock.Now()
	}
	if relayed.Partial {
		return relayed, nil
	}
	return fireflypath.Listing{}, err
}

// young is true while the view is young enough to do without the store.
func (f *Feed) young() bool {
	return f.view.Age() <= time.Duration(youngPart*float64(f.force))
}

// kept keeps the large values of a listing, as bases for those to come.
func (f *Feed) kept(l fireflypath.Listing, err error) (fireflypath.Listing, error) {
	f.values.keep(l.Entries)
	return l, err
}

// usable is true for an answer that says what to do next.
func usable(err error) bool {
	return err == nil || errors.Is(err, fireflypath.ErrCompacted)
}

// relay asks the nearest watcher that did not fail lately. It fetches large values
// for the given time; if that is not enough, the listing is partial. So it is beside
// an error if large values do not come or take too long, but the rest came.
func (f *Feed) relay(ctx context.Context, after uint64, wait, fetch time.Duration) (fireflypath.Listing, error) {
	now := f.clock.Now()
	for i, w := range f.watchers() {
		if i >= maxAsked {
			break
		}
		if now.Before(f.avoid[w.Name]) {
			continue
		}
		l, larges, err := f.list(ctx, w, after, wait)
		if err == nil {
			err = f.complete(ctx, w, &l, larges, fetch)
		}
		if !usable(err) && !errors.Is(err, errSlow) {
			f.leave(ctx, w, after, f.clock.Since(now), err)
		}
		return f.kept(l, err)
	}
	return fireflypath.Listing{}, errOld
}

// complete adds large values to a listing, or makes it partial.
func (f *Feed) complete(ctx context.Context, w fireflypath.Member, l *fireflypath.Listing, larges []large, fetch time.Duration) error {
	end := f.clock.Now().Add(fetch)
	for _, g := range larges {
		e, err := f.fetch(ctx, w, g, end)
		if err != nil {
			l.Partial = true
			if errors.Is(err, errUnfinished) {
				return nil
			}
			return err
		}
		l.Entries = append(l.Entries, e)
	}
	return nil
}

// list asks a watcher for what changed, page by page, and for the names of large values.
func (f *Feed) list(ctx context.Context, w fireflypath.Member, after uint64, wait time.Duration) (fireflypath.Listing, []large, error) {
	r, err := f.ask(ctx, w, ask{After: after, Wait: wait.Milliseconds(), Parts: true})
	if err != nil {
		return fireflypath.Listing{}, nil, err
	}
	age := time.Duration(r.Age) * time.Millisecond
	if r.Late && f.waits() {
		return fireflypath.Listing{Partial: true}, nil, nil
	}
	// An old view that has something new is of use, but not in place of all that this
	// daemon knows: targets that have left would be back.
	useless := after == 0 || r.Revision == after
	if r.Revision < after || age > f.pace.old && useless {
		return fireflypath.Listing{}, nil, errors.Wrapf(errOld, "%s: %v", w.Name, age)
	}
	f.relayed.Inc(1)
	// The first page's revision and age hold for all: what changes later is followed
	// from there.
	l := fireflypath.Listing{Entries: r.Entries, Revision: r.Revision, Relayed: true, Age: age, Hold: time.Duration(r.Hold) * time.Millisecond}
	larges := r.Large
	for r.More {
		r, err = f.ask(ctx, w, ask{After: after, Parts: true, Above: r.last()})
		if err != nil {
			return fireflypath.Listing{}, nil, err
		}
		l.Entries = append(l.Entries, r.Entries...)
		larges = append(larges, r.Large...)
	}
	return l, larges, nil
}

// waits is true while this daemon's view is young enough to ask the watcher once more,
// and the store after that.
func (f *Feed) waits() bool {
	return f.view.Age() <= time.Duration(latePart*float64(f.force))
}

// ask makes one call to a watcher.
func (f *Feed) ask(ctx context.Context, w fireflypath.Member, a ask) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.Wait)*time.Millisecond+callTime)
	defer cancel()
	var r reply
	if err := f.peers.Call(ctx, w, methodFollow, a, &r); err != nil {
		return reply{}, errors.Wrapf(err, "follow %s", w.Name)
	}
	if r.Compacted {
		return reply{}, fireflypath.ErrCompacted
	}
	return r, nil
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
