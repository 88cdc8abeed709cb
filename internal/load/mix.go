package load

import (
	"embed"
	"encoding/json"
	"math"
	"os"
	"time"

	"github.com/juju/errors"
)

// ErrMix means that a mix can't be read or makes no sense.
const ErrMix = errors.ConstError("invalid load mix")

// Kinds of request in a mix.
const (
	KindChat       = "chat"
	KindCompletion = "completion"
	KindService    = "service"
)

// maxTokens is the longest prompt that the generator sends.
const maxTokens = 1_000_000

//go:embed mixes/*.json
var builtin embed.FS

// Range is a range of token counts. Values are drawn log-uniformly from it.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Mean returns the mean of the log-uniform distribution over the range.
func (r Range) Mean() float64 {
	if r.Max <= r.Min {
		return float64(r.Min)
	}
	return float64(r.Max-r.Min) / math.Log(float64(r.Max)/float64(r.Min))
}

// at maps a uniform u in [0,1) to a value of the range.
func (r Range) at(u float64) int {
	ratio := float64(r.Max) / float64(r.Min)
	return int(math.Round(float64(r.Min) * math.Pow(ratio, u)))
}

// ClassSpec describes one kind of work in a mix.
type ClassSpec struct {
	Name         string  `json:"name"`
	Kind         string  `json:"kind"`    // chat, completion or service
	Service      string  `json:"service"` // of KindService
	Share        float64 `json:"share"`   // of arrivals; shares need not add up to 1
	PromptTokens Range   `json:"prompt_tokens"`
	OutputTokens Range   `json:"output_tokens"`
	// SharedTokens is how many tokens at the start of each prompt are the same
	// for all requests of this class and workspace in a run. Prefix caches are
	// of use for these only.
	SharedTokens int     `json:"shared_tokens"`
	TimeoutMS    int64   `json:"timeout_ms"`
	Stream       bool    `json:"stream"`
	KeyShare     float64 `json:"key_share"` // share with an Idempotency-Key
}

// Timeout returns the caller's time limit.
func (c *ClassSpec) Timeout() time.Duration {
	return time.Duration(c.TimeoutMS) * time.Millisecond
}

// WorkspaceShare gives a workspace its weight among the arrivals.
type WorkspaceShare struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Mix describes a workload.
type Mix struct {
	Name       string           `json:"name"`
	Model      string           `json:"model"`
	Workspaces []WorkspaceShare `json:"workspaces"`
	Classes    []ClassSpec      `json:"classes"`
}

// LoadMix returns the built-in mix of that name (derwent, atlas, or derwent-flood,
// in which one workspace sends four fifths of the requests), or reads the
// file of that name. Errors match ErrMix.
func LoadMix(name string) (*Mix, error) {
	data, err := builtin.ReadFile("mixes/" + name + ".json")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "step read mix %q", name), ErrMix)
	}
	m := &Mix{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "step decode mix %q", name), ErrMix)
	}
	return m, errors.Annotatef(m.Validate(), "mix %q", name)
}

// Validate reports the first fault of a mix; errors match ErrMix.
func (m *Mix) Validate() error {
	if m.Model == "" || len(m.Classes) == 0 || len(m.Workspaces) == 0 {
		return errors.Annotate(ErrMix, "model, classes and workspaces are required")
	}
	for i := range m.Classes {
		if err := m.Classes[i].validate(); err != nil {
			return errors.Annotatef(err, "classes[%d] %q", i, m.Classes[i].Name)
		}
	}
	for i, w := range m.Workspaces {
		if w.Name == "" || !(w.Weight > 0) {
			return errors.Annotatef(ErrMix, "workspaces[%d]: name and a weight above 0 are required", i)
		}
	}
	return nil
}

func (c *ClassSpec) validate() error {
	switch {
	case !(c.Share > 0):
		return errors.Annotate(ErrMix, "share must be above 0")
	case c.TimeoutMS <= 0:
		return errors.Annotate(ErrMix, "timeout_ms must be above 0")
	case !(c.KeyShare >= 0 && c.KeyShare <= 1):
		return errors.Annotate(ErrMix, "key_share must be within 0 and 1")
	}
	switch c.Kind {
	case KindService:
		if c.Service == "" {
			return errors.Annotate(ErrMix, "service is required")
		}
		return nil
	case KindChat, KindCompletion:
		return c.validateTokens()
	}
	return errors.Annotatef(ErrMix, "kind %q is none of chat, completion, service", c.Kind)
}

func (c *ClassSpec) validateTokens() error {
	if c.PromptTokens.Min < minPromptTokens || c.PromptTokens.Max < c.PromptTokens.Min || c.PromptTokens.Max > maxTokens {
		return errors.Annotatef(ErrMix, "prompt_tokens must be a range within %d and %d", minPromptTokens, maxTokens)
	}
	if c.SharedTokens != 0 && (c.SharedTokens < minSharedTokens || c.SharedTokens+minPromptTokens > c.PromptTokens.Min) {
		return errors.Annotatef(ErrMix, "shared_tokens must be 0, or at least %d and leave %d of the shortest prompt", minSharedTokens, minPromptTokens)
	}
	if c.OutputTokens.Min < 1 || c.OutputTokens.Max < c.OutputTokens.Min {
		return errors.Annotate(ErrMix, "output_tokens must be a range above 0")
	}
	return nil
}

// Fleet is the hardware behind a target, for rates and ideals.
type Fleet struct {
	Engines      int   `json:"engines"`
	PrefillRate  int64 `json:"prefill_rate"`  // tokens/s of one engine
	DecodeRate   int64 `json:"decode_rate"`   // tokens/s of one engine, whole batch
	MemoryTokens int64 `json:"memory_tokens"` // of one engine
}

// Rate returns the arrivals/s at which the mix uses factor of the fleet's
// engine time, counting a request as prompt/prefill + output/decode seconds.
func (m *Mix) Rate(f Fleet, factor float64) float64 {
	var share, seconds float64
	for i := range m.Classes {
		c := &m.Classes[i]
		share += c.Share
		if c.Kind == KindService {
			continue
		}
		cost := c.PromptTokens.Mean()/float64(f.PrefillRate) + c.OutputTokens.Mean()/float64(f.DecodeRate)
		seconds += c.Share * cost
	}
	return factor * float64(f.Engines) / (seconds / share)
}

// IdealTTFT returns the least time to prefill a prompt on the engines that it
// has to span for its memory, all of them idle.
func (f Fleet) IdealTTFT(promptTokens int) time.Duration {
	span := (int64(promptTokens) + f.MemoryTokens - 1) / f.MemoryTokens
	span = max(span, 1)
	return time.Duration(float64(promptTokens) / float64(span*f.PrefillRate) * float64(time.Second))
}

// usable reports whether ideals can be worked out.
func (f Fleet) usable() bool { return f.PrefillRate > 0 && f.MemoryTokens > 0 }
