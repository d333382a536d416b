// Package identify determines the team and the tier of a request.
package identify

import (
	"context"
	"slices"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Identify is the step that refuses requests without a valid key of a team.
type Identify struct{}

// New returns the step.
func New() *Identify {
	return &Identify{}
}

// String returns the name of the step.
func (*Identify) String() string {
	return "identify"
}

// Run sets the request's team and its tier, and its deadline if it has none.
func (*Identify) Run(_ context.Context, r *request.Request) error {
	team := r.Catalog.TeamByToken(r.Inbound.Token, r.Work.Arrived)
	if r.Inbound.Token == "" || team == nil {
		return refuse(fireflypath.ReasonUnauthorized, "no team has this key")
	}
	r.Team = team
	r.Work.Team = team.Name
	r.Work.Weight = max(team.Weight, 1)
	return setTier(r, team)
}

func setTier(r *request.Request, team *fireflypath.Team) error {
	name := r.Inbound.Tier
	if name == "" {
		name = team.Tiers[0]
	}
	t := r.Catalog.Tier(name)
	if t == nil || !slices.Contains(team.Tiers, name) {
		return refuse(fireflypath.ReasonForbidden, "the team may not use the tier")
	}
	r.Work.Tier = t.Name
	r.Work.Rank = t.Rank
	if r.Work.Deadline.IsZero() {
		r.Work.Deadline = r.Work.Arrived.Add(t.Deadline.Std())
	}
	return nil
}

func refuse(code fireflypath.Reason, detail string) error {
	return &fireflypath.Refusal{Code: code, Detail: detail, Run: fireflypath.RunNo}
}
