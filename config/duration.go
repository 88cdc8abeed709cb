package config

import (
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that JSON encodes as a string such as "1.5s" or "2m".
type Duration time.Duration

// D converts d to a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String formats d like a time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as 500ms, 2s or 1m", text)
	}
	*d = Duration(v)
	return nil
}
