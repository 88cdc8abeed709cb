package slo

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// ErrInvalidHistogram means that an encoded histogram is damaged or of another
// geometry.
const ErrInvalidHistogram = errors.ConstError("invalid histogram")

// Geometry of all histograms, in microseconds. It is part of the wire format:
// histograms of two geometries can't be merged without loss.
const (
	lowestMicros  = 64
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 2
)

// Histogram is a distribution of latencies from 64 µs to an hour, with two
// significant digits. What lies outside is counted at the bound, not dropped.
// It is not safe for concurrent use. Its JSON form is the compressed V2 form of
// HdrHistogram.
type Histogram struct {
	packed *hdr.PackedHistogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{packed: hdr.NewPacked(lowestMicros, highestMicros, digits)}
}

// Record counts one latency.
func (h *Histogram) Record(d time.Duration) {
	v := min(max(d.Microseconds(), lowestMicros), highestMicros)
	// Fails only outside the bounds or at 2^63 values.
	_ = h.packed.RecordValue(v)
}

// Merge adds all counts of from.
func (h *Histogram) Merge(from *Histogram) { h.packed.Merge(from.packed) }

// Clone returns an independent copy.
func (h *Histogram) Clone() *Histogram { return &Histogram{packed: h.packed.Clone()} }

// Count returns how many latencies were recorded.
func (h *Histogram) Count() int64 { return h.packed.TotalCount() }

// Quantile returns the latency at q, from 0 to 1; 0 if nothing was recorded.
func (h *Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.packed.ValueAtPercentile(q*100)) * time.Microsecond
}

// Max returns the longest latency, to two digits.
func (h *Histogram) Max() time.Duration {
	if h.Count() == 0 {
		return 0
	}
	return time.Duration(h.packed.Max()) * time.Microsecond
}

// Bytes returns the memory that the histogram holds.
func (h *Histogram) Bytes() int { return h.packed.GetMemorySize() }

// MarshalText implements encoding.TextMarshaler.
func (h *Histogram) MarshalText() ([]byte, error) {
	data, err := h.packed.EncodeV2()
	return data, errors.Annotate(err, "step encode histogram")
}

// UnmarshalText implements encoding.TextUnmarshaler. Errors match ErrInvalidHistogram.
func (h *Histogram) UnmarshalText(data []byte) error {
	p, err := hdr.DecodePacked(data)
	if err != nil {
		return errors.WithType(errors.Annotate(err, "step decode histogram"), ErrInvalidHistogram)
	}
	if p.LowestTrackableValue() != lowestMicros || p.HighestTrackableValue() != highestMicros || p.SignificantFigures() != digits {
		return errors.Annotate(ErrInvalidHistogram, "other geometry")
	}
	h.packed = p
	return nil
}
