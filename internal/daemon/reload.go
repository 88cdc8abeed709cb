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

// reloadInterval is the interval at which the settings file is checked for changes,
// since it may change without a signal. Reading a kilobyte takes about 20 microseconds.
const reloadInterval = 2 * time.Second

// reloader applies a changed settings file to a running process.
type reloader struct {
	path     string
	log      logrus.FieldLogger
	apply    func(*settings.Settings)
	lastData []byte
	// sighup receives SIGHUP from before the role starts: the signal terminates a Go
	// program that does not handle it, along with all its requests.
	sighup chan os.Signal
}

// newReloader records the contents of the file before the role starts, and starts
// to handle SIGHUP.
func newReloader(path string, log logrus.FieldLogger) (*reloader, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "step read settings")
	}
	r := &reloader{path: path, log: log, lastData: data, sighup: make(chan os.Signal, 1)}
	signal.Notify(r.sighup, syscall.SIGHUP)
	return r, nil
}

// run checks the file on SIGHUP and every reloadInterval, until ctx ends.
func (r *reloader) run(ctx context.Context) {
	defer signal.Stop(r.sighup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-r.sighup:
			signaled = true
		case <-ticker.C:
		}
		r.reloadIfChanged(signaled)
	}
}

// reloadIfChanged applies the file if it changed. If the file is invalid, the
// current settings stay in force. signaled is set if SIGHUP caused the check.
func (r *reloader) reloadIfChanged(signaled bool) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.WithError(errors.Annotate(err, "step reload settings")).Warn("failed to read the settings file")
		return
	}
	if bytes.Equal(data, r.lastData) {
		if signaled {
			r.log.Info("settings unchanged")
		}
		return
	}
	r.lastData = data
	s, err := settings.Parse(data)
	if err != nil {
		r.log.WithError(err).Warn("invalid settings file; keeping the current settings")
		return
	}
	r.apply(s)
	r.log.WithField("signal", signaled).Info("settings reloaded")
}
