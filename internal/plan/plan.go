// Package plan tells what a change would do and what it would break.
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
	// Lines begin with + for what is new, - for what goes and ~ for what changes.
	Lines []string `json:"lines"`
	// BreakingChanges tells what would no longer work though the change is allowed.
	BreakingChanges []string `json:"breaks,omitempty"`
}

// Compare compares the configuration in force with the next one.
func Compare(old, next *fireflypath.Config) *Plan {
	p := &Plan{}
	diff(p, "tier", old.Tiers, next.Tiers)
	diff(p, "team", old.Teams, next.Teams)
	diff(p, "pool", old.Pools, next.Pools)
	diff(p, "target", old.Targets, next.Targets)
	diff(p, "rule", old.Rules, next.Rules)
	diff(p, "operator", old.Operators, next.Operators)
	p.BreakingChanges = breaks(old, next)
	return p
}

// diff compares two lists of structs by their field Name.
func diff[T any](p *Plan, kind string, old, next []T) {
	before := byName(old)
	for i := range next {
		name := nameOf(&next[i])
		was, ok := before[name]
		delete(before, name)
		switch {
		case !ok:
			p.Lines = append(p.Lines, "+ "+kind+" "+name+fields(&next[i]))
		case !reflect.DeepEqual(*was, next[i]):
			p.Lines = append(p.Lines, "~ "+kind+" "+name+changed(was, &next[i]))
		}
	}
	for i := range old {
		if name := nameOf(&old[i]); before[name] != nil {
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

// fields prints the fields that are set, by their short names.
func fields(v any) string {
	var b strings.Builder
	rv := reflect.ValueOf(v).Elem()
	for i := range rv.NumField() {
		if rv.Field(i).IsZero() || rv.Type().Field(i).Name == "Name" {
			continue
		}
		fmt.Fprintf(&b, " %s %s", tag(rv.Type().Field(i)), show(rv.Field(i)))
	}
	return b.String()
}

func changed(was, is any) string {
	var b strings.Builder
	a, z := reflect.ValueOf(was).Elem(), reflect.ValueOf(is).Elem()
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), z.Field(i).Interface()) {
			fmt.Fprintf(&b, " %s %s -> %s", tag(a.Type().Field(i)), show(a.Field(i)), show(z.Field(i)))
		}
	}
	return b.String()
}

func tag(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// show prints a value; of keys only the start of the hash is of use.
func show(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case []fireflypath.Key:
		return showKeys(x)
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

func showKeys(keys []fireflypath.Key) string {
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
