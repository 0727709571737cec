// Package validation contains the value checks that the manifest and the settings
// share, and their error messages.
package validation

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// NamePattern is the pattern of names. Names appear in URLs, metric labels and
// logs.
const NamePattern = `^[a-z0-9][a-z0-9._-]{0,62}$`

var nameRegexp = regexp.MustCompile(NamePattern)

// New returns a validator that also supports the tag "name", which requires a
// string that matches NamePattern.
func New() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	err := v.RegisterValidation("name", func(field validator.FieldLevel) bool {
		return nameRegexp.MatchString(field.Field().String())
	})
	if err != nil {
		panic(err)
	}
	return v
}

// Describe returns the rule that a field violates as a phrase to follow the name
// of the field, such as "must be at least 1, not 0".
func Describe(failure validator.FieldError) string {
	parameter := failure.Param()
	switch failure.Tag() {
	case "required":
		return "is required"
	case "min":
		return "must be at least " + parameter + unitOrValue(failure)
	case "max":
		return "must be at most " + parameter + unitOrValue(failure)
	case "len":
		return "must have a length of " + parameter
	case "oneof":
		return "must be one of " + strings.ReplaceAll(parameter, " ", ", ") + actualValue(failure)
	case "unique":
		return "must have each " + strings.ToLower(parameter) + " once"
	case "name":
		return "must match " + NamePattern + actualValue(failure)
	case "hexadecimal":
		return "must be hexadecimal"
	case "lowercase":
		return "must be in lower case"
	case "hostname_port", "tcp_addr":
		return "must be an address with a port" + actualValue(failure)
	case "url", "http_url":
		return "must be a URL" + actualValue(failure)
	default:
		return "must be " + failure.Tag() + actualValue(failure)
	}
}

// unitOrValue returns the phrase that follows a limit: the unit of a limit on a
// length, or the actual value of a number or duration.
func unitOrValue(failure validator.FieldError) string {
	switch failure.Kind().String() {
	case "slice", "map":
		return " entries"
	case "string":
		return " characters"
	default:
		return actualValue(failure)
	}
}

// actualValue returns the value of a field as a phrase to follow the rule.
func actualValue(failure validator.FieldError) string {
	return fmt.Sprintf(", not %v", quoted(failure.Value()))
}

// quoted returns a string in quotes, a value with a String method as text, and any
// other value unchanged.
func quoted(value any) any {
	if text, ok := value.(fmt.Stringer); ok {
		return text.String()
	}
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return value
}
