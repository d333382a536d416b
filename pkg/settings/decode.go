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

// rootName is the first element of the validator's struct namespaces.
const rootName = "Settings"

// decoder fills structs from a syntax tree and records the position of each value, so that
// a problem found later can be reported with its position in the file.
type decoder struct {
	path     string
	text     []byte
	problems Problems
	// locations maps the validator's namespace of a field, such as
	// Settings.Listen.Callers, to its location.
	locations map[string]location
	// undecodable holds the settings that could not be decoded. The zero values that they
	// leave behind must not be reported as a second problem.
	undecodable map[string]bool
}

type location struct {
	offset int
	// setting is the path in the names of the file, such as listen.callers.
	setting string
}

func newDecoder(path string, text []byte) *decoder {
	return &decoder{path: path, text: text, locations: map[string]location{}, undecodable: map[string]bool{}}
}

// decodeRoot decodes the whole file into the struct that v points to.
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

// typeDescription returns the name of a type for use in messages.
func typeDescription(v reflect.Value) string {
	if reflect.PointerTo(v.Type()).Implements(textUnmarshaler) {
		return "text in quotes, like \"1.5s\""
	}
	switch v.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "boolean, true or false"
	default:
		return "whole number in the valid range"
	}
}

// fieldsByName maps the names used in the file to the fields of a struct.
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
