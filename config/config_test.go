package config

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

type inner struct {
	Name string   `json:"name" validate:"required,name"`
	Wait Duration `json:"wait" validate:"min=1s,max=1m"`
}

type outer struct {
	Count   int     `json:"count" validate:"min=1"`
	Address string  `json:"address" validate:"omitempty,addrport"`
	Items   []inner `json:"items" validate:"dive" distinct:"Name"`
	One     *inner  `json:"one"`
	Hidden  string  `json:"-"`
}

func TestDecode(t *testing.T) {
	v := outer{Address: "10.0.0.1:80"}
	err := Decode([]byte(`{"count":2,"items":[{"name":"a","wait":"2s"}],"one":{"name":"b","wait":"1m"}}`), &v)
	if err != nil {
		t.Fatal(err)
	}
	want := outer{
		Count: 2, Address: "10.0.0.1:80", One: &inner{"b", Duration(time.Minute)},
		Items: []inner{{"a", Duration(2 * time.Second)}},
	}
	if d := cmp.Diff(want, v); d != "" {
		t.Fatal(d)
	}
}

// Decode must not stop at the first error: unknown, duplicate, mistyped and
// out-of-range values in one file must all be reported.
func TestDecodeReportsAllErrors(t *testing.T) {
	const file = `{
		"count": "two", "address": "host:80", "Hidden": "x", "colour": 1, "colour": 2,
		"items": [{"name": "a", "wait": "2s"}, {"name": "a", "wait": 3}, {"nam": "b", "wait": "2h"}],
		"one": []
	}`
	err := Decode([]byte(file), &outer{})
	if !errors.Is(err, ErrInvalid) {
		t.Fatalf("error %v", err)
	}
	want := FieldErrors{
		{"Hidden", "unknown key"},
		{"address", `"host:80" is no IP:PORT`},
		{"colour", "key given twice"},
		{"colour", "unknown key"},
		{"count", "must be a whole number in range, not a string"},
		{"items[1]", "repeats items[0]"},
		{"items[1].wait", "must be a text, not a number"},
		{"items[2].nam", "unknown key"},
		{"items[2].name", "is required"},
		{"items[2].wait", "must be at most 1m"},
		{"one", "must be an object"},
		{"one.name", "is required"},
		{"one.wait", "must be at least 1s"},
	}
	if d := cmp.Diff(want, FieldErrorsOf(err)); d != "" {
		t.Fatal(d)
	}
}

func TestDecodeMalformedJSON(t *testing.T) {
	for _, file := range []string{``, `[]`, `{`, `{"count":1`, `{"count":1} {}`, `{"count":}`, `{count:1}`} {
		if err := Decode([]byte(file), &outer{Count: 1}); !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: error %v", file, err)
		}
	}
}
