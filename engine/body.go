package engine

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/juju/errors"
)

// Fields of the body that only the system may set. A caller's own are dropped.
const (
	fieldPriority   = "priority"
	fieldResumeFrom = "resume_from"
	fieldPriorText  = "prior_text"
	fieldGroup      = "kv_group"
	fieldStream     = "stream"
	fieldOptions    = "stream_options"
	fieldModel      = "model"
)

// KVGroupMember is a segment that another engine exported.
type KVGroupMember struct {
	Address string `json:"address"` // ip:port of the engine that holds it
	Handle  string `json:"handle"`
	Tokens  int64  `json:"tokens"`
}

// rewrite sets the system's fields in the caller's JSON object. It returns the
// new body in parts, so that a prompt of megabytes is not copied.
func rewrite(run *RunRequest) ([][]byte, error) {
	object := bytes.TrimSpace(run.Body)
	if len(object) < len("{}") || object[0] != '{' || object[len(object)-1] != '}' {
		return nil, errors.Annotate(ErrBadBody, "not an object")
	}
	if !run.BodyValidated && !json.Valid(object) {
		return nil, errors.Annotate(ErrBadBody, "malformed")
	}
	if mayHide(object) {
		return replaceFields(run, object)
	}
	return appendFields(run, object)
}

// reserved are the fields that must not reach the engine from a caller; the
// others that the system sets are always set.
var reserved = [][]byte{[]byte(fieldResumeFrom), []byte(fieldPriorText), []byte(fieldGroup)}

// letterEscapes begin the escapes of the letters and the underscore that
// reserved names consist of.
var letterEscapes = [][]byte{[]byte(`\u005`), []byte(`\u006`), []byte(`\u007`)}

// mayHide reports whether a body may hold a reserved field, plain or escaped. It
// is true of a prompt that speaks of one too, which only costs time.
func mayHide(object []byte) bool {
	in := func(part []byte) bool { return bytes.Contains(object, part) }
	return slices.ContainsFunc(reserved, in) || slices.ContainsFunc(letterEscapes, in)
}

// appendFields puts the system's fields at the end of the object, where they
// prevail over the caller's of the same name: the last of two holds. This reads
// no byte of the prompt but to look for reserved names.
func appendFields(run *RunRequest, object []byte) ([][]byte, error) {
	own, err := run.fields()
	if err != nil {
		return nil, err
	}
	head := bytes.TrimRight(object[:len(object)-1], " \t\r\n")
	tail := make([]byte, 0, tailBytes)
	if len(head) > len("{") {
		tail = append(tail, ',')
	}
	for i, f := range own {
		if i > 0 {
			tail = append(tail, ',')
		}
		tail = append(append(append(append(tail, '"'), f.name...), `":`...), f.value...)
	}
	return [][]byte{head, append(tail, '}')}, nil
}

// replaceFields decodes the object's fields, drops the reserved ones and sets
// the system's own.
func replaceFields(run *RunRequest, object []byte) ([][]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, errors.WithType(err, ErrBadBody)
	}
	for _, name := range reserved {
		delete(fields, string(name))
	}
	own, err := run.fields()
	if err != nil {
		return nil, err
	}
	for _, f := range own {
		fields[f.name] = f.value
	}
	return joinFields(fields), nil
}

// tailBytes is room for the system's fields, but for the group and prior text.
const tailBytes = 160

// field is a field of the body that the system sets.
type field struct {
	name  string
	value json.RawMessage
}

// fields returns what the system sets.
func (r *RunRequest) fields() ([]field, error) {
	out := make([]field, 0, 7)
	out = append(out,
		field{fieldStream, json.RawMessage("true")},
		field{fieldOptions, json.RawMessage(`{"include_usage":true}`)},
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
		if err := set(fieldGroup, r.KVGroup); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// joinFields writes the object in parts: names in order, values in place.
func joinFields(fields map[string]json.RawMessage) [][]byte {
	var parts [][]byte
	lead := "{"
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		quoted, _ := json.Marshal(name) // a string always marshals
		parts = append(parts, []byte(lead), quoted, []byte(":"), fields[name])
		lead = ","
	}
	return append(parts, []byte("}"))
}
