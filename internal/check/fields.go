package check

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/fireflypath/fireflypath"
)

// checkFields validates the fields of changed elements by their validate tags. A change
// usually affects one of 29,000 teams, and validating all of them took more than half of
// the time of a check.
func (c *checker) checkFields(old *fireflypath.Config) {
	if old == nil {
		old = &fireflypath.Config{}
	}
	validateChanged(c, "tier", old.Tiers, c.cfg.Tiers, func(t *fireflypath.Tier) string { return t.Name })
	validateChanged(c, "team", old.Teams, c.cfg.Teams, func(t *fireflypath.Team) string { return t.Name })
	validateChanged(c, "pool", old.Pools, c.cfg.Pools, func(p *fireflypath.Pool) string { return p.Name })
	validateChanged(c, "target", old.Targets, c.cfg.Targets, func(t *fireflypath.Target) string { return t.Name })
	validateChanged(c, "rule", old.Rules, c.cfg.Rules, func(r *fireflypath.Rule) string { return r.Name })
	validateChanged(c, "operator", old.Operators, c.cfg.Operators, func(o *fireflypath.Operator) string { return o.Name })
}

// validateChanged validates the elements that differ from the old element at the same
// index. Elements that only moved are validated again, which is harmless.
func validateChanged[T any](c *checker, kind string, old, next []T, name func(*T) string) {
	for i := range next {
		if i < len(old) && reflect.DeepEqual(&old[i], &next[i]) {
			continue
		}
		var found validator.ValidationErrors
		if !errors.As(validate.Struct(&next[i]), &found) {
			continue
		}
		for _, f := range found {
			_, field, _ := strings.Cut(f.Namespace(), ".")
			c.problems.Add(kind+" "+name(&next[i]), "has a value for %s that is not allowed: %s", strings.ToLower(field), requirement(f))
		}
	}
}

// requirement describes the condition that a field does not meet.
func requirement(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "it must be given"
	case "min":
		return "the least is " + f.Param()
	case "max":
		return "the most is " + f.Param()
	case "gt":
		return "it must be above " + f.Param()
	case "oneof":
		return "it must be one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "hostname_port":
		return "it must be an IP number and a port"
	default:
		return strings.TrimSpace("it must be " + f.Tag() + " " + f.Param())
	}
}
