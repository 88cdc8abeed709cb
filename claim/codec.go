package claim

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// packed is a shard's value as it is stored once it is over packAbove bytes:
// deflated, for every write carries all of it and records resemble each other.
type packed struct {
	Deflated []byte `json:"z"`
}

const (
	// packAbove keeps small values readable.
	packAbove = 512
	// packLevel takes a few tenths of a millisecond for a usual shard.
	packLevel = flate.DefaultCompression
	// maxUnpacked bounds what one value may unpack to, so that a broken one
	// can't fill the memory.
	maxUnpacked = 4 * objectapi.MaxValueBytes
)

// packers are kept, for a new one takes a megabyte.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, packLevel)
	if err != nil {
		panic(err) // of a level that there is not
	}
	return w
}}

// pack returns the value to store for a shard's JSON.
func pack(plain []byte) (json.RawMessage, error) {
	if len(plain) <= packAbove {
		return plain, nil
	}
	var out bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(packed{Deflated: out.Bytes()})
}

// unpack reverses pack.
func unpack(data json.RawMessage) ([]byte, error) {
	var p packed
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Annotate(err, "step decode claim shard")
	}
	if p.Deflated == nil {
		return data, nil
	}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p.Deflated)), maxUnpacked+1)
	plain, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Annotate(err, "step unpack claim shard")
	}
	if len(plain) > maxUnpacked {
		return nil, errors.Annotate(objectapi.ErrTooLarge, "step unpack claim shard")
	}
	return plain, nil
}
