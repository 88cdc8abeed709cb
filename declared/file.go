package declared

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/config"
)

// maxFileBytes is the maximum input size of DecodeManifests. Bytes beyond it
// are not read.
const maxFileBytes = 64 << 20

// Manifest is one object in a file that an operator applies.
type Manifest struct {
	Kind string          `json:"kind" validate:"required,oneof=ModelPool WorkspacePolicy BackendServerSet ServiceLevel"`
	Name string          `json:"name" validate:"required,name"`
	Spec json.RawMessage `json:"spec" validate:"required"`
}

// DecodedObject is a manifest with its validated value. Data is the value in
// the form in which the store keeps it.
type DecodedObject struct {
	Kind string
	Name string
	Data json.RawMessage
	Spec Spec
}

// DecodeFile reads the objects of a file; see DecodeManifests.
func DecodeFile(path string) ([]DecodedObject, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "step read objects")
	}
	defer func() { _ = f.Close() }()
	objects, err := DecodeManifests(f)
	return objects, errors.Annotatef(err, "step read objects of %s", path)
}

// DecodeManifests reads consecutive JSON values, each a manifest or a list of
// manifests, and validates all of them. The error lists the faults of all
// objects (config.FieldErrorsOf); each path begins with the index of the object,
// counted from 0.
func DecodeManifests(r io.Reader) ([]DecodedObject, error) {
	raws, err := splitManifests(io.LimitReader(r, maxFileBytes))
	if err != nil {
		return nil, err
	}
	var out []DecodedObject
	var faults config.FieldErrors
	seen := map[objectKey]int{}
	for i, raw := range raws {
		d, err := decodeManifest(raw)
		if found := config.FieldErrorsOf(err); found != nil {
			faults = append(faults, found.WithPrefix(fmt.Sprintf("[%d]", i))...)
			continue
		}
		if err != nil {
			return nil, err
		}
		key := objectKey{d.Kind, d.Name}
		if j, ok := seen[key]; ok {
			faults = append(faults, config.FieldError{
				Path: fmt.Sprintf("[%d].name", i), Message: fmt.Sprintf("repeats %s %q of [%d]", d.Kind, d.Name, j),
			})
		}
		seen[key] = i
		out = append(out, d)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return out, nil
}

// splitManifests returns the manifests without decoding them.
func splitManifests(r io.Reader) ([]json.RawMessage, error) {
	var out []json.RawMessage
	d := json.NewDecoder(r)
	for {
		var raw json.RawMessage
		err := d.Decode(&raw)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, config.FieldErrors{{Path: "", Message: fmt.Sprintf("at byte %d: %v", d.InputOffset(), err)}}
		}
		if !bytes.HasPrefix(raw, []byte("[")) {
			out = append(out, raw)
			continue
		}
		var list []json.RawMessage
		if err := json.Unmarshal(raw, &list); err != nil {
			return nil, errors.Trace(err)
		}
		out = append(out, list...)
	}
}

func decodeManifest(raw json.RawMessage) (DecodedObject, error) {
	var m Manifest
	if err := config.Decode(raw, &m); err != nil {
		return DecodedObject{}, err
	}
	spec, err := Decode(m.Kind, m.Spec)
	if found := config.FieldErrorsOf(err); found != nil {
		return DecodedObject{}, found.WithPrefix("spec")
	}
	if err != nil {
		return DecodedObject{}, err
	}
	var data bytes.Buffer
	if err := json.Compact(&data, m.Spec); err != nil {
		return DecodedObject{}, errors.Trace(err)
	}
	return DecodedObject{Kind: m.Kind, Name: m.Name, Data: data.Bytes(), Spec: spec}, nil
}
