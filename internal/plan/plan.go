// Package plan describes what a configuration change would do and what it would break.
package plan

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/fireflypath/fireflypath"
)

// Plan is the difference between two configurations.
type Plan struct {
	// Lines start with + for added, - for removed and ~ for changed items.
	Lines []string `json:"lines"`
	// BreakingChanges lists what would no longer work although the change is valid.
	BreakingChanges []string `json:"breaks,omitempty"`
}

// Compare returns the difference between the configuration in force and the next one.
func Compare(old, next *fireflypath.Config) *Plan {
	p := &Plan{}
	diff(p, "tier", old.Tiers, next.Tiers)
	diff(p, "team", old.Teams, next.Teams)
	diff(p, "pool", old.Pools, next.Pools)
	diff(p, "target", old.Targets, next.Targets)
	diff(p, "rule", old.Rules, next.Rules)
	diff(p, "operator", old.Operators, next.Operators)
	p.BreakingChanges = breakingChanges(old, next)
	return p
}

// diff compares two lists of structs, which are identified by their field Name.
func diff[T any](p *Plan, kind string, old, next []T) {
	oldByName := byName(old)
	for i := range next {
		name := nameOf(&next[i])
		oldItem, ok := oldByName[name]
		delete(oldByName, name)
		switch {
		case !ok:
			p.Lines = append(p.Lines, "+ "+kind+" "+name+formatFields(&next[i]))
		case !reflect.DeepEqual(*oldItem, next[i]):
			p.Lines = append(p.Lines, "~ "+kind+" "+name+formatChanges(oldItem, &next[i]))
		}
	}
	for i := range old {
		if name := nameOf(&old[i]); oldByName[name] != nil {
			p.Lines = append(p.Lines, "- "+kind+" "+name)
		}
	}
}

func byName[T any](list []T) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[nameOf(&list[i])] = &list[i]
	}
	return m
}

func nameOf(v any) string {
	return reflect.ValueOf(v).Elem().FieldByName("Name").String()
}

// formatFields formats the non-zero fields with their JSON names.
func formatFields(v any) string {
	var b strings.Builder
	rv := reflect.ValueOf(v).Elem()
	for i := range rv.NumField() {
		if rv.Field(i).IsZero() || rv.Type().Field(i).Name == "Name" {
			continue
		}
		fmt.Fprintf(&b, " %s %s", jsonName(rv.Type().Field(i)), formatValue(rv.Field(i)))
	}
	return b.String()
}

func formatChanges(old, next any) string {
	var b strings.Builder
	oldFields, nextFields := reflect.ValueOf(old).Elem(), reflect.ValueOf(next).Elem()
	for i := range oldFields.NumField() {
		if !reflect.DeepEqual(oldFields.Field(i).Interface(), nextFields.Field(i).Interface()) {
			fmt.Fprintf(&b, " %s %s -> %s", jsonName(oldFields.Type().Field(i)), formatValue(oldFields.Field(i)), formatValue(nextFields.Field(i)))
		}
	}
	return b.String()
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// formatValue formats a value. Keys are shortened to the start of their hash, which identifies them.
func formatValue(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case []fireflypath.Key:
		return formatKeys(x)
	case []string:
		if len(x) == 0 {
			return "all"
		}
		return strings.Join(x, ",")
	case string:
		if x == "" {
			return `""`
		}
		return x
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return strings.Trim(string(text), `"`)
}

func formatKeys(keys []fireflypath.Key) string {
	if len(keys) == 0 {
		return "none"
	}
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = k.Hash[:min(len(k.Hash), 12)]
		if !k.Until.IsZero() {
			out[i] += " until " + k.Until.UTC().Format("2006-01-02T15:04:05Z")
		}
	}
	return strings.Join(out, ",")
}
