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

// Tags that this package adds to those of the validator (see also distinctTag):
//
//	name       a name of an object, VM, zone and the like
//	addrport   IP:PORT, as 10.0.0.7:8080 or [::1]:8080

// tagMessage marks a fault whose param is its whole text.
const tagMessage = "message"

// namePattern keeps names safe in URLs, metrics and logs.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,126}[a-z0-9])?$`)

var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyOf)
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		return time.Duration(f.Int())
	}, Duration(0))
	mustRegister(v, "name", func(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) })
	mustRegister(v, "addrport", func(f validator.FieldLevel) bool { return IsAddrPort(f.Field().String()) })
	return v
}

func mustRegister(v *validator.Validate, tag string, rule validator.Func) {
	if err := v.RegisterValidation(tag, rule); err != nil {
		panic(err) // only for an empty or reserved tag
	}
}

// RegisterTagValidation adds a validate tag. Call it from package initialisation only.
func RegisterTagValidation(tag string, rule validator.Func) { mustRegister(rules, tag, rule) }

// ReportError adds a fault of a struct rule. field is the Go name, key the JSON key.
func ReportError(sl validator.StructLevel, value any, key, field, message string) {
	sl.ReportError(value, key, field, tagMessage, message)
}

// RegisterStructValidation adds a rule over several fields of the types. Call it from
// package initialisation only. The rule reports with Report.
func RegisterStructValidation(rule validator.StructLevelFunc, types ...any) {
	rules.RegisterStructValidation(rule, types...)
}

// IsName reports whether s may name an object.
func IsName(s string) bool { return namePattern.MatchString(s) }

// IsAddrPort reports whether s is IP:PORT.
func IsAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// Validate checks a struct by its validate and distinct tags. The error is a
// Faults, or nil.
func Validate(v any) error {
	err := rules.Struct(v)
	var found validator.ValidationErrors
	if err != nil && !errors.As(err, &found) {
		return errors.Trace(err)
	}
	faults := findDoubled(reflect.ValueOf(v), "")
	for _, f := range found {
		faults = append(faults, FieldError{pathOf(f), messageOf(f)})
	}
	return faults.err()
}

// pathOf drops the name of the Go type that the namespace begins with.
func pathOf(f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	return path
}

func messageOf(f validator.FieldError) string {
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
		return "must be at least " + f.Param() + countOf(f)
	case "max", "lte":
		return "must be at most " + f.Param() + countOf(f)
	case "gt":
		return "must be more than " + f.Param()
	case "lt":
		return "must be less than " + f.Param()
	}
	return strings.TrimSpace(f.Tag() + " " + f.Param())
}

func countOf(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.Slice, reflect.Map:
		return " in number"
	case reflect.String:
		return " characters"
	}
	return ""
}
