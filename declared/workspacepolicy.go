package declared

import (
	"fmt"

	"github.com/go-playground/validator/v10"

	"github.com/briarturn/briarturn/config"
)

// Defaults of a WorkspacePolicy.
const (
	DefaultWeight      = 1.0
	DefaultRetryBudget = 0.1
)

// WorkspacePolicy declares the limits of the workspace that it is named after.
type WorkspacePolicy struct {
	// Weight is the share of tokens against other workspaces that wait.
	Weight float64 `json:"weight" validate:"gt=0,lte=1000"`
	// TokensPerSecond, prompt and output together; 0 is no limit.
	TokensPerSecond int64 `json:"tokens_per_second" validate:"min=0"`
	// BurstTokens may be spent at once; needed with TokensPerSecond.
	BurstTokens int64 `json:"burst_tokens" validate:"min=0"`
	// Concurrency is how many requests may run or wait; 0 is no limit.
	Concurrency int `json:"concurrency" validate:"min=0"`
	// RetryBudget is retries per first attempt, 0 to 1.
	RetryBudget float64 `json:"retry_budget" validate:"gte=0,lte=1"`
	// DefaultTimeout is the time limit of requests that give none, MaxTimeout
	// the most that they may ask for. 0 is what the entry's settings say, whose
	// request_max also bounds both.
	DefaultTimeout config.Duration `json:"default_timeout,omitempty" validate:"omitempty,min=1ms,max=24h"`
	MaxTimeout     config.Duration `json:"max_timeout,omitempty" validate:"omitempty,min=1ms,max=24h"`
	Classes        []ServiceClass  `json:"service_classes,omitempty" validate:"dive" distinct:"Name"`
}

// ServiceClass is a class of work that a request of the workspace may name. Its
// Priority orders the workspace's own requests that wait; see workspace.Item.
// Its Timeout, if any, takes the place of DefaultTimeout.
type ServiceClass struct {
	Name     string          `json:"name" validate:"required,name"`
	Priority int32           `json:"priority" validate:"min=0,max=100"` // lower is sooner
	Timeout  config.Duration `json:"timeout,omitempty" validate:"omitempty,min=1ms,max=24h"`
}

func newWorkspacePolicy() *WorkspacePolicy {
	return &WorkspacePolicy{Weight: DefaultWeight, RetryBudget: DefaultRetryBudget}
}

func (*WorkspacePolicy) pool(string) string { return "" }

func init() { config.RegisterStructValidation(checkWorkspacePolicy, WorkspacePolicy{}) }

func checkWorkspacePolicy(sl validator.StructLevel) {
	p := sl.Current().Interface().(WorkspacePolicy)
	if p.TokensPerSecond > 0 && p.BurstTokens < p.TokensPerSecond {
		config.ReportError(sl, p.BurstTokens, "burst_tokens", "BurstTokens",
			"must be at least tokens_per_second, or a limit of one second can't be used up")
	}
	if p.MaxTimeout == 0 {
		return
	}
	if p.DefaultTimeout > p.MaxTimeout {
		config.ReportError(sl, p.DefaultTimeout, "default_timeout", "DefaultTimeout", "must be at most max_timeout")
	}
	for i, class := range p.Classes {
		if class.Timeout > p.MaxTimeout {
			key := fmt.Sprintf("service_classes[%d].timeout", i)
			config.ReportError(sl, class.Timeout, key, key, "must be at most max_timeout")
		}
	}
}
