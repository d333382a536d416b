// Package admit applies the operators' rules to a request.
package admit

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Admit is the step that evaluates the operators' rules.
type Admit struct {
	clock   clockwork.Clock
	members fireflypath.Members
	rules   *rules.Rules
}

// New returns the step. If members is nil, this daemon is the only one; if state is
// nil, the step keeps its own.
func New(clock clockwork.Clock, members fireflypath.Members, state *rules.Rules) *Admit {
	if state == nil {
		state = &rules.Rules{}
	}
	return &Admit{clock: clock, members: members, rules: state}
}

// String returns the name of the step.
func (*Admit) String() string {
	return "admit"
}

// Run refuses a request that a rule does not admit.
func (a *Admit) Run(_ context.Context, r *request.Request) error {
	daemons := 1
	if a.members != nil {
		daemons = len(a.members.Live())
	}
	v := a.rules.Decide(a.clock.Now(), r.Config, daemons, &r.Work)
	if v.Rule != "" {
		r.Draft.Rule(v.Rule)
	}
	if !v.Refused || !r.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateShed) {
		return nil
	}
	return &fireflypath.Refusal{
		Code: fireflypath.ReasonRule, Detail: v.Detail, Run: fireflypath.RunNo, RetryAfter: v.RetryAfter,
	}
}
