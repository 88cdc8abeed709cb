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

// compressedValue is the stored form of a shard whose JSON is longer than
// compressThreshold bytes. It is deflated because every write carries the whole
// shard and its records are similar to one another.
type compressedValue struct {
	Deflated []byte `json:"z"`
}

const (
	// compressThreshold is the size in bytes up to which a value is stored as
	// plain JSON, so that small values stay readable.
	compressThreshold = 512
	// compressLevel takes a few tenths of a millisecond for a typical shard.
	compressLevel = flate.DefaultCompression
	// maxDecompressedBytes limits the decompressed size of one value, so that a
	// corrupt value can't exhaust memory.
	maxDecompressedBytes = 4 * objectapi.MaxValueBytes
)

// flateWriters are pooled because a new one allocates a megabyte.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, compressLevel)
	if err != nil {
		panic(err) // invalid compression level
	}
	return w
}}

// compress returns the value to store for a shard's JSON.
func compress(plain []byte) (json.RawMessage, error) {
	if len(plain) <= compressThreshold {
		return plain, nil
	}
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(compressedValue{Deflated: out.Bytes()})
}

// decompress reverses compress.
func decompress(data json.RawMessage) ([]byte, error) {
	var p compressedValue
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Annotate(err, "step decode claim shard")
	}
	if p.Deflated == nil {
		return data, nil
	}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p.Deflated)), maxDecompressedBytes+1)
	plain, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Annotate(err, "step unpack claim shard")
	}
	if len(plain) > maxDecompressedBytes {
		return nil, errors.Annotate(objectapi.ErrTooLarge, "step unpack claim shard")
	}
	return plain, nil
}
