package command

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

func (c *compiler) compileCommand(cmd *command) {
	switch {
	case cmd.Set != nil:
		c.compileSet(cmd.Set)
	case cmd.Delete != nil:
		c.compileDelete(cmd.Delete)
	case cmd.Drain != nil:
		c.setDrained(cmd.Drain.Name.Text, true)
	case cmd.Restore != nil:
		c.setDrained(cmd.Restore.Name.Text, false)
	case cmd.Key != nil:
		c.compileKey(cmd.Key)
	case cmd.Revoke != nil:
		c.compileRevoke(cmd.Revoke.Hash)
	case cmd.Load != nil:
		c.setOrder(fireflypath.OrderLoad, cmd.Load.Name, cmd.Load.Model)
	case cmd.Unload != nil:
		c.setOrder(fireflypath.OrderUnload, cmd.Unload.Name, cmd.Unload.Model)
	case cmd.Adapter != nil:
		c.setOrder(fireflypath.OrderAdapter, cmd.Adapter.Name, cmd.Adapter.Value)
	case cmd.Version != nil:
		c.setOrder(fireflypath.OrderVersion, cmd.Version.Name, cmd.Version.Value)
	case cmd.Role != nil:
		c.setOrder(fireflypath.OrderRole, cmd.Role.Name, cmd.Role.Value)
	}
}

func (c *compiler) setOrder(kind fireflypath.OrderKind, name, value syntax.Word) {
	c.script.Order = &fireflypath.Order{Kind: kind, Target: name.Text, Value: value.Text}
}

func (c *compiler) compileSet(s *set) {
	switch {
	case s.Tier != nil:
		c.compileTier(s.Tier)
	case s.Team != nil:
		c.compileTeam(s.Team)
	case s.Pool != nil:
		c.compilePool(s.Pool)
	case s.Target != nil:
		c.compileTarget(s.Target)
	case s.Rule != nil:
		c.compileRule(s.Rule)
	case s.Operator != nil:
		c.compileOperator(s.Operator)
	}
}

// assignments collects the field values that a set command assigns to an element.
type assignments[T any] []func(*T)

func (a *assignments[T]) add(f func(*T)) {
	*a = append(*a, f)
}

func (a assignments[T]) apply(v *T) {
	for _, f := range a {
		f(v)
	}
}

// defaultDeadline is the deadline of a tier that is created without one. It is enough
// for a summary of a few thousand tokens at the specified 37 ms between tokens.
const defaultDeadline = 2 * time.Minute

func (c *compiler) compileTier(s *tier) {
	var ch assignments[fireflypath.Tier]
	c.intField(s.Rank, func(n int) { ch.add(func(t *fireflypath.Tier) { t.Rank = n }) })
	c.durationField(s.Deadline, func(d time.Duration) {
		ch.add(func(t *fireflypath.Tier) { t.Deadline = fireflypath.Duration(d) })
	})
	name := s.Name.Text
	c.addStep(func(e *edit) {
		t, created := e.tiers.getOrCreate(name)
		if created {
			t.Deadline = fireflypath.Duration(defaultDeadline)
		}
		ch.apply(t)
	})
}

func (c *compiler) compileTeam(s *team) {
	var ch assignments[fireflypath.Team]
	c.listField(s.Tiers, func(l []string) { ch.add(func(t *fireflypath.Team) { t.Tiers = l }) })
	c.listField(s.Pools, func(l []string) { ch.add(func(t *fireflypath.Team) { t.Pools = l }) })
	c.intField(s.Weight, func(n int) { ch.add(func(t *fireflypath.Team) { t.Weight = n }) })
	name := s.Name.Text
	c.addStep(func(e *edit) {
		t, _ := e.teams.getOrCreate(name)
		ch.apply(t)
	})
}

func (c *compiler) compilePool(s *pool) {
	var ch assignments[fireflypath.Pool]
	c.stringField(s.Kind, func(v string) { ch.add(func(p *fireflypath.Pool) { p.Kind = fireflypath.PoolKind(v) }) })
	c.listField(s.Models, func(l []string) { ch.add(func(p *fireflypath.Pool) { p.Models = l }) })
	c.intField(s.Requests, func(n int) { ch.add(func(p *fireflypath.Pool) { p.Requests = n }) })
	c.intField(s.Bytes, func(n int) { ch.add(func(p *fireflypath.Pool) { p.Bytes = n }) })
	name := s.Name.Text
	c.addStep(func(e *edit) {
		p, created := e.pools.getOrCreate(name)
		if created {
			p.Kind = fireflypath.KindEngine
		}
		ch.apply(p)
	})
}

func (c *compiler) compileTarget(s *targetSet) {
	var ch assignments[fireflypath.Target]
	c.stringField(s.Pool, func(v string) { ch.add(func(t *fireflypath.Target) { t.Pool = v }) })
	c.stringField(s.Addr, func(v string) { ch.add(func(t *fireflypath.Target) { t.Addr = v }) })
	c.stringField(s.Domain, func(v string) { ch.add(func(t *fireflypath.Target) { t.Domain = v }) })
	c.intField(s.Window, func(n int) { ch.add(func(t *fireflypath.Target) { t.Window = n }) })
	c.boolField(s.Fenced, func(v bool) { ch.add(func(t *fireflypath.Target) { t.Fenced = v }) })
	name := s.Name.Text
	c.addStep(func(e *edit) {
		t, _ := e.targets.getOrCreate(name)
		ch.apply(t)
	})
}

func (c *compiler) compileRule(s *rule) {
	var ch assignments[fireflypath.Rule]
	c.stringField(s.Act, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Act = fireflypath.RuleAction(v) }) })
	c.stringField(s.Team, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Team = v }) })
	c.stringField(s.Tier, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Tier = v }) })
	c.stringField(s.Pool, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Pool = v }) })
	c.intField(s.Above, func(n int) { ch.add(func(r *fireflypath.Rule) { r.Above = n }) })
	c.intField(s.Limit, func(n int) { ch.add(func(r *fireflypath.Rule) { r.Limit = n }) })
	name := s.Name.Text
	c.addStep(func(e *edit) {
		r, _ := e.rules.getOrCreate(name)
		ch.apply(r)
	})
}

func (c *compiler) compileOperator(s *operator) {
	var ch assignments[fireflypath.Operator]
	c.stringField(s.Role, func(v string) { ch.add(func(o *fireflypath.Operator) { o.Role = fireflypath.Role(v) }) })
	name := s.Name.Text
	c.addStep(func(e *edit) {
		o, created := e.operators.getOrCreate(name)
		if created {
			o.Role = fireflypath.RoleAsk
		}
		ch.apply(o)
	})
}

func (c *compiler) compileDelete(d *deletion) {
	switch {
	case d.Tier != nil:
		c.addStep(func(e *edit) { e.tiers.remove(e, d.Tier.Text) })
	case d.Team != nil:
		c.addStep(func(e *edit) { e.teams.remove(e, d.Team.Text) })
	case d.Pool != nil:
		c.addStep(func(e *edit) { e.pools.remove(e, d.Pool.Text) })
	case d.Target != nil:
		c.addStep(func(e *edit) { e.targets.remove(e, d.Target.Text) })
	case d.Rule != nil:
		c.addStep(func(e *edit) { e.rules.remove(e, d.Rule.Text) })
	case d.Operator != nil:
		c.addStep(func(e *edit) { e.operators.remove(e, d.Operator.Text) })
	}
}

func (c *compiler) setDrained(name string, drained bool) {
	c.addStep(func(e *edit) {
		if t := e.targets.get(e, name); t != nil {
			t.Drained = drained
		}
	})
}
