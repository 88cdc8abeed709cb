package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/juju/errors"
)

// Decode reads one JSON value into the struct that into points to and checks
// it by its validate tags. What JSON leaves out keeps its value, so defaults
// are set before. The error is a Faults, or nil.
func Decode(data []byte, into any) error {
	faults := decodeInto(data, reflect.ValueOf(into).Elem(), "")
	if len(faults) == 0 {
		return Validate(into)
	}
	// The rules are checked as well, for the values that could be read.
	unread := map[string]bool{}
	for _, f := range faults {
		unread[f.Path] = true
	}
	for _, f := range FieldErrorsOf(Validate(into)) {
		if !unread[f.Path] {
			faults = append(faults, f)
		}
	}
	return faults.err()
}

// decodeInto reads raw into v and goes on after a fault.
func decodeInto(raw json.RawMessage, v reflect.Value, path string) FieldErrors {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return nil
	}
	if !isLeaf(v) {
		switch v.Kind() {
		case reflect.Pointer:
			if v.IsNil() {
				v.Set(reflect.New(v.Type().Elem()))
			}
			return decodeInto(raw, v.Elem(), path)
		case reflect.Struct:
			return decodeStruct(raw, v, path)
		case reflect.Slice:
			return decodeSlice(raw, v, path)
		}
	}
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		return FieldErrors{{path, plain(err)}}
	}
	return nil
}

// isLeaf reports whether encoding/json reads the value in one go.
func isLeaf(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func decodeStruct(raw json.RawMessage, v reflect.Value, path string) FieldErrors {
	members, faults := readMembers(raw, path)
	fields := fieldsOf(v.Type())
	for _, m := range members {
		at := join(path, m.key)
		if i, ok := fields[m.key]; ok {
			faults = append(faults, decodeInto(m.value, v.Field(i), at)...)
		} else {
			faults = append(faults, FieldError{at, "unknown key"})
		}
	}
	return faults
}

func decodeSlice(raw json.RawMessage, v reflect.Value, path string) FieldErrors {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return FieldErrors{{path, plain(err)}}
	}
	var faults FieldErrors
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		faults = append(faults, decodeInto(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return faults
}

type member struct {
	key   string
	value json.RawMessage
}

// readMembers splits a JSON object. Of a doubled key the first value counts
// and the second is a fault: encoding/json would silently take the last.
func readMembers(raw json.RawMessage, path string) ([]member, FieldErrors) {
	d := json.NewDecoder(bytes.NewReader(raw))
	open, err := d.Token()
	if err != nil {
		return nil, FieldErrors{{path, plain(err)}}
	}
	if open != json.Delim('{') {
		return nil, FieldErrors{{path, "must be an object"}}
	}
	var members []member
	var faults FieldErrors
	seen := map[string]bool{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return members, append(faults, FieldError{path, plain(err)})
		}
		m := member{key: key.(string)}
		if err := d.Decode(&m.value); err != nil {
			return members, append(faults, FieldError{join(path, m.key), plain(err)})
		}
		if seen[m.key] {
			faults = append(faults, FieldError{join(path, m.key), "key given twice"})
			continue
		}
		seen[m.key] = true
		members = append(members, m)
	}
	if _, err := d.Token(); err != nil {
		faults = append(faults, FieldError{path, plain(err)})
	} else if _, err := d.Token(); err != io.EOF {
		faults = append(faults, FieldError{path, "something follows the JSON value"})
	}
	return members, faults
}

// fieldsOf returns the index of each field by its JSON key.
func fieldsOf(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		if key := keyOf(t.Field(i)); key != "" {
			out[key] = i
		}
	}
	return out
}

func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if key == "-" {
		return ""
	}
	return key
}

// plain words a JSON error without the Go types in it.
func plain(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("must be %s, not a %s", typeName(wrongType.Type), wrongType.Value)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the JSON ends too soon"
	}
	return err.Error()
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	if t.Implements(reflect.TypeFor[encoding.TextMarshaler]()) {
		return "a text"
	}
	return "a whole number in range"
}
