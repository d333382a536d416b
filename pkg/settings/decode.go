package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// rootName begins the validator's names of fields.
const rootName = "Settings"

// decoder fills structs from a syntax tree and remembers where each value
// stands, so that a problem found later can be shown in the file.
type decoder struct {
	path     string
	text     []byte
	problems Problems
	// locations maps the validator's name of a field (Settings.Listen.Callers) to
	// its place.
	locations map[string]location
	// undecodable holds the settings that could not be decoded: what they are
	// missing is no second problem.
	undecodable map[string]bool
}

type location struct {
	offset int
	// setting is the path in the file's own names.
	setting string
}

func newDecoder(path string, text []byte) *decoder {
	return &decoder{path: path, text: text, locations: map[string]location{}, undecodable: map[string]bool{}}
}

// decodeRoot decodes into the struct that v points to.
func (d *decoder) decodeRoot(name string, v any, tree hujson.Value) {
	d.decode(name, "", reflect.ValueOf(v).Elem(), tree)
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *decoder) decode(name, setting string, v reflect.Value, tree hujson.Value) {
	d.locations[name] = location{offset: tree.StartOffset, setting: setting}
	isText := reflect.PointerTo(v.Type()).Implements(textUnmarshaler)
	switch {
	case v.Kind() == reflect.Struct && !isText:
		d.object(name, setting, v, tree)
	case v.Kind() == reflect.Slice:
		d.array(name, setting, v, tree)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(name, setting, v.Elem(), tree)
	default:
		d.literal(setting, v, tree)
	}
}

func (d *decoder) object(name, setting string, v reflect.Value, tree hujson.Value) {
	o, ok := tree.Value.(*hujson.Object)
	if !ok {
		d.addProblem(tree.StartOffset, settingOrRoot(setting), "is not an object")
		return
	}
	fields := fieldsByName(v.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		path := joinPath(setting, key)
		f, known := fields[key]
		switch {
		case !known:
			d.addProblem(m.Name.StartOffset, path, "is not a setting; known here are %s", strings.Join(fieldNames(v.Type()), ", "))
		case seen[key]:
			d.addProblem(m.Name.StartOffset, path, "is set twice")
		default:
			d.decode(name+"."+f.Name, path, v.FieldByIndex(f.Index), m.Value)
		}
		seen[key] = true
	}
}

func (d *decoder) array(name, setting string, v reflect.Value, tree hujson.Value) {
	a, ok := tree.Value.(*hujson.Array)
	if !ok {
		d.undecodable[setting] = true
		d.addProblem(tree.StartOffset, setting, "is not a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		index := fmt.Sprintf("[%d]", i)
		d.decode(name+index, setting+index, v.Index(i), e)
	}
}

func (d *decoder) literal(setting string, v reflect.Value, tree hujson.Value) {
	l, ok := tree.Value.(hujson.Literal)
	if !ok {
		d.undecodable[setting] = true
		d.addProblem(tree.StartOffset, setting, "is not a %s", typeDescription(v))
		return
	}
	if err := json.Unmarshal(l, v.Addr().Interface()); err != nil {
		d.undecodable[setting] = true
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			d.addProblem(tree.StartOffset, setting, "is not a %s", typeDescription(v))
			return
		}
		d.addProblem(tree.StartOffset, setting, "cannot be read: %v", err)
	}
}

// typeDescription is what a user calls the type.
func typeDescription(v reflect.Value) string {
	if reflect.PointerTo(v.Type()).Implements(textUnmarshaler) {
		return "text in quotes, like \"1.5s\""
	}
	switch v.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "truth value, true or false"
	default:
		return "whole number of its size"
	}
}

// fieldsByName maps the names in a file to the struct's fields.
func fieldsByName(t reflect.Type) map[string]reflect.StructField {
	out := map[string]reflect.StructField{}
	for _, f := range reflect.VisibleFields(t) {
		out[jsonName(f)] = f
	}
	return out
}

func fieldNames(t reflect.Type) []string {
	var out []string
	for _, f := range reflect.VisibleFields(t) {
		out = append(out, jsonName(f))
	}
	return out
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func joinPath(setting, key string) string {
	if setting == "" {
		return key
	}
	return setting + "." + key
}

func settingOrRoot(setting string) string {
	if setting == "" {
		return "settings"
	}
	return setting
}
