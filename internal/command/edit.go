package command

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/check"
)

// edit is a configuration that is being changed. Its lists are copies. Lists within
// their elements are shared with the old configuration, so they are replaced and never
// modified in place.
type edit struct {
	now       time.Time
	next      fireflypath.Config
	tiers     table[fireflypath.Tier]
	teams     table[fireflypath.Team]
	pools     table[fireflypath.Pool]
	targets   table[fireflypath.Target]
	rules     table[fireflypath.Rule]
	operators table[fireflypath.Operator]
	problems  check.Problems
}

func newEdit(old *fireflypath.Config, now time.Time) *edit {
	e := &edit{now: now, next: *old}
	e.tiers = newTable("tier", old.Tiers, func(t *fireflypath.Tier) *string { return &t.Name })
	e.teams = newTable("team", old.Teams, func(t *fireflypath.Team) *string { return &t.Name })
	e.pools = newTable("pool", old.Pools, func(p *fireflypath.Pool) *string { return &p.Name })
	e.targets = newTable("target", old.Targets, func(t *fireflypath.Target) *string { return &t.Name })
	e.rules = newTable("rule", old.Rules, func(r *fireflypath.Rule) *string { return &r.Name })
	e.operators = newTable("operator", old.Operators, func(o *fireflypath.Operator) *string { return &o.Name })
	return e
}

// config returns the edited configuration with the next generation number.
func (e *edit) config() *fireflypath.Config {
	next := e.next
	next.Generation++
	next.Tiers = e.tiers.list
	next.Teams = e.teams.list
	next.Pools = e.pools.list
	next.Targets = e.targets.list
	next.Rules = e.rules.list
	next.Operators = e.operators.list
	return &next
}

// table is a list with an index by name. Without the index, a script of thousands of
// commands would search the whole list for each of them.
type table[T any] struct {
	kind  string
	list  []T
	index map[string]int
	name  func(*T) *string
}

func newTable[T any](kind string, list []T, name func(*T) *string) table[T] {
	return table[T]{kind: kind, list: slices.Clone(list), name: name}
}

func (t *table[T]) find(name string) int {
	if t.index == nil {
		t.index = make(map[string]int, len(t.list))
		for i := range t.list {
			t.index[*t.name(&t.list[i])] = i
		}
	}
	if i, ok := t.index[name]; ok {
		return i
	}
	return -1
}

// getOrCreate returns the element with the name and appends it if it does not exist.
func (t *table[T]) getOrCreate(name string) (element *T, created bool) {
	i := t.find(name)
	if i < 0 {
		var zero T
		i = len(t.list)
		t.list = append(t.list, zero)
		*t.name(&t.list[i]) = name
		t.index[name] = i
		created = true
	}
	return &t.list[i], created
}

// get returns the element with the name. If it does not exist, get records a problem
// and returns nil.
func (t *table[T]) get(e *edit, name string) *T {
	i := t.find(name)
	if i < 0 {
		e.problems.Add(t.kind+" "+name, "does not exist")
		return nil
	}
	return &t.list[i]
}

func (t *table[T]) remove(e *edit, name string) {
	i := t.find(name)
	if i < 0 {
		e.problems.Add(t.kind+" "+name, "does not exist")
		return
	}
	t.list = slices.Delete(t.list, i, i+1)
	t.index = nil
}
