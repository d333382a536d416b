// Package quotas enforces team quotas in fleets that are too large for every daemon to
// receive all usage.
//
// A few daemons are coordinators. Each team's token bucket lives at one of them. The
// other daemons report usage and demand to it and receive grants in return.
package quotas

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/coordinator"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
	"github.com/fireflypath/fireflypath/internal/peer"
)

const (
	methodReport = "report"
	// reportInterval is the time between two reports. Usage above a team's quota goes
	// unnoticed for that long; the quota tolerance covers it.
	reportInterval = 300 * time.Millisecond
	// decreaseReportInterval is the time between reports that only lower the demand of
	// teams. The coordinator counts the higher demand for that much longer. A second
	// report still fits in before the grants expire after grantTTL.
	decreaseReportInterval = 900 * time.Millisecond
	// reportTimeout bounds one report call.
	reportTimeout = 250 * time.Millisecond
	// healthyFill is the fill of a team's bucket above which daemons admit all of the
	// team's requests. Each of many daemons sees few, large requests of a team. Fixed
	// fractions of the rate would refuse many of them although the team is far below
	// its quota.
	healthyFill = 0.3
	// detectionDelay is how long daemons take to learn that a bucket is no longer well
	// filled: two reports. The bucket has to cover the demand of that time. Otherwise
	// a team that sends several times its quota would get that much again on top.
	detectionDelay = 2 * reportInterval
	// repaymentPeriod is the time over which usage above a quota is paid back.
	// minRateFraction is the fraction of the rate that remains available meanwhile.
	repaymentPeriod = 4 * time.Second
	minRateFraction = 0.2
	// grantTTL is how long a grant is valid. It outlasts a few failed reports.
	grantTTL = 1500 * time.Millisecond
	// demandHeadroom is the factor by which a daemon requests more than its demand, so
	// that growing demand is not refused before the next report.
	demandHeadroom = 1.3
	// daemonsPerCoordinator is how many daemons one coordinator serves. Each of them
	// sends about three reports a second.
	daemonsPerCoordinator = 100
)

// Peers registers methods for calls from other daemons and makes such calls.
type Peers interface {
	Handle(method string, m peer.Handler)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Limits holds this daemon's copies of the quota buckets.
type Limits interface {
	// Quota returns the quota of a team, or nil if it has none.
	Quota(team string) *fireflypath.Quota
	// TakeUsage returns each team's usage since the last call and its demand per second.
	TakeUsage(now time.Time) map[string]TeamUsage
	// SetUnlimitedTiers admits all requests of the team's highest tiers until the given time.
	SetUnlimitedTiers(now time.Time, team string, tiers int, until time.Time)
	// SetFraction sets the fraction of the team's quota that this daemon may grant.
	SetFraction(now time.Time, team string, fraction float64)
}

// TeamUsage is a team's usage since the last report, in units, and its demand, in units
// per second.
type TeamUsage struct {
	Used   int64  `json:"u,omitempty"`
	Demand Demand `json:"d"`
	// Level is the bucket level that the coordinator returned last. A new coordinator
	// continues from it.
	Level int64 `json:"l,omitempty"`
}

// Tiers is the number of a team's tiers that quotas distinguish. Lower tiers are
// counted with the last one.
const Tiers = 4

// Demand is a team's demand per second, by tier.
type Demand [Tiers]int64

// fromTier sums the demand of a tier and all lower ones.
func (d Demand) fromTier(tier int) int64 {
	sum := int64(0)
	for _, n := range d[tier:] {
		sum += n
	}
	return sum
}

// Grant is a coordinator's answer to a daemon about one team.
type Grant struct {
	// UnlimitedTiers is the number of the highest tiers whose requests are all
	// admitted. It covers all tiers while the quota's bucket is well filled.
	UnlimitedTiers int   `json:"f,omitempty"`
	Level          int64 `json:"l,omitempty"`
	// Rate is what the daemon may grant to the other tiers, in units per second.
	Rate float64 `json:"r,omitempty"`
}

type reportRequest struct {
	reportID
	Teams map[string]TeamUsage `json:"t"`
}

// reportID distinguishes a resent report from a new one. Epoch is drawn at random at
// each start of the reporter. Sequence grows with each report to a coordinator.
type reportID struct {
	Epoch    uint64 `json:"i,omitempty"`
	Sequence uint64 `json:"n,omitempty"`
}

type reportResponse struct {
	Teams map[string]Grant `json:"t"`
}

// Quotas reports usage to the coordinators. It acts as a coordinator itself while the
// hash of this daemon's name is among the lowest.
type Quotas struct {
	self          string
	peers         Peers
	members       fireflypath.Members
	limits        Limits
	tolerance     quota.Tolerance
	clock         clockwork.Clock
	reportsSent   tally.Counter
	reportsFailed tally.Counter

	// startedAt is when this daemon started. A coordinator's buckets fill from then
	// on and not from a team's first request, so that a restarted coordinator does not
	// grant the burst again.
	startedAt time.Time

	mu sync.Mutex
	// buckets holds the teams that this daemon coordinates.
	buckets map[string]*teamBucket
	// levels holds the bucket level that a coordinator returned last, by team.
	levels map[string]int64
	// reportedDemand is the demand last reported for each team. reportedAt is the time
	// of the last answered report to each coordinator.
	reportedDemand map[string]Demand
	reportedAt     map[string]time.Time
	// epoch identifies this run of the process. unacknowledged holds the reports that
	// got no answer, by coordinator. unreported holds the usage since then that is not
	// reported yet, by coordinator and team.
	epoch          uint64
	unacknowledged map[string]*unacknowledgedReport
	unreported     map[string]map[string]int64
	// sequences holds the number of the last report to each coordinator, received the
	// ID of the last report from each daemon.
	sequences map[string]uint64
	received  map[string]reportID
}

// New registers the report method. It must be called before the endpoint serves.
func New(self string, peers Peers, members fireflypath.Members, limits Limits, tolerance quota.Tolerance,
	clock clockwork.Clock, scope tally.Scope,
) *Quotas {
	scope = scope.SubScope("quotas")
	q := &Quotas{
		self: self, peers: peers, members: members, limits: limits, tolerance: tolerance, clock: clock,
		reportsSent: scope.Counter("asked"), reportsFailed: scope.Counter("failed"),
		startedAt: clock.Now(), buckets: map[string]*teamBucket{}, levels: map[string]int64{},
		reportedDemand: map[string]Demand{}, reportedAt: map[string]time.Time{},
		epoch: rand.Uint64(), unacknowledged: map[string]*unacknowledgedReport{}, unreported: map[string]map[string]int64{},
		sequences: map[string]uint64{}, received: map[string]reportID{},
	}
	peers.Handle(methodReport, q.handleReport)
	return q
}

// Run reports until the context ends, as long as large returns true.
func (q *Quotas) Run(ctx context.Context, large func() bool) error {
	t := q.clock.NewTicker(reportInterval)
	defer t.Stop()
	for {
		if large() {
			q.Step(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
		}
	}
}

// Step reports the usage to the coordinators and applies their grants.
func (q *Quotas) Step(ctx context.Context) {
	now := q.clock.Now()
	coordinators := q.coordinators()
	if len(coordinators) == 0 {
		return
	}
	reports := make([]report, len(coordinators))
	q.mu.Lock()
	q.dropFormerCoordinators(coordinators)
	for team, usage := range q.limits.TakeUsage(now) {
		if usage == (TeamUsage{}) {
			delete(q.reportedDemand, team)
			continue
		}
		usage.Level = q.levels[team]
		reports[xxhash.Sum64String(team)%uint64(len(coordinators))].add(team, usage, q.isUrgent(team, usage))
	}
	due := reports[:0]
	for i, r := range reports {
		r.coordinator = coordinators[i]
		if q.isDue(now, r) {
			due = append(due, r)
		}
	}
	q.mu.Unlock()
	var wg conc.WaitGroup
	for _, r := range due {
		wg.Go(func() { q.report(ctx, now, r.coordinator, r.teams) })
	}
	wg.Wait()
}

// dropFormerCoordinators drops pending reports to daemons that are no longer
// coordinators. The levels that their successors start from include what they counted.
// The caller holds mu.
func (q *Quotas) dropFormerCoordinators(coordinators []fireflypath.Member) {
	former := func(name string) bool {
		return !slices.ContainsFunc(coordinators, func(c fireflypath.Member) bool { return c.Name == name })
	}
	maps.DeleteFunc(q.unacknowledged, func(name string, _ *unacknowledgedReport) bool { return former(name) })
	maps.DeleteFunc(q.unreported, func(name string, _ map[string]int64) bool { return former(name) })
}

// isDue reports whether a report has to be sent now. The caller holds mu.
func (q *Quotas) isDue(now time.Time, r report) bool {
	if q.unacknowledged[r.coordinator.Name] != nil || len(q.unreported[r.coordinator.Name]) > 0 {
		return true
	}
	return len(r.teams) > 0 && (r.urgent || now.Sub(q.reportedAt[r.coordinator.Name]) >= decreaseReportInterval)
}

// isUrgent reports whether the coordinator has to learn of a team's usage at once. A
// lower demand can wait: most daemons of a large fleet see a few requests of a team a
// minute, and would otherwise report the decaying demand of the last one three times a
// second. The caller holds mu.
func (q *Quotas) isUrgent(team string, usage TeamUsage) bool {
	if usage.Used != 0 {
		return true
	}
	reported := q.reportedDemand[team]
	for i, n := range usage.Demand {
		if n > reported[i] {
			return true
		}
	}
	return false
}

// coordinators returns the live daemons with the lowest name hashes, as many as the
// size of the fleet needs.
func (q *Quotas) coordinators() []fireflypath.Member {
	live := q.members.Live()
	return coordinator.Choose(live, 1+len(live)/daemonsPerCoordinator)
}
