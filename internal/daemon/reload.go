package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/settings"
)

// reloadEvery is how often the settings file is looked at: it may change without
// a signal. Reading a kilobyte costs some 20 microseconds.
const reloadEvery = 2 * time.Second

// reloader applies a changed settings file to a running process.
type reloader struct {
	path  string
	log   logrus.FieldLogger
	apply func(*settings.Settings)
	last  []byte
	// hangup takes the signal from the start on: a Go program that does not take it
	// is ended by it, with all its requests.
	hangup chan os.Signal
}

// newReloader remembers the file as it is before the process starts.
func newReloader(path string, log logrus.FieldLogger) (*reloader, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "step read settings")
	}
	r := &reloader{path: path, log: log, last: data, hangup: make(chan os.Signal, 1)}
	signal.Notify(r.hangup, syscall.SIGHUP)
	return r, nil
}

// run looks at the file on SIGHUP and every reloadEvery, until ctx ends.
func (r *reloader) run(ctx context.Context) {
	defer signal.Stop(r.hangup)
	look := time.NewTicker(reloadEvery)
	defer look.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
			asked = true
		case <-look.C:
		}
		r.look(asked)
	}
}

// look applies the file if it changed. One with faults leaves what is in force.
func (r *reloader) look(asked bool) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.WithError(errors.Annotate(err, "step reload settings")).Warn("settings not read")
		return
	}
	if bytes.Equal(data, r.last) {
		if asked {
			r.log.Info("settings are unchanged")
		}
		return
	}
	r.last = data
	s, err := settings.Parse(data)
	if err != nil {
		r.log.WithError(err).Warn("settings have faults and stay as they were")
		return
	}
	r.apply(s)
	r.log.WithField("signal", asked).Info("settings reloaded")
}
