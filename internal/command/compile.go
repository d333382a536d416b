package command

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

func (c *compiler) command(cmd *command) {
	switch {
	case cmd.Set != nil:
		c.set(cmd.Set)
	case cmd.Delete != nil:
		c.delete(cmd.Delete)
	case cmd.Drain != nil:
		c.drained(cmd.Drain.Name.Text, true)
	case cmd.Restore != nil:
		c.drained(cmd.Restore.Name.Text, false)
	case cmd.Key != nil:
		c.key(cmd.Key)
	case cmd.Revoke != nil:
		c.revoke(cmd.Revoke.Hash)
	case cmd.Load != nil:
		c.order(fireflypath.OrderLoad, cmd.Load.Name, cmd.Load.Model)
	case cmd.Unload != nil:
		c.order(fireflypath.OrderUnload, cmd.Unload.Name, cmd.Unload.Model)
	case cmd.Adapter != nil:
		c.order(fireflypath.OrderAdapter, cmd.Adapter.Name, cmd.Adapter.Value)
	case cmd.Version != nil:
		c.order(fireflypath.OrderVersion, cmd.Version.Name, cmd.Version.Value)
	case cmd.Role != nil:
		c.order(fireflypath.OrderRole, cmd.Role.Name, cmd.Role.Value)
	}
}

func (c *compiler) order(kind fireflypath.OrderKind, name, value syntax.Word) {
	c.script.Order = &fireflypath.Order{Kind: kind, Target: name.Text, Value: value.Text}
}

func (c *compiler) set(s *set) {
	switch {
	case s.Tier != nil:
		c.tier(s.Tier)
	case s.Team != nil:
		c.team(s.Team)
	case s.Pool != nil:
		c.pool(s.Pool)
	case s.Target != nil:
		c.target(s.Target)
	case s.Rule != nil:
		c.rule(s.Rule)
	case s.Operator != nil:
		c.operator(s.Operator)
	}
}

// changes collects what a set command writes into an element.
type changes[T any] []func(*T)

func (ch *changes[T]) add(f func(*T)) {
	*ch = append(*ch, f)
}

func (ch changes[T]) apply(v *T) {
	for _, f := range ch {
		f(v)
	}
}

// defaultDeadline is given to a tier that is created without one: long enough
// for a summary of some thousand tokens at the letter's 37 ms between tokens.
const defaultDeadline = 2 * time.Minute

func (c *compiler) tier(s *tier) {
	var ch changes[fireflypath.Tier]
	c.int(s.Rank, func(n int) { ch.add(func(t *fireflypath.Tier) { t.Rank = n }) })
	c.duration(s.Deadline, func(d time.Duration) {
		ch.add(func(t *fireflypath.Tier) { t.Deadline = fireflypath.Duration(d) })
	})
	name := s.Name.Text
	c.add(func(e *edit) {
		t, created := e.tiers.put(name)
		if created {
			t.Deadline = fireflypath.Duration(defaultDeadline)
		}
		ch.apply(t)
	})
}

func (c *compiler) team(s *team) {
	var ch changes[fireflypath.Team]
	c.list(s.Tiers, func(l []string) { ch.add(func(t *fireflypath.Team) { t.Tiers = l }) })
	c.list(s.Pools, func(l []string) { ch.add(func(t *fireflypath.Team) { t.Pools = l }) })
	c.int(s.Weight, func(n int) { ch.add(func(t *fireflypath.Team) { t.Weight = n }) })
	name := s.Name.Text
	c.add(func(e *edit) {
		t, _ := e.teams.put(name)
		ch.apply(t)
	})
}

func (c *compiler) pool(s *pool) {
	var ch changes[fireflypath.Pool]
	c.string(s.Kind, func(v string) { ch.add(func(p *fireflypath.Pool) { p.Kind = fireflypath.PoolKind(v) }) })
	c.list(s.Models, func(l []string) { ch.add(func(p *fireflypath.Pool) { p.Models = l }) })
	c.int(s.Requests, func(n int) { ch.add(func(p *fireflypath.Pool) { p.Requests = n }) })
	c.int(s.Bytes, func(n int) { ch.add(func(p *fireflypath.Pool) { p.Bytes = n }) })
	name := s.Name.Text
	c.add(func(e *edit) {
		p, created := e.pools.put(name)
		if created {
			p.Kind = fireflypath.KindEngine
		}
		ch.apply(p)
	})
}

func (c *compiler) target(s *targetSet) {
	var ch changes[fireflypath.Target]
	c.string(s.Pool, func(v string) { ch.add(func(t *fireflypath.Target) { t.Pool = v }) })
	c.string(s.Addr, func(v string) { ch.add(func(t *fireflypath.Target) { t.Addr = v }) })
	c.string(s.Domain, func(v string) { ch.add(func(t *fireflypath.Target) { t.Domain = v }) })
	c.int(s.Window, func(n int) { ch.add(func(t *fireflypath.Target) { t.Window = n }) })
	c.bool(s.Fenced, func(v bool) { ch.add(func(t *fireflypath.Target) { t.Fenced = v }) })
	name := s.Name.Text
	c.add(func(e *edit) {
		t, _ := e.targets.put(name)
		ch.apply(t)
	})
}

func (c *compiler) rule(s *rule) {
	var ch changes[fireflypath.Rule]
	c.string(s.Act, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Act = fireflypath.RuleAction(v) }) })
	c.string(s.Team, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Team = v }) })
	c.string(s.Tier, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Tier = v }) })
	c.string(s.Pool, func(v string) { ch.add(func(r *fireflypath.Rule) { r.Pool = v }) })
	c.int(s.Above, func(n int) { ch.add(func(r *fireflypath.Rule) { r.Above = n }) })
	c.int(s.Limit, func(n int) { ch.add(func(r *fireflypath.Rule) { r.Limit = n }) })
	name := s.Name.Text
	c.add(func(e *edit) {
		r, _ := e.rules.put(name)
		ch.apply(r)
	})
}

func (c *compiler) operator(s *operator) {
	var ch changes[fireflypath.Operator]
	c.string(s.Role, func(v string) { ch.add(func(o *fireflypath.Operator) { o.Role = fireflypath.Role(v) }) })
	name := s.Name.Text
	c.add(func(e *edit) {
		o, created := e.operators.put(name)
		if created {
			o.Role = fireflypath.RoleAsk
		}
		ch.apply(o)
	})
}

func (c *compiler) delete(d *deletion) {
	switch {
	case d.Tier != nil:
		c.add(func(e *edit) { e.tiers.remove(e, d.Tier.Text) })
	case d.Team != nil:
		c.add(func(e *edit) { e.teams.remove(e, d.Team.Text) })
	case d.Pool != nil:
		c.add(func(e *edit) { e.pools.remove(e, d.Pool.Text) })
	case d.Target != nil:
		c.add(func(e *edit) { e.targets.remove(e, d.Target.Text) })
	case d.Rule != nil:
		c.add(func(e *edit) { e.rules.remove(e, d.Rule.Text) })
	case d.Operator != nil:
		c.add(func(e *edit) { e.operators.remove(e, d.Operator.Text) })
	}
}

func (c *compiler) drained(name string, drained bool) {
	c.add(func(e *edit) {
		if t := e.targets.get(e, name); t != nil {
			t.Drained = drained
		}
	})
}
