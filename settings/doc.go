// Package settings reads the JSON settings file of briarturnd. All unknown keys and
// invalid values are reported at once, each with its path in the file. The keys
// and defaults are listed in docs/SETTINGS.md, which a test compares with the code.
package settings
