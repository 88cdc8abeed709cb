package settings

import (
	"github.com/go-playground/validator/v10"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/config"
)

// Agent holds the settings of the agent of one backend server. Pool, rates and memory
// are announced for the server until the server reports its own values.
type Agent struct {
	Address      string `json:"address" validate:"required,addrport"` // address of the engine or plain service
	Pool         string `json:"pool" validate:"required,name"`        // name of the ModelPool, or of the service
	PlainService bool   `json:"service"`                              // the server is a plain service, not an engine
	// ChecksFencing is set if the server itself refuses orders with a stale fencing
	// number. Otherwise only the agent does.
	ChecksFencing bool            `json:"checks_fencing"`
	Models        []string        `json:"models" validate:"dive,name" distinct:"."`
	Adapters      []string        `json:"adapters" validate:"dive,name" distinct:"."`
	Role          backend.Role    `json:"role" validate:"oneof=mixed prefill decode"`
	PrefillRate   int64           `json:"prefill_rate" validate:"min=0"`  // tokens/s
	DecodeRate    int64           `json:"decode_rate" validate:"min=0"`   // tokens/s of the whole batch
	MemoryTokens  int64           `json:"memory_tokens" validate:"min=0"` // KV cache capacity in tokens
	Concurrency   int             `json:"concurrency" validate:"min=1,max=100000"`
	Drain         config.Duration `json:"drain" validate:"min=1s,max=24h"` // time for work in progress to finish after SIGTERM
	// Seeds are the RPC addresses of entries, IP:PORT.
	Seeds []string `json:"seeds" validate:"required,min=1,dive,addrport" distinct:"."`
}

func init() { config.RegisterStructValidation(checkAgent, Agent{}) }

// checkAgent checks the settings that are required for an engine but not for a plain
// service.
func checkAgent(sl validator.StructLevel) {
	a := sl.Current().Interface().(Agent)
	if a.PlainService {
		return
	}
	if len(a.Models) == 0 {
		config.ReportError(sl, a.Models, "models", "Models", "is required for an engine")
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
			config.ReportError(sl, rate.value, rate.key, rate.field, "is required for an engine")
		}
	}
}
