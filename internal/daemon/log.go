package daemon

import (
	"io"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// timestamps are to the millisecond: lines of several processes are put in order by
// them, and a request takes fractions of a second.
const timestamps = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger of a level and a format, json or text.
func newLogger(out io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.WithType(err, errUsage)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestamps})
	}
	return log, nil
}
