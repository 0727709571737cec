// Package validation holds the value checks that the manifest and the
// settings share, and words their failures.
package validation

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// NamePattern is what names look like: they stand in URLs, labels and logs.
const NamePattern = `^[a-z0-9][a-z0-9._-]{0,62}$`

var name = regexp.MustCompile(NamePattern)

// New returns a validator that also knows the tag "name".
func New() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	err := v.RegisterValidation("name", func(field validator.FieldLevel) bool {
		return name.MatchString(field.Field().String())
	})
	if err != nil {
		panic(err)
	}
	return v
}

// Describe says what a field must be, for a person.
func Describe(failure validator.FieldError) string {
	parameter := failure.Param()
	switch failure.Tag() {
	case "required":
		return "is required"
	case "min":
		return "must be at least " + parameter + unit(failure)
	case "max":
		return "must be at most " + parameter + unit(failure)
	case "len":
		return "must have a length of " + parameter
	case "oneof":
		return "must be one of " + strings.ReplaceAll(parameter, " ", ", ") + shown(failure)
	case "unique":
		return "must have each " + strings.ToLower(parameter) + " once"
	case "name":
		return "must match " + NamePattern + shown(failure)
	case "hexadecimal":
		return "must be hexadecimal"
	case "lowercase":
		return "must be in lower case"
	case "hostname_port", "tcp_addr":
		return "must be an address with a port" + shown(failure)
	case "url", "http_url":
		return "must be a URL" + shown(failure)
	default:
		return "must be " + failure.Tag() + shown(failure)
	}
}

// unit names what the limit of a sequence counts.
func unit(failure validator.FieldError) string {
	switch failure.Kind().String() {
	case "slice", "map":
		return " entries"
	case "string":
		return " characters"
	default:
		return shown(failure)
	}
}

func shown(failure validator.FieldError) string {
	return fmt.Sprintf(", not %v", quoted(failure.Value()))
}

func quoted(value any) any {
	if text, ok := value.(fmt.Stringer); ok {
		return text.String()
	}
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return value
}
