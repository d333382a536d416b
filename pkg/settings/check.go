package settings

import (
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/fireflypath/fireflypath/internal/check"
)

// Check reports what is wrong with settings that were made in a program.
func Check(s *Settings) error {
	if err := validate.Struct(s); err != nil {
		return errors.Wrap(err, "check settings")
	}
	if s.Initial == nil {
		return nil
	}
	return errors.Wrap(check.Config(nil, s.Initial), "check initial configuration")
}

var validate = rules()

func rules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.RegisterValidation("ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	if err != nil {
		// Only an empty name or a nil function is refused.
		panic(err)
	}
	return v
}

// check adds what the structs' tags and the configuration's own rules refuse.
func (d *decoder) check(s *Settings) {
	var fields validator.ValidationErrors
	if errors.As(validate.Struct(s), &fields) {
		for _, f := range fields {
			d.field(f)
		}
	}
	if len(d.problems) > 0 {
		return
	}
	var found check.Problems
	if s.Initial != nil && errors.As(check.Config(nil, s.Initial), &found) {
		for _, p := range found {
			at := d.item(s, p.Subject)
			d.add(at.offset, at.setting, "%s", p.Subject+" "+p.Detail)
		}
	}
}

// field shows a missing setting at the object that lacks it.
func (d *decoder) field(f validator.FieldError) {
	name := f.StructNamespace()
	if p, ok := d.places[name]; ok {
		if !d.unread[p.setting] {
			d.add(p.offset, p.setting, "%s", reason(f))
		}
		return
	}
	for name != "" {
		cut := max(strings.LastIndexByte(name, '.'), 0)
		name = name[:cut]
		if p, ok := d.places[name]; ok {
			d.add(p.offset, join(p.setting, f.Field()), "%s", reason(f))
			return
		}
	}
}

func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing"
	case "ipport":
		return "is not an IP number and a port, like 10.0.0.1:8080"
	case "hostname_port":
		return "is not a host and a port, like 10.0.0.1:8080"
	case "min":
		return "is below the least, " + f.Param()
	case "max":
		return "is above the most, " + f.Param()
	case "gt":
		return "is not above " + f.Param()
	case "len":
		return "is not of the length " + f.Param()
	case "hexadecimal":
		return "is not hexadecimal"
	case "oneof":
		return "is none of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "excludesall":
		return "holds one of the characters " + f.Param()
	default:
		return "breaks the rule " + f.Tag()
	}
}

// item finds what a subject like "pool engines" names in the initial configuration.
func (d *decoder) item(s *Settings, subject string) place {
	kind, name, _ := strings.Cut(subject, " ")
	list := reflect.ValueOf(s.Initial).Elem().FieldByName(strings.ToUpper(kind[:1]) + kind[1:] + "s")
	at := d.places[rootName+".Initial"]
	if !list.IsValid() || list.Kind() != reflect.Slice {
		return at
	}
	for i := range list.Len() {
		if list.Index(i).FieldByName("Name").String() == name {
			at = d.places[rootName+".Initial."+strings.ToUpper(kind[:1])+kind[1:]+"s["+strconv.Itoa(i)+"]"]
		}
	}
	return at
}
