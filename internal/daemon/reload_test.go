package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/briarturn/briarturn/settings"
)

// Guards against a process that exits with code 129 and aborts its requests when
// SIGHUP reports a changed settings file: the signal terminates a program that does
// not handle it.
func TestSighupReloadsTheSettings(t *testing.T) {
	path := writeSettings(t, entrySettings)
	log, hook := logrustest.NewNullLogger()
	r, err := newReloader(path, log)
	if err != nil {
		t.Fatal(err)
	}
	applied := make(chan *settings.Settings, 1)
	r.apply = func(s *settings.Settings) { applied <- s }
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	go r.run(ctx)
	changed := `{"role":"entry","name":"vm-2",` + entrySettings[len(`{"role":"entry","name":"vm-1",`):]
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case s := <-applied:
		if s.Name != "vm-2" {
			t.Errorf("applied settings with name %s", s.Name)
		}
	case <-ctx.Done():
		t.Fatal("the change was not applied")
	}
	for _, l := range hook.AllEntries() {
		if l.Level <= logrus.WarnLevel {
			t.Errorf("unexpected log line: %s", l.Message)
		}
	}
}

// Guards against a process that stops serving after a typing error in its settings:
// the current settings must stay in force until the file is valid.
func TestInvalidSettingsAreNotApplied(t *testing.T) {
	path := writeSettings(t, entrySettings)
	log, hook := logrustest.NewNullLogger()
	r, err := newReloader(path, log)
	if err != nil {
		t.Fatal(err)
	}
	r.apply = func(*settings.Settings) { t.Error("invalid settings were applied") }
	if err := os.WriteFile(path, []byte(`{"role":"entry"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reloadIfChanged(true)
	if e := hook.LastEntry(); e == nil || e.Level != logrus.WarnLevel {
		t.Errorf("last log line is %v, want a warning", e)
	}
}
