package config

import (
	"sort"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid matches every FieldErrors with errors.Is.
const ErrInvalid = errors.ConstError("invalid JSON values")

// FieldError is one error in a JSON value.
type FieldError struct {
	Path    string `json:"path"` // such as models[0].name; empty for the whole value
	Message string `json:"message"`
}

// String returns the path and the message on one line.
func (f FieldError) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// FieldErrors is the error that lists all errors in a JSON value, sorted by path.
type FieldErrors []FieldError

// Error implements error, with one line per FieldError.
func (fs FieldErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (fs FieldErrors) Is(target error) bool { return target == ErrInvalid }

// FieldErrorsOf returns the FieldErrors in the chain of err, or nil if there are none.
func FieldErrorsOf(err error) FieldErrors {
	var fs FieldErrors
	if errors.As(err, &fs) {
		return fs
	}
	return nil
}

// WithPrefix returns the errors with prefix put before their paths.
func (fs FieldErrors) WithPrefix(prefix string) FieldErrors {
	out := make(FieldErrors, len(fs))
	for i, f := range fs {
		out[i] = FieldError{Path: joinPath(prefix, f.Path), Message: f.Message}
	}
	return out
}

// errOrNil returns fs sorted by path, or a nil error if fs is empty. Converting an
// empty FieldErrors to error would give a non-nil error.
func (fs FieldErrors) errOrNil() error {
	if len(fs) == 0 {
		return nil
	}
	sort.SliceStable(fs, func(i, j int) bool { return fs[i].Path < fs[j].Path })
	return fs
}

// joinPath joins two parts of a path. List indexes such as [0] follow without a dot.
func joinPath(prefix, path string) string {
	switch {
	case prefix == "":
		return path
	case path == "" || strings.HasPrefix(path, "["):
		return prefix + path
	}
	return prefix + "." + path
}
