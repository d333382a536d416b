package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// relayStartWait and minStartWait are how long a relay and another daemon that starts in a
	// large failure domain wait for their sources, before they read everything from the store.
	// Up to as much again is added by name, so that not all read at once. startRetryPause is the
	// pause between attempts.
	relayStartWait  = time.Second
	minStartWait    = 3 * time.Second
	startRetryPause = 100 * time.Millisecond
	// A daemon that starts asks maxPeersAsked others for their view. peerConnectWait is how long it
	// waits for those that it has no connection to, and for further views once it has one;
	// peerViewWait is how long it waits for a connected one. peerPollInterval is how often it looks
	// for others while it knows none.
	peerConnectWait  = 250 * time.Millisecond
	peerViewWait     = time.Second
	peerPollInterval = 10 * time.Millisecond
	maxPeersAsked    = 3
	// minHeadStart and maxHeadStart limit how long the first read waits for another daemon to accept a
	// connection before it also reads from the store: as long as the store took to list the daemons of the
	// failure domain, since that is the time of a connection and a call from this host. One whose host
	// has no power yet does not answer at all.
	minHeadStart = 10 * time.Millisecond
	maxHeadStart = 50 * time.Millisecond
	// connectedHeadStart replaces it once the other daemon has accepted the connection: it allows for
	// the first page on a slow link.
	connectedHeadStart = 100 * time.Millisecond
	// startBackoff is how long a daemon that has no view does not call a source after a failed call.
	startBackoff = 100 * time.Millisecond
)

// sourceStore is the name of the store as the origin of the first view.
const sourceStore = "store"

// Start describes the first read of a daemon.
type Start struct {
	// Records is how long it took to find the daemons of the failure domain in the store, View how
	// long the whole read took.
	Records, View time.Duration
	// Source is the daemon that the view came from, "another daemon" if its name is not known, or
	// "store".
	Source string
}

// Start returns how the first read went, or false while it has not succeeded.
func (f *Feed) Start() (Start, bool) {
	s := f.started.Load()
	if s == nil {
		return Start{}, false
	}
	return *s, true
}

// recordStart records that the first read has succeeded.
func (f *Feed) recordStart(source string) {
	if f.started.Load() == nil {
		f.started.Store(&Start{Records: f.recordsTook, View: f.clock.Since(f.firstReadAt), Source: source})
	}
}

// OnRecords sets the function that adopts the daemons that have a record among the entries of the store,
// so that they can be asked for their view at the start. It must be called before the first Snapshot.
func (f *Feed) OnRecords(adopt func([]fireflypath.Entry)) { f.adoptRecords = adopt }

// OnMembers sets the function that adopts the daemons that a source knows, if the first view comes from
// it. It must be called before the first Snapshot.
func (f *Feed) OnMembers(adopt func([]fireflypath.Member)) { f.adoptMembers = adopt }

// OnStart sets the function that finds the daemons of this failure domain in the store before the
// first read, and returns their number. It must be called before the first Snapshot.
func (f *Feed) OnStart(findDomain func(context.Context) (int, error)) { f.findDomain = findDomain }

// Snapshot implements fireflypath.Feed.
func (f *Feed) Snapshot(ctx context.Context, prefix string) (fireflypath.Listing, error) {
	calledAt := f.clock.Now()
	if f.firstReadAt.IsZero() {
		f.firstReadAt = calledAt
	}
	if f.findDomain != nil {
		if l, ok := f.firstSnapshot(ctx, calledAt); ok {
			return l, nil
		}
	}
	if !f.hasView() {
		return f.startSnapshot(ctx, prefix, calledAt)
	}
	if !f.IsWatcher() {
		l, err := f.snapshotFromSource(ctx, calledAt)
		if err == nil && !l.Partial {
			return l, nil
		}
	}
	return f.snapshotFromStore(ctx, prefix, calledAt)
}

// snapshotFromStore reads everything from the store.
func (f *Feed) snapshotFromStore(ctx context.Context, prefix string, calledAt time.Time) (fireflypath.Listing, error) {
	f.direct.Inc(1)
	waited := f.clock.Since(calledAt)
	l, err := f.cacheLargeValues(f.store.Snapshot(ctx, prefix))
	l.Age -= waited
	return l, err
}

// hasView reports whether this daemon has read everything once.
func (f *Feed) hasView() bool { return f.view.Current().Generation > 0 }

// startSnapshot reads everything for a daemon without a view. A view of the store is current only if the
// store was never restored from an older copy, as one that names no era. Otherwise other daemons are
// asked whether they know more.
func (f *Feed) startSnapshot(ctx context.Context, prefix string, calledAt time.Time) (fireflypath.Listing, error) {
	l, source, err := f.readFromFirst(ctx, prefix, calledAt)
	if err != nil {
		return l, err
	}
	if source == sourceStore && f.adoptRecords != nil {
		f.adoptRecords(l.Entries)
		if fireflypath.RevisionEra(l.Revision) != 0 {
			f.awaitPeer(ctx)
			if seen, from, ok := f.snapshotFromPeer(ctx, calledAt); ok {
				l, source = seen, from
			}
		}
	}
	f.recordStart(source)
	return l, nil
}

// readFromFirst reads everything from the first source, or from the store if the source has not
// answered within its head start, and returns the one that was faster. When all hosts regain power
// together, most daemons start before the one that they follow.
func (f *Feed) readFromFirst(ctx context.Context, prefix string, calledAt time.Time) (fireflypath.Listing, string, error) {
	source, ok := f.availableSource()
	if ok && !f.IsWatcher() {
		return f.raceStore(ctx, prefix, source, calledAt)
	}
	l, err := f.snapshotFromStore(ctx, prefix, calledAt)
	if err == nil || !ok || ctx.Err() != nil {
		return l, sourceStore, err
	}
	// The store turns this daemon away, but perhaps not the other watchers.
	relayed, relayErr := f.snapshotFromSource(ctx, calledAt)
	if relayErr == nil && !relayed.Partial {
		return relayed, source.Name, nil
	}
	return l, sourceStore, err
}

// raceStore reads everything from a source, and from the store as well unless the source answers within
// its head start.
func (f *Feed) raceStore(ctx context.Context, prefix string, source fireflypath.Member, calledAt time.Time) (fireflypath.Listing, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fromSource, fromStore := make(chan peerListing, 1), make(chan peerListing, 1)
	askedAt := f.clock.Now()
	go func() {
		l, large, err := f.listFrom(ctx, source, 0, 0, false)
		fromSource <- peerListing{Listing: l, from: source, largeValues: large, err: err}
	}()
	askStore := sync.OnceFunc(func() {
		go func() {
			l, err := f.snapshotFromStore(ctx, prefix, calledAt)
			fromStore <- peerListing{Listing: l, err: err}
		}()
	})
	wait := min(max(f.recordsTook, minHeadStart), maxHeadStart)
	headStart := f.clock.After(wait)
	extended := false
	var failures error
	for results := 0; results < 2; {
		select {
		case r := <-fromSource:
			results++
			l, err := f.completeListing(ctx, r, askedAt, calledAt)
			if err == nil {
				return l, source.Name, nil
			}
			failures = errors.CombineErrors(failures, err)
			askStore()
		case r := <-fromStore:
			results++
			if r.err == nil {
				return r.Listing, sourceStore, nil
			}
			failures = errors.CombineErrors(r.err, failures)
		case <-headStart:
			if !extended && f.anyConnected(map[string]bool{source.Name: true}) {
				extended, headStart = true, f.clock.After(connectedHeadStart-wait)
				continue
			}
			askStore()
		}
	}
	return fireflypath.Listing{}, sourceStore, failures
}

// errPartialView means that large values of a view are still missing.
var errPartialView = errors.New("large values are still missing")

// completeListing adds the large values to the listing of a source. askedAt is when the source was asked.
func (f *Feed) completeListing(ctx context.Context, r peerListing, askedAt, calledAt time.Time) (fireflypath.Listing, error) {
	l, err := r.Listing, r.err
	if err == nil {
		err = f.addLargeValues(ctx, r.from, &l, r.largeValues, maxDownloadTime)
	}
	if !isConclusive(err) && !errors.Is(err, errDownloadTimeout) {
		f.backOff(ctx, r.from, 0, f.clock.Since(askedAt), err)
	}
	if err == nil && l.Partial {
		err = errPartialView
	}
	l.Age -= askedAt.Sub(calledAt)
	return f.cacheLargeValues(l, err)
}

// availableSource returns the first source that is not backed off.
func (f *Feed) availableSource() (fireflypath.Member, bool) {
	now := f.clock.Now()
	sources := f.currentTree().sources
	for _, w := range sources[:min(len(sources), maxWatchersTried)] {
		if !now.Before(f.backoffUntil[w.Name]) {
			return w, true
		}
	}
	return fireflypath.Member{}, false
}

// awaitPeer waits up to peerConnectWait until another daemon is known. A store that was restored lacks
// the records of the other daemons until these write them again. Without the wait, a daemon that started
// meanwhile would find nobody to ask, a moment before it joins the others.
func (f *Feed) awaitPeer(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.clock, peerConnectWait)
	defer cancel()
	poll := f.clock.NewTicker(peerPollInterval)
	defer poll.Stop()
	for len(f.startPeers()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.Chan():
		}
	}
}

// snapshotFromSource reads everything from another daemon. The age of a listing counts from the
// call of Snapshot, from which the time before the request is taken off.
func (f *Feed) snapshotFromSource(ctx context.Context, calledAt time.Time) (fireflypath.Listing, error) {
	waited := f.clock.Since(calledAt)
	l, err := f.followWatcher(ctx, 0, 0, maxDownloadTime)
	l.Age -= waited
	return l, err
}

// snapshotFromPeer reads everything from a daemon that has a view. A daemon that starts knows only
// what the store has now, and a store that was restored from an older copy may lack a configuration
// that the others have in force, with keys that it revoked. Peers that start as well have no view and
// say so; that of the others may be old, as after an outage of the store. The newest is used first, and
// changes are followed from there: if the store has been restored since, it is read again and merged.
func (f *Feed) snapshotFromPeer(ctx context.Context, calledAt time.Time) (l fireflypath.Listing, from string, ok bool) {
	waited := f.clock.Since(calledAt)
	views := f.viewsOfPeers(ctx, f.startPeers())
	slices.SortFunc(views, func(a, b peerListing) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, v := range views {
		err := f.addLargeValues(ctx, v.from, &v.Listing, v.largeValues, maxDownloadTime)
		if err != nil || v.Partial {
			f.log.Info("peer failed to deliver its view", zap.String("peer", v.from.Name), zap.Uint64("revision", v.Revision), logs.Err(err))
			continue
		}
		v.Age -= waited
		f.versions.addLarge(v.Entries)
		return v.Listing, v.from.Name, true
	}
	return fireflypath.Listing{}, "", false
}

// viewsOfPeers returns the views of those peers that have one, without their large values.
func (f *Feed) viewsOfPeers(ctx context.Context, peers []fireflypath.Member) []peerListing {
	ctx, cancel := context.WithTimeout(ctx, peerViewWait)
	defer cancel()
	results := make(chan peerListing, len(peers))
	for _, m := range peers {
		go func() {
			l, large, err := f.listFrom(ctx, m, 0, 0, true)
			results <- peerListing{Listing: l, from: m, largeValues: large, err: err}
		}()
	}
	var views []peerListing
	pending := map[string]bool{}
	for _, m := range peers {
		pending[m.Name] = true
	}
	connectWait := f.clock.After(peerConnectWait)
	for len(pending) > 0 {
		select {
		case r := <-results:
			delete(pending, r.from.Name)
			if r.err == nil && r.Revision > 0 {
				views = append(views, r)
			}
		case <-connectWait:
			if len(views) > 0 || !f.anyConnected(pending) {
				return views
			}
		case <-ctx.Done():
			return views
		}
	}
	return views
}

// anyConnected reports whether there is an open connection to one of the daemons.
func (f *Feed) anyConnected(names map[string]bool) bool {
	return slices.ContainsFunc(f.peers.Connected(), func(name string) bool { return names[name] })
}

// peerListing is the view of a peer, of which large values are fetched from it.
type peerListing struct {
	fireflypath.Listing
	from        fireflypath.Member
	largeValues []largeValue
	// err is set if the peer gave no view.
	err error
}

// startPeers returns the daemons that are asked for their view at the start.
func (f *Feed) startPeers() []fireflypath.Member {
	var out []fireflypath.Member
	for _, m := range f.members.Live() {
		if m.Name != f.self && !m.Leaving {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int {
		return cmp.Compare(dutyHash(f.self+a.Name), dutyHash(f.self+b.Name))
	})
	return out[:min(len(out), maxPeersAsked)]
}

// firstSnapshot reads everything from another daemon of a large failure domain. If all daemons of
// a fleet that starts again read everything from the store, its link carries the square of the
// fleet and callers are refused for that time.
//
// The watcher reads from the store, the others wait until their source has a view. In a small
// domain, or if that takes too long, it reports false.
func (f *Feed) firstSnapshot(ctx context.Context, calledAt time.Time) (fireflypath.Listing, bool) {
	n, err := f.findDomain(ctx)
	f.findDomain = nil
	f.recordsTook = f.clock.Since(calledAt)
	if err != nil || n <= maxDirectFollowers || !f.timing.relaysAllowed {
		return fireflypath.Listing{}, false
	}
	startedAt := f.clock.Now()
	for ctx.Err() == nil && !f.IsWatcher() && f.clock.Since(startedAt) < f.startWait() {
		l, err := f.snapshotFromSource(ctx, calledAt)
		if err == nil && !l.Partial {
			f.recordStart("another daemon")
			return l, true
		}
		f.clock.Sleep(startRetryPause)
	}
	return fireflypath.Listing{}, false
}

// startWait returns how long this daemon waits for its sources after its start.
func (f *Feed) startWait() time.Duration {
	wait := minStartWait
	if f.currentTree().isRelay(f.self) {
		wait = relayStartWait
	}
	return wait + time.Duration(dutyHash(f.self)%uint64(wait))
}
