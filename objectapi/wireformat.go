package objectapi

import (
	"net/http"

	"github.com/juju/errors"
)

// The object API over HTTP, as Client speaks it:
//
//	GET    /objects/KIND/NAME              200 Object
//	GET    /objects/KIND?prefix=P          200 Listing
//	POST   /objects/KIND/NAME  value       201 Object
//	PUT    /objects/KIND/NAME  value       200 Object, If-Match: "VERSION"
//	DELETE /objects/KIND/NAME              200 tombstone, If-Match: "VERSION"
//	GET    /watch?kinds=A,B&after=N&wait_ms=M   200 Listing
//
// Every other status carries an ErrorBody.

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Codes of an ErrorBody. CodeUnavailable and CodeThrottled say that the call
// was refused before it ran.
const (
	CodeNotFound    = "not_found"
	CodeExists      = "exists"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
	CodeThrottled   = "throttled"
	CodeGap         = "gap"
	CodeTooLarge    = "too_large"
	CodeBadRequest  = "bad_request"
)

// codeError joins a code with its status and the sentinel it stands for.
type codeError struct {
	Code   string
	Status int
	Err    error
}

var codeErrors = []codeError{
	{CodeNotFound, http.StatusNotFound, ErrNotFound},
	{CodeExists, http.StatusConflict, ErrExists},
	{CodeConflict, http.StatusConflict, ErrConflict},
	{CodeUnavailable, http.StatusServiceUnavailable, ErrUnavailable},
	{CodeThrottled, http.StatusTooManyRequests, ErrThrottled},
	{CodeGap, http.StatusGone, ErrGap},
	{CodeTooLarge, http.StatusRequestEntityTooLarge, ErrTooLarge},
}

// ErrorStatus returns the HTTP status and the code that a server of the object
// API answers for err; ok is false for errors that have none.
func ErrorStatus(err error) (status int, code string, ok bool) {
	for _, ce := range codeErrors {
		if errors.Is(err, ce.Err) {
			return ce.Status, ce.Code, true
		}
	}
	return http.StatusInternalServerError, "", false
}

// errorOfCode returns the sentinel of a code, nil for an unknown one.
func errorOfCode(code string) error {
	for _, ce := range codeErrors {
		if ce.Code == code {
			return ce.Err
		}
	}
	return nil
}
