package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/juju/errors"
)

// change is one path at which two JSON values differ. An empty side means that
// the path is not there.
type change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String prints the change as a line.
func (c change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// difference lists the paths at which two JSON values differ, in order. Values
// that differ only in layout or in the order of keys are equal.
func difference(before, after json.RawMessage) ([]change, error) {
	a, err := leaves(before)
	if err != nil {
		return nil, errors.Trace(err)
	}
	b, err := leaves(after)
	if err != nil {
		return nil, errors.Trace(err)
	}
	paths := maps.Clone(a)
	maps.Copy(paths, b)
	var out []change
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		if a[p] != b[p] {
			out = append(out, change{Path: p, Old: a[p], New: b[p]})
		}
	}
	return out, nil
}

// leaves maps the path of each scalar, and of each empty object or array, to
// its text.
func leaves(data json.RawMessage) (map[string]string, error) {
	out := make(map[string]string)
	if len(data) == 0 {
		return out, nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber() // a revision over 2^53 must not look equal to its neighbour
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, errors.Annotate(err, "step decode value")
	}
	err := collect("", v, out)
	return out, errors.Trace(err)
}

func collect(path string, v any, out map[string]string) error {
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			if err := collect(path+"."+k, e, out); err != nil {
				return err
			}
		}
		if len(x) > 0 {
			return nil
		}
	case []any:
		for i, e := range x {
			if err := collect(fmt.Sprintf("%s[%d]", path, i), e, out); err != nil {
				return err
			}
		}
		if len(x) > 0 {
			return nil
		}
	}
	text, err := json.Marshal(v)
	out[path] = string(text)
	return errors.Annotate(err, "step encode value")
}
