package responsehead

import (
	"net/http"
	"testing"

	"github.com/juju/errors"
)

// Guards against a status that no final response has, and against refusing one that is only unusual.
func TestStatusOfFinalResponse(t *testing.T) {
	for status, valid := range map[int]bool{
		0: false, 20: false, 99: false, 100: false, 101: false, 199: false, 200: true, 204: true, 299: true,
		304: true, 404: true, 418: true, 500: true, 599: true, 600: false, 999: false,
	} {
		err := Check(status, http.Header{"X-A": {"1"}})
		if valid && err != nil || !valid && !errors.Is(err, ErrInvalid) {
			t.Errorf("%d: %v", status, err)
		}
	}
}

// Guards against a head taken for that of an interim response, so that the body behind it is read as
// the next head.
func TestInterimStatus(t *testing.T) {
	for status, want := range map[int]bool{0: false, 99: false, 100: true, 101: false, 102: true, 199: true, 200: false} {
		if got := IsInterim(status); got != want {
			t.Errorf("%d: %v", status, got)
		}
	}
}

// Guards against a line of the head that is no field, and against refusing an unusual name.
func TestNamesOfFields(t *testing.T) {
	for name, valid := range map[string]bool{
		"X-A": true, "x": true, "!#$%&'*+-.^_`|~09azAZ": true,
		"": false, "X A": false, "Content-Length ": false, " X": false, "X\x01": false, "X\x7f": false, "X\t": false,
		"X:": false, "X(": false, "X\u00e9": false,
	} {
		err := Check(http.StatusOK, http.Header{"X-A": {"1"}, name: {"1"}})
		if valid && err != nil || !valid && !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: %v", name, err)
		}
	}
}
