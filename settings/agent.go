package settings

import (
	"github.com/go-playground/validator/v10"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/config"
)

// Agent is the settings of the agent beside one backend server. Pool, rates
// and memory are what it says of the server until the server reports.
type Agent struct {
	Address      string `json:"address" validate:"required,addrport"` // of the engine or plain service
	Pool         string `json:"pool" validate:"required,name"`        // ModelPool, or the service's name
	PlainService bool   `json:"service"`                              // a plain service, not an engine
	// ChecksFencing says that the server itself refuses an order with an old
	// fencing number; else the agent alone does.
	ChecksFencing bool            `json:"checks_fencing"`
	Models        []string        `json:"models" validate:"dive,name" distinct:"."`
	Adapters      []string        `json:"adapters" validate:"dive,name" distinct:"."`
	Role          backend.Role    `json:"role" validate:"oneof=mixed prefill decode"`
	PrefillRate   int64           `json:"prefill_rate" validate:"min=0"`  // tokens/s
	DecodeRate    int64           `json:"decode_rate" validate:"min=0"`   // tokens/s, whole batch
	MemoryTokens  int64           `json:"memory_tokens" validate:"min=0"` // KV capacity
	Concurrency   int             `json:"concurrency" validate:"min=1,max=100000"`
	Drain         config.Duration `json:"drain" validate:"min=1s,max=24h"` // for work in progress at SIGTERM
	// Seeds are RPC addresses of entries, IP:PORT.
	Seeds []string `json:"seeds" validate:"required,min=1,dive,addrport" distinct:"."`
}

func init() { config.RegisterStructValidation(checkAgent, Agent{}) }

// checkAgent wants of an engine what a plain service doesn't have.
func checkAgent(sl validator.StructLevel) {
	a := sl.Current().Interface().(Agent)
	if a.PlainService {
		return
	}
	if len(a.Models) == 0 {
		config.ReportError(sl, a.Models, "models", "Models", "is required of an engine")
	}
	for _, rate := range []struct {
		value      int64
		key, field string
	}{
		{a.PrefillRate, "prefill_rate", "PrefillRate"},
		{a.DecodeRate, "decode_rate", "DecodeRate"},
		{a.MemoryTokens, "memory_tokens", "MemoryTokens"},
	} {
		if rate.value == 0 {
			config.ReportError(sl, rate.value, rate.key, rate.field, "is required of an engine")
		}
	}
}
