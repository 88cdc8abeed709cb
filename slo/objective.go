package slo

// Measures that an objective may be about.
const (
	MeasureTTFT       = "ttft"
	MeasureInterToken = "inter_token"
)

// ObjectiveName returns the Objective of Key and Level for one measure of a
// declared service level. It holds the level's name, because two levels of one
// workspace and class may set different thresholds: counted together, neither
// would be right.
func ObjectiveName(serviceLevel, measure string) string { return serviceLevel + "/" + measure }
