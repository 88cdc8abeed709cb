package daemon

import (
	"io"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// timestampFormat has millisecond precision: log lines of several processes are
// sorted by timestamp, and a request takes fractions of a second.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger that writes to out at the given level, in the format
// json or text.
func newLogger(out io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.WithType(err, errUsage)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	}
	return log, nil
}
