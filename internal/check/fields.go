package check

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// element is a field's path inside a list of the configuration.
var element = regexp.MustCompile(`^Config\.(\w+)\[(\d+)\]\.(.+)$`)

// fields applies the validator's tags and names what breaks them as the
// operator does: "team traders" and not "Config.Teams[4]".
func (c *checker) fields() {
	var found validator.ValidationErrors
	if !errors.As(validate.Struct(c.cfg), &found) {
		return
	}
	for _, f := range found {
		subject, field := c.subject(f.Namespace())
		c.problems.Add(subject, "has a value for %s that is not allowed: %s", field, allowed(f))
	}
}

func (c *checker) subject(path string) (subject, field string) {
	m := element.FindStringSubmatch(path)
	if m == nil {
		return "configuration", strings.ToLower(path)
	}
	i, err := strconv.Atoi(m[2])
	if err != nil {
		return "configuration", strings.ToLower(path)
	}
	return c.element(m[1], i), strings.ToLower(m[3])
}

func (c *checker) element(list string, i int) string {
	switch list {
	case "Tiers":
		return "tier " + c.cfg.Tiers[i].Name
	case "Teams":
		return "team " + c.cfg.Teams[i].Name
	case "Pools":
		return "pool " + c.cfg.Pools[i].Name
	case "Targets":
		return "target " + c.cfg.Targets[i].Name
	case "Rules":
		return "rule " + c.cfg.Rules[i].Name
	case "Operators":
		return "operator " + c.cfg.Operators[i].Name
	default:
		return list
	}
}

func allowed(f validator.FieldError) string {
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
