package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"
)

// Validate tags that this package adds to those of the validator (see also
// distinctTag):
//
//	name       name of an object, VM, zone and so on
//	addrport   IP:PORT, such as 10.0.0.7:8080 or [::1]:8080

// tagMessage is the tag of an error whose parameter is the complete message.
const tagMessage = "message"

// namePattern allows only names that are safe in URLs, metrics and logs.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,126}[a-z0-9])?$`)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonKey)
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		return time.Duration(f.Int())
	}, Duration(0))
	mustRegister(v, "name", func(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) })
	mustRegister(v, "addrport", func(f validator.FieldLevel) bool { return IsAddrPort(f.Field().String()) })
	return v
}

func mustRegister(v *validator.Validate, tag string, rule validator.Func) {
	if err := v.RegisterValidation(tag, rule); err != nil {
		panic(err) // the tag is empty or reserved
	}
}

// RegisterTagValidation adds a validate tag. It must only be called during package
// initialization.
func RegisterTagValidation(tag string, rule validator.Func) { mustRegister(structValidator, tag, rule) }

// ReportError reports an error from a struct validation. field is the Go name and key
// the JSON key of the field.
func ReportError(sl validator.StructLevel, value any, key, field, message string) {
	sl.ReportError(value, key, field, tagMessage, message)
}

// RegisterStructValidation adds a validation of several fields of the given types,
// which reports errors with ReportError. It must only be called during package
// initialization.
func RegisterStructValidation(rule validator.StructLevelFunc, types ...any) {
	structValidator.RegisterStructValidation(rule, types...)
}

// IsName reports whether s is a valid name of an object.
func IsName(s string) bool { return namePattern.MatchString(s) }

// IsAddrPort reports whether s has the form IP:PORT.
func IsAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// Validate checks a struct by its validate and distinct tags and its struct
// validations. The error is a FieldErrors, or nil.
func Validate(v any) error {
	err := structValidator.Struct(v)
	var found validator.ValidationErrors
	if err != nil && !errors.As(err, &found) {
		return errors.Trace(err)
	}
	errs := findDuplicates(reflect.ValueOf(v), "")
	for _, f := range found {
		errs = append(errs, FieldError{fieldPath(f), fieldMessage(f)})
	}
	return errs.errOrNil()
}

// fieldPath returns the path of an error without the Go type name at its start.
func fieldPath(f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	return path
}

// fieldMessage describes a validation error.
func fieldMessage(f validator.FieldError) string {
	switch f.Tag() {
	case tagMessage:
		return f.Param()
	case "required", "required_if", "required_without":
		return "is required"
	case "name":
		return fmt.Sprintf("%q is no name of lower-case letters, digits, dots, hyphens and underscores", f.Value())
	case "addrport":
		return fmt.Sprintf("%q is no IP:PORT", f.Value())
	case "url", "http_url":
		return fmt.Sprintf("%q is no URL", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is none of %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "min", "gte":
		return "must be at least " + f.Param() + countUnit(f)
	case "max", "lte":
		return "must be at most " + f.Param() + countUnit(f)
	case "gt":
		return "must be more than " + f.Param()
	case "lt":
		return "must be less than " + f.Param()
	}
	return strings.TrimSpace(f.Tag() + " " + f.Param())
}

// countUnit returns the unit of a limit on the length of a list, map or string.
func countUnit(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.Slice, reflect.Map:
		return " in number"
	case reflect.String:
		return " characters"
	}
	return ""
}
