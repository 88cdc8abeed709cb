// Package config decodes and validates JSON that people write: settings files and
// declared objects. All errors are found in one pass and reported with their path
// in the JSON, so that a file with five mistakes can be corrected at once.
//
// Rules: keys are case-sensitive; unknown and duplicate keys are errors; values are
// checked by validate tags of go-playground/validator.
package config
