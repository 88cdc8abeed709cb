package settings

import "github.com/briarturn/briarturn/config"

// Gateway is the settings of an entry that serves routed requests. The figures
// are those that its operators run the platform by.
type Gateway struct {
	// Grace is how long after SIGTERM the platform kills the process.
	Grace config.Duration `json:"grace" validate:"min=1s,max=24h"`
	// Retries of all entries together, a service and a window: RetryRatio of its
	// requests and RetrySlack more.
	RetryRatio  float64         `json:"retry_ratio" validate:"gte=0,lte=1"`
	RetrySlack  float64         `json:"retry_slack" validate:"gte=0,lte=1000000"`
	RetryWindow config.Duration `json:"retry_window" validate:"min=1s,max=1h"`
	// RoutineLines bounds the log lines a second of requests that went well; the
	// others are always written.
	RoutineLines float64 `json:"routine_lines" validate:"gte=1,lte=100000"`
}
