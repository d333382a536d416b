package quotas

import (
	"context"
	"maps"
	"time"

	"github.com/fireflypath/fireflypath"
)

// unacknowledgedReport is a report without an answer. Its coordinator may or may not have
// counted it, so it is resent unchanged until the coordinator answers. That holds for another
// incarnation of the coordinator too: it may be the same process, which has announced a change of
// its record, and one that has started again counts the report as new.
type unacknowledgedReport struct {
	request reportRequest
}

// report is what is reported to one coordinator in one step.
type report struct {
	coordinator fireflypath.Member
	teams       map[string]TeamUsage
	// urgent is true if a team has new usage or a higher demand.
	urgent bool
}

func (r *report) add(team string, usage TeamUsage, urgent bool) {
	if r.teams == nil {
		r.teams = map[string]TeamUsage{}
	}
	r.teams[team] = usage
	r.urgent = r.urgent || urgent
}

// report sends usage to one coordinator. A previous report without an answer may have
// been counted. It is resent under its old ID first, so that it counts once.
func (q *Quotas) report(ctx context.Context, now time.Time, to fireflypath.Member, teams map[string]TeamUsage) {
	if to.Name == q.self {
		q.applyGrants(now, to, teams, q.grant(q.self, teams))
		return
	}
	if !q.resend(ctx, to) {
		q.addUnreported(to.Name, teams)
		return
	}
	req := q.nextRequest(to.Name, teams)
	if len(req.Teams) == 0 {
		return
	}
	var resp reportResponse
	if err := q.call(ctx, to, req, &resp); err != nil {
		q.mu.Lock()
		q.unacknowledged[to.Name] = &unacknowledgedReport{request: req}
		q.mu.Unlock()
		return // the last grants stay valid until they expire
	}
	q.applyGrants(now, to, req.Teams, resp)
}

func (q *Quotas) call(ctx context.Context, to fireflypath.Member, req reportRequest, resp *reportResponse) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	q.reportsSent.Inc(1)
	err := q.peers.Call(ctx, to, methodReport, req, resp)
	if err != nil {
		q.reportsFailed.Inc(1)
	}
	return err
}

// resend sends the report again that got no answer. It reports whether none is left.
func (q *Quotas) resend(ctx context.Context, to fireflypath.Member) bool {
	q.mu.Lock()
	pending := q.unacknowledged[to.Name]
	q.mu.Unlock()
	if pending == nil {
		return true
	}
	if err := q.call(ctx, to, pending.request, &reportResponse{}); err != nil {
		return false
	}
	q.mu.Lock()
	delete(q.unacknowledged, to.Name)
	q.mu.Unlock()
	return true
}

// addUnreported saves usage for the next report to a coordinator.
func (q *Quotas) addUnreported(coordinator string, teams map[string]TeamUsage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for team, usage := range teams {
		if usage.Used == 0 {
			continue
		}
		if q.unreported[coordinator] == nil {
			q.unreported[coordinator] = map[string]int64{}
		}
		q.unreported[coordinator][team] += usage.Used
	}
}

// nextRequest builds the next report to a coordinator, with the usage saved by
// addUnreported.
func (q *Quotas) nextRequest(coordinator string, teams map[string]TeamUsage) reportRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]TeamUsage, len(teams))
	maps.Copy(out, teams)
	for team, n := range q.unreported[coordinator] {
		usage, ok := out[team]
		if !ok {
			usage.Demand, usage.Level = q.reportedDemand[team], q.levels[team]
		}
		usage.Used += n
		out[team] = usage
	}
	delete(q.unreported, coordinator)
	q.sequences[coordinator]++
	return reportRequest{reportID: reportID{Epoch: q.epoch, Sequence: q.sequences[coordinator]}, Teams: out}
}

// applyGrants applies a coordinator's grants to this daemon's limits.
func (q *Quotas) applyGrants(now time.Time, to fireflypath.Member, teams map[string]TeamUsage, resp reportResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reportedAt[to.Name] = now
	for team, usage := range teams {
		q.reportedDemand[team] = usage.Demand
	}
	for team, g := range resp.Teams {
		q.levels[team] = g.Level
		limit := q.limits.Quota(team)
		if limit == nil || limit.Rate <= 0 {
			continue
		}
		q.limits.SetUnlimitedTiers(now, team, g.UnlimitedTiers, now.Add(grantTTL))
		if g.UnlimitedTiers < Tiers {
			q.limits.SetFraction(now, team, g.Rate/limit.Rate)
		}
	}
}
