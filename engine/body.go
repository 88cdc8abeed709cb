package engine

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/juju/errors"
)

// Fields of the request body that only this package may set. Values that a
// caller sends are dropped.
const (
	fieldPriority      = "priority"
	fieldResumeFrom    = "resume_from"
	fieldPriorText     = "prior_text"
	fieldKVGroup       = "kv_group"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
	fieldModel         = "model"
)

// KVGroupMember refers to a segment that another engine exported.
type KVGroupMember struct {
	Address string `json:"address"` // ip:port of the engine that holds the segment
	Handle  string `json:"handle"`
	Tokens  int64  `json:"tokens"`
}

// buildBody sets the system fields in the caller's JSON object. It returns the
// new body in parts, so that a prompt of several megabytes is not copied.
func buildBody(run *RunRequest) ([][]byte, error) {
	object := bytes.TrimSpace(run.Body)
	if len(object) < len("{}") || object[0] != '{' || object[len(object)-1] != '}' {
		return nil, errors.Annotate(ErrBadBody, "not an object")
	}
	if !run.BodyValidated && !json.Valid(object) {
		return nil, errors.Annotate(ErrBadBody, "malformed")
	}
	if mayContainReserved(object) {
		return replaceFields(run, object)
	}
	return appendFields(run, object)
}

// reservedFields must not reach the engine from a caller. The other system
// fields need no such check, because they are always set.
var reservedFields = [][]byte{[]byte(fieldResumeFrom), []byte(fieldPriorText), []byte(fieldKVGroup)}

// letterEscapes are the prefixes of the JSON escapes for the letters and the
// underscore of which reserved names consist.
var letterEscapes = [][]byte{[]byte(`\u005`), []byte(`\u006`), []byte(`\u007`)}

// mayContainReserved reports whether a body may contain a reserved field, plain
// or escaped. A prompt that merely mentions one is a false positive, which only
// costs time.
func mayContainReserved(object []byte) bool {
	in := func(part []byte) bool { return bytes.Contains(object, part) }
	return slices.ContainsFunc(reservedFields, in) || slices.ContainsFunc(letterEscapes, in)
}

// appendFields appends the system fields to the object, where they override the
// caller's fields of the same name, because the last duplicate wins. The prompt
// is scanned only for reserved names.
func appendFields(run *RunRequest, object []byte) ([][]byte, error) {
	system, err := run.systemFields()
	if err != nil {
		return nil, err
	}
	head := bytes.TrimRight(object[:len(object)-1], " \t\r\n")
	tail := make([]byte, 0, appendedBytes)
	if len(head) > len("{") {
		tail = append(tail, ',')
	}
	for i, f := range system {
		if i > 0 {
			tail = append(tail, ',')
		}
		tail = append(append(append(append(tail, '"'), f.name...), `":`...), f.value...)
	}
	return [][]byte{head, append(tail, '}')}, nil
}

// replaceFields decodes the fields of the object, drops the reserved ones and
// sets the system fields.
func replaceFields(run *RunRequest, object []byte) ([][]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, errors.WithType(err, ErrBadBody)
	}
	for _, name := range reservedFields {
		delete(fields, string(name))
	}
	system, err := run.systemFields()
	if err != nil {
		return nil, err
	}
	for _, f := range system {
		fields[f.name] = f.value
	}
	return encodeFields(fields), nil
}

// appendedBytes is the initial capacity, in bytes, for the appended system
// fields, not counting the KV group and the prior text.
const appendedBytes = 160

// field is a system field of the body.
type field struct {
	name  string
	value json.RawMessage
}

// systemFields returns the fields that this package sets in the body.
func (r *RunRequest) systemFields() ([]field, error) {
	out := make([]field, 0, 7)
	out = append(out,
		field{fieldStream, json.RawMessage("true")},
		field{fieldStreamOptions, json.RawMessage(`{"include_usage":true}`)},
		field{fieldPriority, strconv.AppendInt(nil, int64(r.Priority), 10)})
	set := func(name string, value any) error {
		data, err := json.Marshal(value)
		out = append(out, field{name, data})
		return errors.Annotate(err, name)
	}
	if r.Model != "" {
		if err := set(fieldModel, r.Model); err != nil {
			return nil, err
		}
	}
	if r.ResumeFrom > 0 {
		out = append(out, field{fieldResumeFrom, strconv.AppendUint(nil, r.ResumeFrom, 10)})
		if err := set(fieldPriorText, string(r.PriorText)); err != nil {
			return nil, err
		}
	}
	if len(r.KVGroup) > 0 {
		if err := set(fieldKVGroup, r.KVGroup); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// encodeFields returns the encoded object in parts, sorted by name. The values
// are not copied.
func encodeFields(fields map[string]json.RawMessage) [][]byte {
	var parts [][]byte
	lead := "{"
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		quoted, _ := json.Marshal(name) // marshaling a string never fails
		parts = append(parts, []byte(lead), quoted, []byte(":"), fields[name])
		lead = ","
	}
	return append(parts, []byte("}"))
}
