package config

import (
	"sort"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid is what every Faults error is. Test with errors.Is.
const ErrInvalid = errors.ConstError("faults in JSON")

// FieldError is one thing wrong at one place.
type FieldError struct {
	Path    string `json:"path"` // as models[0].name; empty for the whole
	Message string `json:"message"`
}

// String returns the fault as one line.
func (f FieldError) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// FieldErrors is the error that lists all that is wrong, by path.
type FieldErrors []FieldError

// Error implements error, one fault a line.
func (fs FieldErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (fs FieldErrors) Is(target error) bool { return target == ErrInvalid }

// FieldErrorsOf returns the faults that err carries, nil if it carries none.
func FieldErrorsOf(err error) FieldErrors {
	var fs FieldErrors
	if errors.As(err, &fs) {
		return fs
	}
	return nil
}

// WithPrefix returns the faults with their paths put under prefix.
func (fs FieldErrors) WithPrefix(prefix string) FieldErrors {
	out := make(FieldErrors, len(fs))
	for i, f := range fs {
		out[i] = FieldError{Path: join(prefix, f.Path), Message: f.Message}
	}
	return out
}

// err returns nil for no faults, so that a nil error stays nil.
func (fs FieldErrors) err() error {
	if len(fs) == 0 {
		return nil
	}
	sort.SliceStable(fs, func(i, j int) bool { return fs[i].Path < fs[j].Path })
	return fs
}

func join(prefix, path string) string {
	switch {
	case prefix == "":
		return path
	case path == "" || strings.HasPrefix(path, "["):
		return prefix + path
	}
	return prefix + "." + path
}
