// Package follow replicates the contents of the platform's store from a few watching daemons
// to all others.
//
// In each failure domain one daemon, the watcher, watches the store. The other daemons, its
// followers, long-poll the watcher for changes and read from the store themselves only if
// the watcher cannot help. In a large domain a few followers of the watcher, the relays, serve
// all others.
package follow

import (
	"context"
	"maps"
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
	// callTimeout is the time that a call to a watcher may take in addition to its wait.
	// Responses hold one page at most, however much has changed.
	callTimeout = 300 * time.Millisecond
	// slowWatcherFraction is the fraction of the propagation limit up to which a follower
	// polls again a watcher that is still receiving a large response. Of a limit of three
	// seconds it leaves half a second for that call and 0.85 s for the store's own
	// response. Of two seconds, which fleets without slow links use, it leaves no time to
	// wait.
	slowWatcherFraction = 0.55
	// recentViewFraction is the fraction of the propagation limit up to which the view is
	// recent enough to look for another watcher before reading from the store. Daemons
	// that all start at once take the wrong ones for watchers until they know each other.
	recentViewFraction = 0.25
	// recentViewPause is the pause before another watcher is tried.
	recentViewPause = 100 * time.Millisecond
	// unlimitedAge is above the age of any view.
	unlimitedAge = 1 << 62 * time.Nanosecond
	// watcherBackoff is how long a watcher is not called after a failed call.
	watcherBackoff = 2 * time.Second
	// relayBatchDelay is how long a follower in a large domain waits after a change before it
	// polls again, so that changes that come in quick succession cost one message for many.
	relayBatchDelay = 500 * time.Millisecond
	// storeBackoff is how long a daemon that could not reach the store either waits before
	// it calls the store again. In an outage, the watchers poll often enough for all.
	storeBackoff = time.Second
)

// errEndlessListing means that a daemon sends pages that do not continue the listing, or too many.
var errEndlessListing = errors.New("listing does not end")

// errStaleView means that the views of the available watchers are too old.
var errStaleView = errors.New("view of the watcher is too old")

// Peers is the part of the peer endpoint that Feed uses.
type Peers interface {
	Handle(method string, m peer.Handler)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
	// Connected returns the names of the daemons with an open connection.
	Connected() []string
}

// Feed follows the store directly or through a watcher. It implements fireflypath.Feed.
//
// If each daemon watched the store, the number of calls would grow with the fleet and with
// each change: 64 daemons made 230 calls a second. Instead, one daemon of each failure
// domain watches the store and sends the others the changes and the age of its view. The
// age counts from when the request was sent, so that neither differences between the
// clocks of hosts nor network latency can make a view appear newer than it is.
type Feed struct {
	store   fireflypath.Feed
	peers   Peers
	members fireflypath.Members
	self    string
	domain  string
	// propagationLimit is the time within which a change must be in force everywhere.
	propagationLimit time.Duration
	timing           timing
	clock            clockwork.Clock
	view             *directory.Directory
	// backoffUntil is the time until which a watcher is not called, by name, and failureLogged when
	// its last failure was logged. storeFailedAt is when the last call to the store failed. Only the
	// goroutine that calls Follow uses them.
	backoffUntil  map[string]time.Time
	failureLogged map[string]time.Time
	storeFailedAt time.Time
	relayed       tally.Counter
	direct        tally.Counter
	// backoffs counts the watchers that were not called again for a while.
	backoffs tally.Counter
	// fetchedBytes counts the bytes of large values received from watchers.
	fetchedBytes tally.Counter
	log          *zap.Logger

	versions *versionCache
	pages    *pageCache
	// findDomain is nil after the first read.
	findDomain func(context.Context) (int, error)
	// firstReadAt is when the first read began, recordsTook how long findDomain took. started is nil
	// until the first read has succeeded.
	firstReadAt time.Time
	recordsTook time.Duration
	started     atomic.Pointer[Start]
	// adoptMembers may be nil.
	adoptMembers func([]fireflypath.Member)
	// adoptRecords may be nil.
	adoptRecords func([]fireflypath.Entry)
	// tree is the last selection of watchers and relays.
	tree atomic.Pointer[tree]
	// download is the large value being received, or nil. Only the goroutine that calls
	// Follow uses it.
	download *download
}

var _ fireflypath.Feed = (*Feed)(nil)

// New returns the feed of the daemon with the name self in a failure domain. A change must
// be in force everywhere within propagationLimit.
func New(self, domain string, propagationLimit time.Duration, store fireflypath.Feed, peers Peers, members fireflypath.Members,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Feed {
	scope = scope.SubScope("follow")
	return &Feed{
		store: store, peers: peers, members: members, self: self, domain: domain, propagationLimit: propagationLimit, timing: newTiming(propagationLimit), clock: clock,
		backoffUntil: map[string]time.Time{}, failureLogged: map[string]time.Time{},
		relayed: scope.Counter("relayed"), direct: scope.Counter("direct"), backoffs: scope.Counter("left"),
		fetchedBytes: scope.Counter("fetched_bytes"), log: log,
		versions: &versionCache{versions: map[string][]fireflypath.Entry{}}, pages: &pageCache{pages: map[pageID][]byte{}},
	}
}

// Follow implements fireflypath.Feed. A watcher calls the store, and another watcher while the
// store turns it away. A follower calls its sources; if the first of them fails, the store is
// called next, because the others may be unreachable for the same reason.
func (f *Feed) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	if f.IsWatcher() {
		l, err := f.callStore(ctx, prefix, after, wait)
		if isConclusive(err) || ctx.Err() != nil {
			return l, err
		}
		relayed, relayErr := f.followWatcher(ctx, after, min(wait, f.timing.relayTimeout), maxFetchTime)
		if isConclusive(relayErr) {
			return relayed, relayErr
		}
		return l, err
	}
	relayed, err := f.followWatcher(ctx, after, f.holdTime(wait), maxFetchTime)
	if isConclusive(err) || ctx.Err() != nil {
		return relayed, err
	}
	if f.hasRecentView() {
		return fireflypath.Listing{Partial: true, Entries: relayed.Entries, Pause: recentViewPause}, nil
	}
	if f.clock.Since(f.storeFailedAt) >= storeBackoff {
		var l fireflypath.Listing
		l, err = f.callStore(ctx, prefix, after, min(wait, f.timing.relayTimeout))
		if isConclusive(err) {
			return l, err
		}
		f.storeFailedAt = f.clock.Now()
	}
	if relayed.Partial {
		return relayed, nil
	}
	return fireflypath.Listing{}, err
}

// callStore watches the store for changes.
func (f *Feed) callStore(ctx context.Context, prefix string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	f.direct.Inc(1)
	return f.cacheLargeValues(f.store.Follow(ctx, prefix, after, wait))
}

// holdTime returns how long a source may hold a call. With relays a call returns as soon as the
// source's view was confirmed, so that a longer one costs nothing.
func (f *Feed) holdTime(wait time.Duration) time.Duration {
	if len(f.currentTree().relays) > 0 {
		return f.timing.confirmTimeout
	}
	return min(wait, f.timing.relayTimeout)
}

// hasRecentView reports whether the view is recent enough to do without the store. If all
// followers of a relay that fails read from the store, the store's load grows with the fleet, so
// that they try another relay for longer.
func (f *Feed) hasRecentView() bool {
	fraction := recentViewFraction
	if len(f.currentTree().relays) > 0 {
		fraction = slowWatcherFraction
	}
	return f.view.Age() <= time.Duration(fraction*float64(f.propagationLimit))
}

// cacheLargeValues keeps the large values of a listing as bases of later patches.
func (f *Feed) cacheLargeValues(l fireflypath.Listing, err error) (fireflypath.Listing, error) {
	f.versions.addLarge(l.Entries)
	return l, err
}

// isConclusive reports whether the result of a call determines the next step.
func isConclusive(err error) bool {
	return err == nil || errors.Is(err, fireflypath.ErrCompacted)
}

// followWatcher calls the first source that is not backed off. It downloads large values
// for up to fetchTime. If that does not suffice, the listing is partial. The listing is also
// partial if it comes with an error because large values failed to arrive.
func (f *Feed) followWatcher(ctx context.Context, after uint64, wait, fetchTime time.Duration) (fireflypath.Listing, error) {
	startedAt := f.clock.Now()
	for i, w := range f.currentTree().sources {
		if i >= maxWatchersTried {
			break
		}
		if startedAt.Before(f.backoffUntil[w.Name]) {
			continue
		}
		l, largeValues, err := f.listChanges(ctx, w, after, wait)
		if err == nil {
			err = f.addLargeValues(ctx, w, &l, largeValues, fetchTime)
		}
		if !isConclusive(err) && !errors.Is(err, errDownloadTimeout) {
			f.backOff(ctx, w, after, f.clock.Since(startedAt), err)
		}
		return f.cacheLargeValues(l, err)
	}
	return fireflypath.Listing{}, errStaleView
}

// addLargeValues downloads the large values of a listing or marks the listing as partial.
func (f *Feed) addLargeValues(ctx context.Context, w fireflypath.Member, l *fireflypath.Listing, largeValues []largeValue, fetchTime time.Duration) error {
	end := f.clock.Now().Add(fetchTime)
	for _, v := range largeValues {
		e, err := f.fetchLargeValue(ctx, w, v, end)
		if err != nil {
			l.Partial = true
			if errors.Is(err, errIncomplete) {
				return nil
			}
			return err
		}
		l.Entries = append(l.Entries, e)
	}
	return nil
}

// listChanges asks a watcher for changes page by page and returns the names of the large
// values among them.
func (f *Feed) listChanges(ctx context.Context, w fireflypath.Member, after uint64, wait time.Duration) (fireflypath.Listing, []largeValue, error) {
	return f.listFrom(ctx, w, after, wait, false)
}

// listFrom is like listChanges. With anyAge, it takes a view of any age as well, which is confirmed
// only as of that age.
func (f *Feed) listFrom(ctx context.Context, w fireflypath.Member, after uint64, wait time.Duration, anyAge bool) (fireflypath.Listing, []largeValue, error) {
	timeout := callTimeout
	if anyAge {
		timeout = peerViewWait
	}
	req := f.newRequest(after, wait)
	response, err := f.callWatcher(ctx, w, req, timeout)
	if err != nil {
		return fireflypath.Listing{}, nil, err
	}
	if err := f.adoptFrom(response.Members); err != nil {
		return fireflypath.Listing{}, nil, errors.Wrapf(err, "members from %s", w.Name)
	}
	age := time.Duration(response.AgeMillis) * time.Millisecond
	if response.Receiving && !anyAge && f.canAwaitWatcher() {
		return fireflypath.Listing{Partial: true}, nil, nil
	}
	// A stale view with new entries is useful, but it must not replace everything that
	// this daemon knows: targets that have left would return.
	unusable := !anyAge && (after == 0 || response.Revision == after)
	// A source that lags behind this daemon would take back what it knows: a target that leaves would
	// get work again.
	isBehind := response.Revision < max(after, f.view.Revision())
	if isBehind || age > f.maxAgeOf(w) && unusable {
		return fireflypath.Listing{}, nil, errors.Wrapf(errStaleView, "%s: %v", w.Name, age)
	}
	f.relayed.Inc(1)
	// The revision and age of the first page hold for all pages. Later changes are
	// followed from there.
	held := time.Duration(response.HeldMillis) * time.Millisecond
	l := fireflypath.Listing{Entries: response.Entries, Revision: response.Revision, Relayed: true, Age: age - held, LapseWindow: time.Duration(response.LapseMillis) * time.Millisecond}
	if len(f.currentTree().relays) > 0 {
		l.Pause = relayBatchDelay
	}
	largeValues := response.LargeValues
	for pages := 1; response.HasMore; pages++ {
		last := response.lastRevision()
		response, err = f.callWatcher(ctx, w, followRequest{After: after, FetchesLarge: true, AcceptsPacked: true, WantsRemoved: req.WantsRemoved, PageAfter: last}, timeout)
		if err != nil {
			return fireflypath.Listing{}, nil, err
		}
		// A daemon that has started again may have an earlier view. What only the first page's view has
		// would be missing for good, as changes are followed from there. Pages from after the store was
		// restored would not be merged with what this daemon knows.
		if response.Revision < l.Revision || fireflypath.RevisionEra(response.Revision) != fireflypath.RevisionEra(l.Revision) {
			return fireflypath.Listing{}, nil, errors.Wrapf(errStaleView, "%s: page %d is of revision %d after %d", w.Name, pages+1, response.Revision, l.Revision)
		}
		// A daemon that repeats a page, or never ends, would fill the memory of this one.
		if pages >= maxPages || response.lastRevision() <= last {
			return fireflypath.Listing{}, nil, errors.Wrapf(errEndlessListing, "%s: page %d", w.Name, pages+1)
		}
		l.Entries = append(l.Entries, response.Entries...)
		largeValues = append(largeValues, response.LargeValues...)
	}
	return l, largeValues, nil
}

// canAwaitWatcher reports whether this daemon's view is recent enough to poll the watcher
// once more and still read from the store after that.
func (f *Feed) canAwaitWatcher() bool {
	return f.view.Age() <= time.Duration(slowWatcherFraction*float64(f.propagationLimit))
}

// newRequest returns the request for changes after a revision.
func (f *Feed) newRequest(after uint64, wait time.Duration) followRequest {
	req := followRequest{After: after, WaitMillis: wait.Milliseconds(), FetchesLarge: true, AcceptsPacked: true}
	req.WantsRemoved = after == 0 && !f.hasView()
	req.WantsMembers = req.WantsRemoved && f.adoptMembers != nil
	if after != 0 && len(f.currentTree().relays) > 0 {
		req.KnownAgeMillis = f.view.Age().Milliseconds()
	}
	return req
}

// maxAgeOf returns the age from which the view of a source is stale.
func (f *Feed) maxAgeOf(source fireflypath.Member) time.Duration {
	if f.currentTree().isRelay(source.Name) {
		return f.timing.maxRelayAge
	}
	return f.timing.maxViewAge
}

// callWatcher makes one call to a watcher. It may take timeout in addition to its wait.
func (f *Feed) callWatcher(ctx context.Context, w fireflypath.Member, req followRequest, timeout time.Duration) (followResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMillis)*time.Millisecond+timeout)
	defer cancel()
	var r followResponse
	if err := f.peers.Call(ctx, w, methodFollow, req, &r); err != nil {
		return followResponse{}, errors.Wrapf(err, "follow %s", w.Name)
	}
	if r.Compacted {
		return followResponse{}, fireflypath.ErrCompacted
	}
	if err := r.unpack(); err != nil {
		return followResponse{}, errors.Wrapf(err, "page from %s", w.Name)
	}
	return r, nil
}

// backOff stops calls to a watcher for watcherBackoff, or for startBackoff while this daemon has no
// view. The log line distinguishes a watcher that is unreachable from one whose response was late. There
// is at most one line per watcher and watcherBackoff.
func (f *Feed) backOff(ctx context.Context, w fireflypath.Member, after uint64, took time.Duration, err error) {
	now, period := f.clock.Now(), watcherBackoff
	if !f.hasView() {
		period = startBackoff
	}
	f.backoffUntil[w.Name] = now.Add(period)
	if ctx.Err() != nil {
		return
	}
	f.backoffs.Inc(1)
	if last, ok := f.failureLogged[w.Name]; ok && now.Sub(last) < watcherBackoff {
		return
	}
	maps.DeleteFunc(f.failureLogged, func(_ string, at time.Time) bool { return now.Sub(at) >= watcherBackoff })
	f.failureLogged[w.Name] = now
	f.log.Info("watcher failed to deliver changes", zap.String("watcher", w.Name), zap.Uint64("after", after),
		zap.Duration("took", took), logs.Err(err))
}

// maxWatchersTried limits the watchers that one call considers. It calls the first of them
// that is not backed off.
const maxWatchersTried = 3
