package declared

import (
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/request"
)

// ServiceLevel declares the service level of a workspace for prompts of one
// length class: the fraction Objective of all requests meets the targets.
type ServiceLevel struct {
	Workspace string `json:"workspace" validate:"required,name"`
	// Class is the name of a length class as request.Class returns it, such as
	// 1k-4k.
	Class string `json:"class" validate:"length_class"`
	// TTFT is the target of the time to first token.
	TTFT config.Duration `json:"ttft" validate:"min=1ms,max=24h"`
	// InterToken is the target of the mean time between tokens; 0 means no
	// target.
	InterToken config.Duration `json:"inter_token,omitempty" validate:"omitempty,min=1ms,max=1m"`
	Objective  float64         `json:"objective" validate:"gt=0,lt=1"`
	AlertRules []AlertRule     `json:"windows" validate:"min=1,dive"`
}

// AlertRule raises an alert when the error budget burns at BurnThreshold times
// the rate that the objective allows, in both windows. The short window ends
// the alert soon after the burn rate drops.
type AlertRule struct {
	LongWindow    config.Duration `json:"long" validate:"min=1m,max=720h"`
	ShortWindow   config.Duration `json:"short" validate:"min=5s,max=720h"`
	BurnThreshold float64         `json:"rate" validate:"gt=0"`
}

// defaultAlertRules returns the usual multi-window burn-rate alerts for an
// error budget of thirty days: 2% of it in an hour, 5% in six hours.
func defaultAlertRules() []AlertRule {
	return []AlertRule{
		{LongWindow: config.Duration(time.Hour), ShortWindow: config.Duration(5 * time.Minute), BurnThreshold: 14.4},
		{LongWindow: config.Duration(6 * time.Hour), ShortWindow: config.Duration(30 * time.Minute), BurnThreshold: 6},
	}
}

func (*ServiceLevel) poolName(string) string { return "" }

// ParseLengthClass returns the class with this name; ok is false for an
// unknown name.
func ParseLengthClass(name string) (c request.Class, ok bool) {
	for c := range request.ClassCount {
		if c.Name() == name {
			return c, true
		}
	}
	return 0, false
}

func init() {
	config.RegisterTagValidation("length_class", func(f validator.FieldLevel) bool {
		_, ok := ParseLengthClass(f.Field().String())
		return ok
	})
	config.RegisterStructValidation(checkAlertRule, AlertRule{})
}

func checkAlertRule(sl validator.StructLevel) {
	if w := sl.Current().Interface().(AlertRule); w.ShortWindow >= w.LongWindow {
		config.ReportError(sl, w.ShortWindow, "short", "Short", "must be shorter than long")
	}
}
