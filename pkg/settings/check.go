package settings

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Check reports what is wrong with settings that were made in a program.
func Check(s *Settings) error {
	return errors.Wrap(rules().Struct(s), "check settings")
}

func rules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
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
