package follow

import (
	"cmp"
	"context"
	"slices"
	"time"

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
)

// OnRecords sets the function that adopts the daemons that have a record among the entries of the store,
// so that they can be asked for their view at the start. It must be called before the first Snapshot.
func (f *Feed) OnRecords(adopt func([]fireflypath.Entry)) { f.adoptRecords = adopt }

// OnStart sets the function that finds the daemons of this failure domain in the store before the
// first read, and returns their number. It must be called before the first Snapshot.
func (f *Feed) OnStart(findDomain func(context.Context) (int, error)) { f.findDomain = findDomain }

// Snapshot implements fireflypath.Feed.
func (f *Feed) Snapshot(ctx context.Context, prefix string) (fireflypath.Listing, error) {
	calledAt := f.clock.Now()
	if f.findDomain != nil {
		if l, ok := f.firstSnapshot(ctx, calledAt); ok {
			return l, nil
		}
	}
	if !f.IsWatcher() {
		l, err := f.snapshotFromSource(ctx, calledAt)
		if err == nil && !l.Partial {
			return l, nil
		}
	}
	f.direct.Inc(1)
	waited := f.clock.Since(calledAt)
	l, err := f.cacheLargeValues(f.store.Snapshot(ctx, prefix))
	l.Age -= waited
	if err == nil && f.adoptRecords != nil && f.view.Current().Generation == 0 {
		f.adoptRecords(l.Entries)
		f.awaitPeer(ctx, l)
		if seen, ok := f.snapshotFromPeer(ctx, calledAt); ok {
			return seen, nil
		}
	}
	return l, err
}

// awaitPeer waits up to peerConnectWait until another daemon is known, if the store names eras. After
// a restore, it lacks the records of the other daemons until these write them again. Without the wait,
// a daemon that started meanwhile would find nobody to ask, a moment before it joins the others.
func (f *Feed) awaitPeer(ctx context.Context, l fireflypath.Listing) {
	if fireflypath.RevisionEra(l.Revision) == 0 {
		return
	}
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
func (f *Feed) snapshotFromPeer(ctx context.Context, calledAt time.Time) (fireflypath.Listing, bool) {
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
		return v.Listing, true
	}
	return fireflypath.Listing{}, false
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
	if err != nil || n <= maxDirectFollowers || !f.timing.relaysAllowed {
		return fireflypath.Listing{}, false
	}
	startedAt := f.clock.Now()
	for ctx.Err() == nil && !f.IsWatcher() && f.clock.Since(startedAt) < f.startWait() {
		l, err := f.snapshotFromSource(ctx, calledAt)
		if err == nil && !l.Partial {
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
