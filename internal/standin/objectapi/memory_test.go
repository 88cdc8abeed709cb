package objectapi

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

var one = json.RawMessage(`1`)

func wantErr(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}

func TestConditionalWrites(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(Config{})
	a, err := m.Create(ctx, "K", "a", one)
	wantErr(t, err, nil)
	_, err = m.Create(ctx, "K", "a", one)
	wantErr(t, err, objectapi.ErrExists)
	b, err := m.Update(ctx, "K", "a", one, a.Version)
	wantErr(t, err, nil)
	_, err = m.Update(ctx, "K", "a", one, a.Version)
	wantErr(t, err, objectapi.ErrConflict)
	_, err = m.Delete(ctx, "K", "a", a.Version)
	wantErr(t, err, objectapi.ErrConflict)
	gone, err := m.Delete(ctx, "K", "a", b.Version)
	wantErr(t, err, nil)
	if !gone.Deleted || gone.Version <= b.Version {
		t.Fatalf("tombstone %+v after version %d", gone, b.Version)
	}
	_, err = m.Get(ctx, "K", "a")
	wantErr(t, err, objectapi.ErrNotFound)
	_, err = m.Create(ctx, "K", "big", json.RawMessage(strings.Repeat("1", objectapi.MaxValueBytes+1)))
	wantErr(t, err, objectapi.ErrTooLarge)
}

// Symptom: a watcher misses events and never learns of it.
// Sequence: more writes than the history holds between two watches.
// Cause: the history is bounded; the store must answer with a gap.
func TestWatchGap(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(Config{History: 2})
	for _, name := range []string{"a", "b", "c"} {
		_, err := m.Create(ctx, "K", name, one)
		wantErr(t, err, nil)
	}
	_, err := m.Watch(ctx, "K", 0, 0)
	wantErr(t, err, objectapi.ErrGap)
	l, err := m.Watch(ctx, "K", 1, 0)
	wantErr(t, err, nil)
	if l.Revision != 3 || len(l.Objects) != 2 || l.Objects[0].Name != "b" {
		t.Fatalf("events %+v", l)
	}
	_, err = m.Watch(ctx, "K", 4, 0)
	wantErr(t, err, objectapi.ErrGap)
}

func TestWaitingWatchIsChargedAndWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := NewMemory(Config{})
		time.AfterFunc(3500*time.Millisecond, func() { m.SetVM(objectapi.VM{Name: "vm-1", State: objectapi.VMLive}) })
		l, err := m.Watch(ctx, objectapi.KindVM, 0, time.Minute)
		wantErr(t, err, nil)
		if len(l.Objects) != 1 {
			t.Fatalf("events %+v", l)
		}
		want := Counts{Watch: 1, WatchSeconds: 3}
		if d := cmp.Diff(want, m.Counts()); d != "" {
			t.Fatal(d)
		}
		m.SetFaults(Faults{Down: true})
		_, err = m.Watch(ctx, "K", 1, time.Minute)
		wantErr(t, err, objectapi.ErrUnavailable)
	})
}

// Symptom: a writer takes a lost answer for a refusal and writes twice.
// Sequence: the write takes effect, the answer is lost.
// Cause: the network; the store must report it as unknown, not as refused.
func TestLostAnswerTookEffect(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(Config{})
	m.SetFaults(Faults{LoseNext: 1})
	_, err := m.Create(ctx, "K", "a", one)
	wantErr(t, err, objectapi.ErrOutcomeUnknown)
	_, err = m.Get(ctx, "K", "a")
	wantErr(t, err, nil)
	_, err = m.Create(ctx, "K", "b", one)
	wantErr(t, err, nil)
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := NewMemory(Config{})
		m.SetFaults(Faults{WritesPerSecond: 2})
		for range 2 {
			_, err := m.Create(ctx, "K", time.Now().String(), one)
			wantErr(t, err, nil)
			time.Sleep(time.Millisecond)
		}
		_, err := m.Create(ctx, "K", "third", one)
		wantErr(t, err, objectapi.ErrThrottled)
		time.Sleep(time.Second)
		_, err = m.Create(ctx, "K", "third", one)
		wantErr(t, err, nil)
	})
}

func TestFrozenVMList(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(Config{})
	m.SetVM(objectapi.VM{Name: "vm-1", State: objectapi.VMLive})
	m.SetFaults(Faults{VMListFrozen: true})
	m.RemoveVM("vm-1")
	_, err := m.Get(ctx, objectapi.KindVM, "vm-1")
	wantErr(t, err, nil)
	m.SetFaults(Faults{})
	_, err = m.Get(ctx, objectapi.KindVM, "vm-1")
	wantErr(t, err, objectapi.ErrNotFound)
}
