// Package directory maintains a view of the configuration and the targets in the platform's
// store.
package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	"github.com/fireflypath/fireflypath/internal/decide/rollout"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// defaultWatchTimeout is how long the store holds one watch unless SetWatchTimeout is
	// called. Each watch that ends without a change confirms that the view is current, so
	// that the age of the view stays below twice this time.
	defaultWatchTimeout = 750 * time.Millisecond
	// minRetryDelay and maxRetryDelay are the pauses after failed calls. maxRetryDelay
	// limits how late the daemon notices that the store is available again.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// responseMargin is the longest time that a response of the store takes in normal
	// operation.
	responseMargin = 250 * time.Millisecond
	// batchDelay is how long a watching daemon waits after a change before the next watch.
	// Changes come in groups, for example when a fleet starts. Without the delay, each
	// change cost one call for each watcher.
	batchDelay = 120 * time.Millisecond
	// startupDelay is the pause after a read of all keys. A daemon that starts learns
	// during this time which daemon watches the store, and does not watch it itself.
	startupDelay = 500 * time.Millisecond
	// ReregistrationTime is how long after an outage of the store a target may take to
	// register again if its registration lapsed during the outage. Live targets are back
	// within about two seconds.
	ReregistrationTime = 2100 * time.Millisecond
	// defaultRenewalInterval is how often targets renew their registrations unless
	// SetRenewalInterval is called.
	defaultRenewalInterval = 1200 * time.Millisecond
	// lapseIntervals is how many intervals the store has to be out of reach, at least, for the
	// registration of a live target to lapse: three after the last renewal, which was up to one
	// before the outage.
	lapseIntervals = 2
)

// Directory keeps the newest configuration and targets and the age of this view. It
// implements fireflypath.Configs and fireflypath.Freshness.
//
// A watch without a response does not confirm the view: the store may have dropped its
// history, or the connection may be dead. Only a response with the view's own revision
// confirms that nothing has changed up to that response.
type Directory struct {
	feed      fireflypath.Feed
	codec     fireflypath.Codec
	clock     clockwork.Clock
	bootClock boottime.Clock
	log       *zap.Logger
	metrics   metrics

	current atomic.Pointer[fireflypath.Config]
	// confirmedAt is the last time at which the view is known to have been current, in
	// nanoseconds of bootClock, or 0 before the first view.
	confirmedAt atomic.Int64
	// refusedAt is when a newer configuration than the one in force was first refused because it
	// cannot be decoded, in nanoseconds of bootClock, or 0 if there is none. Such a configuration may
	// take keys away.
	refusedAt atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
	// updated is closed when there are changes for followers or the view was confirmed.
	updated chan struct{}
	// revision is the store's revision that the view represents, or 0 before the first
	// read. Only Run changes it.
	revision uint64
	// relevantRevision is the revision of the last change for followers.
	relevantRevision uint64
	// compactedTo is the revision up to which removed keys are unknown. latest holds the
	// newest entry of each key since then, including removed keys.
	compactedTo uint64
	latest      map[string]fireflypath.Entry

	// subscriber receives the changes of keys with the prefix subscribedPrefix.
	subscribedPrefix string
	subscriber       func(fireflypath.Entry)

	// restoreSubscriber receives what daemons have written and a restored store lacks; it may be nil.
	restoreSubscriber func([]LostEntry)

	// rolloutCodec is nil if the platform has no roll-outs.
	rolloutCodec fireflypath.RolloutCodec
	// recordReader receives the entries with the prefix recordPrefix at each read of all keys.
	recordPrefix string
	recordReader func([]fireflypath.Entry)

	// Only Run uses the fields below.
	// rollouts holds what is known of roll-outs, rolloutKeys the keys that it comes from.
	// rolloutsChanged is true if it has changed since the view was published.
	rolloutsChanged bool
	rollouts        *rollout.Versions
	rolloutKeys     map[string]bool
	// subscribedKeys holds the existing keys with the prefix subscribedPrefix.
	subscribedKeys map[string]bool
	// needsRead is true if changes may be missing from the view.
	needsRead bool
	// configRevision is the revision of the configuration in force. It never decreases.
	configRevision uint64
	// refusedRevision is the revision of the last configuration that could not be decoded.
	refusedRevision uint64
	config          *fireflypath.Config
	// configValue is the value that config was decoded from, publishedConfig the configuration of the
	// view in force.
	configValue     []byte
	publishedConfig *fireflypath.Config
	targets         *targetSet
	// rejected holds the reason why a registration was rejected, by target, so that it is
	// logged once and not with each read.
	rejected map[string]string
	// incarnations holds the newest incarnation of each target, including removed targets.
	incarnations map[string]targetIncarnation
	// prunedAt is when incarnations of removed targets were last dropped.
	prunedAt time.Time
	// changedTargets and removedTargets are not logged yet.
	changedTargets, removedTargets []string
	// missingSince holds when targets that may register again went missing.
	missingSince map[string]time.Time
	// pause is how long Run waits after the last step.
	pause time.Duration
	// watchTimeout is how long a watch is held.
	watchTimeout time.Duration
	// outdated holds the entries of a restored store that are older than the view, as the revision of
	// each key.
	outdated map[string]uint64
	// ordersToRewrite holds the keys of roll-out orders that a restored store lacked, with the
	// revision at which it was read.
	ordersToRewrite map[string]uint64
	// confirmableAt is when the view can be confirmed again after the store was restored, as a time
	// of bootClock.
	confirmableAt time.Duration
	// storeDown is true while calls to the store fail.
	storeDown bool
	// lapsesUntil is the time until which a removal may be a registration that lapsed
	// during an outage of the store.
	lapsesUntil time.Time
	// lapseTime is the shortest outage of the store in which registrations lapse.
	lapseTime time.Duration
}

type metrics struct {
	watches, reads, failures, changes, rejected tally.Counter
	age, targets                                tally.Gauge
}

var (
	_ fireflypath.Configs   = (*Directory)(nil)
	_ fireflypath.Freshness = (*Directory)(nil)
)

// New returns a directory with an empty configuration.
func New(feed fireflypath.Feed, codec fireflypath.Codec, clock clockwork.Clock, boot boottime.Clock,
	scope tally.Scope, log *zap.Logger,
) *Directory {
	scope = scope.SubScope("directory")
	d := &Directory{
		feed: feed, codec: codec, clock: clock, bootClock: boot, log: log,
		changed: make(chan struct{}), updated: make(chan struct{}),
		latest:         map[string]fireflypath.Entry{},
		config:         &fireflypath.Config{},
		targets:        newTargetSet(),
		rejected:       map[string]string{},
		subscribedKeys: map[string]bool{},
		incarnations:   map[string]targetIncarnation{},
		missingSince:   map[string]time.Time{},
		rollouts:       rollout.New(),
		rolloutKeys:    map[string]bool{},
		outdated:       map[string]uint64{},

		ordersToRewrite: map[string]uint64{},
		watchTimeout:    defaultWatchTimeout,
		lapseTime:       lapseIntervals * defaultRenewalInterval,
		metrics: metrics{
			watches: scope.Counter("watches"), reads: scope.Counter("reads"),
			failures: scope.Counter("failures"), changes: scope.Counter("changes"),
			rejected: scope.Counter("unused_registrations"),
			age:      scope.Gauge("age_seconds"), targets: scope.Gauge("targets"),
		},
	}
	d.rolloutCodec, _ = codec.(fireflypath.RolloutCodec)
	d.current.Store(d.config)
	d.publishedConfig = d.config
	return d
}

// SetWatchTimeout sets how long a watch is held. It must be called before Run.
func (d *Directory) SetWatchTimeout(wait time.Duration) {
	d.watchTimeout = wait
}

// SetRenewalInterval sets how often targets renew their registrations. It must be called before Run.
func (d *Directory) SetRenewalInterval(interval time.Duration) {
	d.lapseTime = lapseIntervals * interval
}

// OnChange registers a function that is called for each change of a key with the prefix,
// including removals. It must be called before Run.
func (d *Directory) OnChange(prefix string, fn func(fireflypath.Entry)) {
	d.subscribedPrefix, d.subscriber = prefix, fn
}

// OnRead registers a function that is called at each read of all keys with the entries whose
// keys have the prefix. It must be called before Run.
func (d *Directory) OnRead(prefix string, fn func([]fireflypath.Entry)) {
	d.recordPrefix, d.recordReader = prefix, fn
}

// Current returns the configuration in force with the currently known targets.
func (d *Directory) Current() *fireflypath.Config {
	return d.current.Load()
}

// Changed returns a channel that is closed when a newer generation than the given one is in
// force.
func (d *Directory) Changed(generation uint64) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Load().Generation > generation {
		closedChannel := make(chan struct{})
		close(closedChannel)
		return closedChannel
	}
	return d.changed
}

// noViewAge is the age reported before the first view.
const noViewAge = 1000 * time.Hour

// Age returns an upper bound of the time since the view was current.
func (d *Directory) Age() time.Duration {
	at := d.confirmedAt.Load()
	if at == 0 {
		return noViewAge
	}
	return d.bootClock.Elapsed() - time.Duration(at)
}

// ConfigAge implements fireflypath.Freshness.
func (d *Directory) ConfigAge() time.Duration {
	age := d.Age()
	if refusedAt := d.refusedAt.Load(); refusedAt != 0 {
		return max(age, d.bootClock.Elapsed()-time.Duration(refusedAt))
	}
	return age
}

// Run follows the store until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	pause := minRetryDelay
	for ctx.Err() == nil {
		err := d.Step(ctx)
		d.metrics.age.Update(d.Age().Seconds())
		switch {
		case err != nil:
			d.sleep(ctx, pause)
			pause = min(2*pause, maxRetryDelay)
		default:
			d.sleep(ctx, d.pause)
			pause = minRetryDelay
		}
	}
	return ctx.Err()
}

func (d *Directory) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-d.clock.After(pause):
	}
}

// Step makes one call to the store: a read of all keys or one watch.
func (d *Directory) Step(ctx context.Context) error {
	sentAt := d.bootClock.Elapsed()
	d.removeExpired(d.clock.Now())
	d.pruneIncarnations(d.clock.Now())
	d.pause = 0
	var err error
	if d.revision == 0 || d.needsRead {
		err = d.read(ctx, sentAt)
	} else {
		err = d.watch(ctx, sentAt)
	}
	if err == nil {
		d.storeRecovered()
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	d.metrics.failures.Inc(1)
	if errors.Is(err, fireflypath.ErrCompacted) {
		// Changes may be missing from the view, so all keys are read again.
		d.log.Info("changes cannot be followed, reading all keys", logs.Err(err), zap.Uint64("revision", d.revision))
		d.scheduleRead()
		return nil
	}
	if !d.storeDown {
		d.storeDown = true
		d.log.Warn("store unreachable", logs.Err(err), zap.Duration("age", d.Age()))
	}
	return err
}

// storeRecovered ends an outage of the store.
func (d *Directory) storeRecovered() {
	if !d.storeDown {
		return
	}
	d.storeDown = false
	d.mu.Lock()
	d.lapsesUntil = d.clock.Now().Add(ReregistrationTime)
	d.mu.Unlock()
	d.log.Info("store reachable again", zap.Uint64("revision", d.revision))
}

// confirm records that the view was current at the given time.
func (d *Directory) confirm(at time.Duration) {
	if at < d.confirmableAt {
		return
	}
	if n := max(int64(at), 1); n > d.confirmedAt.Load() {
		d.confirmedAt.Store(n)
	}
}
