package quotas

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
	"github.com/fireflypath/fireflypath/internal/decide/ratelease"
)

// teamBucket is the quota state of a team that this daemon coordinates.
type teamBucket struct {
	bucket    *quota.Bucket
	quota     fireflypath.Quota
	allocator ratelease.Allocator
	// demands holds the demand per second of each reporting daemon.
	demands map[string]daemonDemand
	// adopted is true once the level known to the reporters was taken over.
	adopted bool
}

func (q *Quotas) handleReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var req reportRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if q.isDuplicate(from, req.reportID) {
		for team, usage := range req.Teams {
			usage.Used = 0
			req.Teams[team] = usage
		}
	}
	return q.grant(from, req.Teams), nil
}

// isDuplicate reports whether a report was counted before.
func (q *Quotas) isDuplicate(from string, id reportID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if last := q.received[from]; last.Epoch == id.Epoch && id.Sequence <= last.Sequence {
		return id.Sequence > 0
	}
	q.received[from] = id
	return false
}

// grant deducts a daemon's usage from the buckets and returns what the daemon may grant.
func (q *Quotas) grant(from string, teams map[string]TeamUsage) reportResponse {
	now := q.clock.Now()
	resp := reportResponse{Teams: make(map[string]Grant, len(teams))}
	q.mu.Lock()
	defer q.mu.Unlock()
	for team, usage := range teams {
		limit := q.limits.Quota(team)
		if limit == nil || limit.Rate <= 0 {
			continue
		}
		b := q.teamBucket(now, team, *limit)
		if !b.adopted && usage.Level != 0 {
			b.bucket.SetLevel(now, float64(usage.Level))
		}
		b.adopted = true
		b.bucket.DeductRemoteUse(now, float64(usage.Used))
		level := b.bucket.Level(now)
		demand := b.updateDemand(now, from, usage.Demand)
		enough := max(healthyFill*b.bucket.Capacity(), detectionDelay.Seconds()*float64(demand.fromTier(0)))
		g := Grant{Level: int64(level), UnlimitedTiers: Tiers}
		// Usage above the quota is paid back over repaymentPeriod.
		rate := max(b.bucket.Rate()+min(level, 0)/repaymentPeriod.Seconds(), minRateFraction*b.bucket.Rate())
		if level <= enough {
			g.UnlimitedTiers, rate = unlimitedTiers(demand, rate)
		}
		granted := b.allocator.Request(now, rate, from, demandHeadroom*float64(usage.Demand.fromTier(g.UnlimitedTiers%Tiers)))
		if g.UnlimitedTiers < Tiers {
			g.Rate = granted
		}
		resp.Teams[team] = g
	}
	return resp
}

// unlimitedTiers returns how many of the highest tiers fit into the rate together, and
// the rate that remains for the tiers below.
//
// Split among many daemons, each fraction of the rate is smaller than one large request,
// and requests of all tiers are refused alike. So the highest tiers, which have the
// largest requests, are admitted in full, as long as enough of the rate remains to
// absorb the error of one report.
func unlimitedTiers(demand Demand, rate float64) (tiers int, left float64) {
	left = rate
	for tiers < Tiers-1 && left-demandHeadroom*float64(demand[tiers]) >= minRateFraction*rate {
		left -= demandHeadroom * float64(demand[tiers])
		tiers++
	}
	return tiers, left
}

// daemonDemand is the demand that one daemon reported, and when.
type daemonDemand struct {
	rate Demand
	at   time.Time
}

// updateDemand records a daemon's demand and returns the sum over all daemons that
// reported within grantTTL.
func (b *teamBucket) updateDemand(now time.Time, from string, rate Demand) Demand {
	b.demands[from] = daemonDemand{rate: rate, at: now}
	var sum Demand
	for name, d := range b.demands {
		if now.Sub(d.at) > grantTTL {
			delete(b.demands, name)
			continue
		}
		for i, n := range d.rate {
			sum[i] += n
		}
	}
	return sum
}

// teamBucket returns the bucket of a team that this daemon coordinates. It creates the
// bucket on first use and applies a changed quota.
func (q *Quotas) teamBucket(now time.Time, team string, limit fireflypath.Quota) *teamBucket {
	b := q.buckets[team]
	if b == nil {
		b = &teamBucket{bucket: quota.New(q.startedAt, limit, q.tolerance, 1), quota: limit, demands: map[string]daemonDemand{}}
		q.buckets[team] = b
	} else if b.quota != limit {
		b.quota = limit
		b.bucket.SetQuota(now, limit)
	}
	return b
}
