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

// WorkspacePolicy declares the limits of the workspace that has the same name.
type WorkspacePolicy struct {
	// Weight is the relative share of tokens among workspaces with waiting
	// requests.
	Weight float64 `json:"weight" validate:"gt=0,lte=1000"`
	// TokensPerSecond limits prompt and output tokens together; 0 means no
	// limit.
	TokensPerSecond int64 `json:"tokens_per_second" validate:"min=0"`
	// BurstTokens is the number of tokens that can be spent at once; required
	// with TokensPerSecond.
	BurstTokens int64 `json:"burst_tokens" validate:"min=0"`
	// Concurrency is the maximum number of running and waiting requests; 0
	// means no limit.
	Concurrency int `json:"concurrency" validate:"min=0"`
	// RetryBudget is the allowed number of retries per first attempt, from 0
	// to 1.
	RetryBudget float64 `json:"retry_budget" validate:"gte=0,lte=1"`
	// DefaultTimeout is the time limit of requests that specify none,
	// MaxTimeout the maximum that they may request. If 0, the settings of the
	// entry apply; its request_max limits both in any case.
	DefaultTimeout config.Duration `json:"default_timeout,omitempty" validate:"omitempty,min=1ms,max=24h"`
	MaxTimeout     config.Duration `json:"max_timeout,omitempty" validate:"omitempty,min=1ms,max=24h"`
	Classes        []ServiceClass  `json:"service_classes,omitempty" validate:"dive" distinct:"Name"`
}

// ServiceClass is a class of work that a request of the workspace may name.
// Priority orders the waiting requests of the workspace; see workspace.Item.
// Timeout, if set, replaces DefaultTimeout.
type ServiceClass struct {
	Name     string          `json:"name" validate:"required,name"`
	Priority int32           `json:"priority" validate:"min=0,max=100"` // lower runs first
	Timeout  config.Duration `json:"timeout,omitempty" validate:"omitempty,min=1ms,max=24h"`
}

func newWorkspacePolicy() *WorkspacePolicy {
	return &WorkspacePolicy{Weight: DefaultWeight, RetryBudget: DefaultRetryBudget}
}

func (*WorkspacePolicy) poolName(string) string { return "" }

func init() { config.RegisterStructValidation(checkWorkspacePolicy, WorkspacePolicy{}) }

func checkWorkspacePolicy(sl validator.StructLevel) {
	p := sl.Current().Interface().(WorkspacePolicy)
	if p.TokensPerSecond > 0 && p.BurstTokens < p.TokensPerSecond {
		config.ReportError(sl, p.BurstTokens, "burst_tokens", "BurstTokens",
			"must be at least tokens_per_second, otherwise the tokens of one second can never be used in full")
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
