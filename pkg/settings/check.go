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

// Check validates settings that were created in a program instead of parsed from a file.
func Check(s *Settings) error {
	if err := validate.Struct(s); err != nil {
		return errors.Wrap(err, "check settings")
	}
	if s.Initial == nil {
		return nil
	}
	return errors.Wrap(check.Config(nil, s.Initial), "check initial configuration")
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.RegisterValidation("ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	if err != nil {
		// RegisterValidation fails only for an empty tag or a nil function.
		panic(err)
	}
	return v
}

// check adds the violations of the structs' validation tags and of the rules of the
// initial configuration.
func (d *decoder) check(s *Settings) {
	var fieldErrs validator.ValidationErrors
	if errors.As(validate.Struct(s), &fieldErrs) {
		for _, f := range fieldErrs {
			d.addFieldError(f)
		}
	}
	if len(d.problems) > 0 {
		return
	}
	var problems check.Problems
	if s.Initial != nil && errors.As(check.Config(nil, s.Initial), &problems) {
		for _, p := range problems {
			loc := d.findItem(s, p.Subject)
			d.addProblem(loc.offset, loc.setting, "%s", p.Subject+" "+p.Detail)
		}
	}
}

// addFieldError reports a missing setting at the position of the object that lacks it. A
// setting that could not be decoded has been reported already and is skipped.
func (d *decoder) addFieldError(f validator.FieldError) {
	name := f.StructNamespace()
	if loc, ok := d.locations[name]; ok {
		if !d.undecodable[loc.setting] {
			d.addProblem(loc.offset, loc.setting, "%s", fieldReason(f))
		}
		return
	}
	for name != "" {
		end := max(strings.LastIndexByte(name, '.'), 0)
		name = name[:end]
		if loc, ok := d.locations[name]; ok {
			d.addProblem(loc.offset, joinPath(loc.setting, f.Field()), "%s", fieldReason(f))
			return
		}
	}
}

func fieldReason(f validator.FieldError) string {
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
		return "does not have the length " + f.Param()
	case "hexadecimal":
		return "is not hexadecimal"
	case "oneof":
		return "is not one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "excludesall":
		return "holds one of the characters " + f.Param()
	default:
		return "violates the rule " + f.Tag()
	}
}

// findItem returns the location of the item of the initial configuration that a subject
// such as "pool engines" names, or else the location of the initial configuration.
func (d *decoder) findItem(s *Settings, subject string) location {
	kind, name, _ := strings.Cut(subject, " ")
	list := reflect.ValueOf(s.Initial).Elem().FieldByName(strings.ToUpper(kind[:1]) + kind[1:] + "s")
	loc := d.locations[rootName+".Initial"]
	if !list.IsValid() || list.Kind() != reflect.Slice {
		return loc
	}
	for i := range list.Len() {
		if list.Index(i).FieldByName("Name").String() == name {
			loc = d.locations[rootName+".Initial."+strings.ToUpper(kind[:1])+kind[1:]+"s["+strconv.Itoa(i)+"]"]
		}
	}
	return loc
}
