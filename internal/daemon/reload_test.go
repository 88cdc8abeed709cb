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

// Symptom: a process ends with code 129 and cuts its requests.
// Sequence: it runs; SIGHUP tells it that its settings file has changed.
// Cause: a program that does not take the signal is ended by it.
func TestSighupReloadsTheSettings(t *testing.T) {
	path := write(t, mappedEntry)
	log, lines := logrustest.NewNullLogger()
	r, err := newReloader(path, log)
	if err != nil {
		t.Fatal(err)
	}
	applied := make(chan *settings.Settings, 1)
	r.apply = func(s *settings.Settings) { applied <- s }
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	go r.run(ctx)
	changed := `{"role":"entry","name":"vm-2",` + mappedEntry[len(`{"role":"entry","name":"vm-1",`):]
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case s := <-applied:
		if s.Name != "vm-2" {
			t.Errorf("name %s in force", s.Name)
		}
	case <-ctx.Done():
		t.Fatal("the change was not applied")
	}
	for _, l := range lines.AllEntries() {
		if l.Level <= logrus.WarnLevel {
			t.Errorf("logged: %s", l.Message)
		}
	}
}

// Symptom: after a typing error in the settings a process stops serving.
// Sequence: the file changes to one with faults.
// Cause: what is in force must stay until there is a file without faults.
func TestFaultySettingsChangeNothing(t *testing.T) {
	path := write(t, mappedEntry)
	log, lines := logrustest.NewNullLogger()
	r, err := newReloader(path, log)
	if err != nil {
		t.Fatal(err)
	}
	r.apply = func(*settings.Settings) { t.Error("faulty settings were applied") }
	if err := os.WriteFile(path, []byte(`{"role":"entry"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.look(true)
	if e := lines.LastEntry(); e == nil || e.Level != logrus.WarnLevel {
		t.Errorf("logged: %v", e)
	}
}
