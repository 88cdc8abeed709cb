package slo

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// ErrInvalidHistogram means that an encoded histogram is damaged or has another geometry.
const ErrInvalidHistogram = errors.ConstError("invalid histogram")

// Geometry of all histograms; values are in microseconds. It is part of the wire format:
// histograms of different geometries can't be merged without loss.
const (
	lowestMicros      = 64
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// Histogram is a distribution of latencies from 64 µs to one hour, with two significant digits.
// Values outside that range are counted at its bounds. It is not safe for concurrent use. Its
// JSON form is the compressed V2 encoding of HdrHistogram.
type Histogram struct {
	packed *hdr.PackedHistogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{packed: hdr.NewPacked(lowestMicros, highestMicros, significantDigits)}
}

// Record adds one latency.
func (h *Histogram) Record(d time.Duration) {
	v := min(max(d.Microseconds(), lowestMicros), highestMicros)
	// It fails only outside the bounds or at 2^63 values.
	_ = h.packed.RecordValue(v)
}

// Merge adds all counts of from.
func (h *Histogram) Merge(from *Histogram) { h.packed.Merge(from.packed) }

// Clone returns an independent copy.
func (h *Histogram) Clone() *Histogram { return &Histogram{packed: h.packed.Clone()} }

// Count returns how many latencies were recorded.
func (h *Histogram) Count() int64 { return h.packed.TotalCount() }

// Quantile returns the latency at quantile q, from 0 to 1, or 0 if the histogram is empty.
func (h *Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.packed.ValueAtPercentile(q*100)) * time.Microsecond
}

// Max returns the highest latency, to two significant digits, or 0 if the histogram is empty.
func (h *Histogram) Max() time.Duration {
	if h.Count() == 0 {
		return 0
	}
	return time.Duration(h.packed.Max()) * time.Microsecond
}

// Bytes returns the size of the histogram in memory.
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
	if p.LowestTrackableValue() != lowestMicros || p.HighestTrackableValue() != highestMicros || p.SignificantFigures() != significantDigits {
		return errors.Annotate(ErrInvalidHistogram, "histogram has another geometry")
	}
	h.packed = p
	return nil
}
