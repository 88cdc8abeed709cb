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

// Decode reads one JSON object into the struct that into points to and validates it.
// A field that is missing from the JSON keeps its value, so the caller sets
// defaults before the call. The error is a FieldErrors, or nil.
func Decode(data []byte, into any) error {
	errs := decodeInto(data, reflect.ValueOf(into).Elem(), "")
	if len(errs) == 0 {
		return Validate(into)
	}
	// The values that could be decoded are validated as well.
	unread := map[string]bool{}
	for _, f := range errs {
		unread[f.Path] = true
	}
	for _, f := range FieldErrorsOf(Validate(into)) {
		if !unread[f.Path] {
			errs = append(errs, f)
		}
	}
	return errs.errOrNil()
}

// decodeInto decodes raw into v. It continues after an error.
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
		return FieldErrors{{path, describeJSONError(err)}}
	}
	return nil
}

// isLeaf reports whether v is decoded by its own unmarshaler instead of field by field.
func isLeaf(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func decodeStruct(raw json.RawMessage, v reflect.Value, path string) FieldErrors {
	members, errs := readMembers(raw, path)
	fields := fieldIndexes(v.Type())
	for _, m := range members {
		at := joinPath(path, m.key)
		if i, ok := fields[m.key]; ok {
			errs = append(errs, decodeInto(m.value, v.Field(i), at)...)
		} else {
			errs = append(errs, FieldError{at, "unknown key"})
		}
	}
	return errs
}

func decodeSlice(raw json.RawMessage, v reflect.Value, path string) FieldErrors {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return FieldErrors{{path, describeJSONError(err)}}
	}
	var errs FieldErrors
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		errs = append(errs, decodeInto(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return errs
}

type member struct {
	key   string
	value json.RawMessage
}

// readMembers splits a JSON object into its members. For a duplicate key it keeps the
// first value and reports an error. encoding/json would silently take the last.
func readMembers(raw json.RawMessage, path string) ([]member, FieldErrors) {
	d := json.NewDecoder(bytes.NewReader(raw))
	open, err := d.Token()
	if err != nil {
		return nil, FieldErrors{{path, describeJSONError(err)}}
	}
	if open != json.Delim('{') {
		return nil, FieldErrors{{path, "must be an object"}}
	}
	var members []member
	var errs FieldErrors
	seen := map[string]bool{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return members, append(errs, FieldError{path, describeJSONError(err)})
		}
		m := member{key: key.(string)}
		if err := d.Decode(&m.value); err != nil {
			return members, append(errs, FieldError{joinPath(path, m.key), describeJSONError(err)})
		}
		if seen[m.key] {
			errs = append(errs, FieldError{joinPath(path, m.key), "key given twice"})
			continue
		}
		seen[m.key] = true
		members = append(members, m)
	}
	if _, err := d.Token(); err != nil {
		errs = append(errs, FieldError{path, describeJSONError(err)})
	} else if _, err := d.Token(); err != io.EOF {
		errs = append(errs, FieldError{path, "something follows the JSON value"})
	}
	return members, errs
}

// fieldIndexes returns the index of each field by its JSON key.
func fieldIndexes(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		if key := jsonKey(t.Field(i)); key != "" {
			out[key] = i
		}
	}
	return out
}

// jsonKey returns the JSON key of a field, or "" if the field is not encoded.
func jsonKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if key == "-" {
		return ""
	}
	return key
}

// describeJSONError describes a JSON error without naming Go types.
func describeJSONError(err error) string {
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
