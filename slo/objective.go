package slo

// Latency measures that an objective can limit.
const (
	MeasureTTFT       = "ttft"
	MeasureInterToken = "inter_token"
)

// ObjectiveName returns the Objective of Key and Level for one measure of a declared service
// level. It includes the level's name: two levels of one workspace and class may have different
// thresholds, and their counts must not be added up.
func ObjectiveName(serviceLevel, measure string) string { return serviceLevel + "/" + measure }
