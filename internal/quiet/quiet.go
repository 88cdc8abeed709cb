// Package quiet provides the default logger of components that are configured without one.
package quiet

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Logger returns a new logger that discards all output.
func Logger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
