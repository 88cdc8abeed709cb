package objectapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

func hasData(mark json.RawMessage) func(objectapi.Object) bool {
	return func(o objectapi.Object) bool { return bytes.Equal(o.Data, mark) }
}

// Guards against a writer that gives up what it holds, and against two writers
// that both assume that their write is in force. Responses are lost after the
// write took effect, calls are interrupted, and another writer writes in
// between; an unknown outcome must count neither as a rejection nor as a
// success.
func TestWriteAndVerifyReportsActualOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkInVirtualTime(t, rt, writeUnderFaults) })
}

func writeUnderFaults(rt *rapid.T) {
	m := standin.NewMemory(standin.Config{Seed: rapid.Uint64().Draw(rt, "seed")})
	background := context.Background()
	w := objectapi.ConditionalWrite{Kind: "K", Name: "a", Data: json.RawMessage(`"mine"`)}
	if rapid.Bool().Draw(rt, "update") {
		o, err := m.Create(background, "K", "a", json.RawMessage(`"first"`))
		if err != nil {
			rt.Fatal(err)
		}
		w.Version = o.Version
	}
	m.SetFaults(standin.Faults{
		LoseProbability: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "lose"),
		LatencyMS:       rapid.SampledFrom([]int64{0, 300, 3000}).Draw(rt, "latency"),
	})
	rivalAt := rapid.SampledFrom([]int{0, 100, 400, 10_000}).Draw(rt, "rival")
	rival := time.AfterFunc(time.Duration(rivalAt)*time.Millisecond, func() { overwrite(m) })
	defer rival.Stop()
	ctx, cancel := context.WithTimeout(background, 2*time.Second)
	defer cancel()

	o, err := objectapi.WriteAndVerify(ctx, m, w, hasData(w.Data))
	took := countInHistory(rt, m, w.Data)
	switch {
	case err == nil && took == 0:
		rt.Fatalf("reported %+v as in force, but it never was", o)
	case took > 1:
		rt.Fatalf("the write took effect %d times", took)
	case objectapi.IsTransient(err) && took > 0:
		rt.Fatalf("got error %v, but the write took effect", err)
	}
}

// overwrite replaces or creates the object, with the faults of the store
// disabled.
func overwrite(m *standin.Memory) {
	faults := m.Faults()
	m.SetFaults(standin.Faults{})
	defer m.SetFaults(faults)
	ctx := context.Background()
	if o, err := m.Get(ctx, "K", "a"); err == nil {
		_, _ = m.Update(ctx, "K", "a", json.RawMessage(`"rival"`), o.Version)
		return
	}
	_, _ = m.Create(ctx, "K", "a", json.RawMessage(`"rival"`))
}

func countInHistory(rt *rapid.T, m *standin.Memory, mark json.RawMessage) int {
	m.SetFaults(standin.Faults{})
	l, err := m.Watch(context.Background(), "K", 0, 0)
	if err != nil {
		rt.Fatal(err)
	}
	n := 0
	for _, o := range l.Objects {
		if bytes.Equal(o.Data, mark) {
			n++
		}
	}
	return n
}

func TestWriteAndVerifyOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		rival  bool // whether another writer writes after the lost response
		want   error
	}{
		{"answer lost", standin.Faults{LoseNext: 1}, false, nil},
		{"answers lost twice", standin.Faults{LoseNext: 2}, false, nil},
		{"refused", standin.Faults{Down: true}, false, objectapi.ErrUnavailable},
		{"overwritten", standin.Faults{LoseNext: 1}, true, objectapi.ErrExists},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := standin.NewMemory(standin.Config{})
			m.SetFaults(c.faults)
			var s objectapi.Store = m
			if c.rival {
				s = afterCreate{m, func() { overwrite(m) }}
			}
			mark := json.RawMessage(fmt.Sprintf("%q", c.name))
			_, err := objectapi.WriteAndVerify(context.Background(), s,
				objectapi.ConditionalWrite{Kind: "K", Name: "a", Data: mark}, hasData(mark))
			wantErr(t, err, c.want)
		})
	}
}

// afterCreate calls then after a create has returned.
type afterCreate struct {
	objectapi.Store
	then func()
}

func (s afterCreate) Create(ctx context.Context, kind, name string, data json.RawMessage) (objectapi.Object, error) {
	o, err := s.Store.Create(ctx, kind, name, data)
	s.then()
	return o, err
}

// Guards against a write that is reported as not in force and then takes
// effect. The first copy of the write is delayed, the read back finds nothing,
// and the copy is applied before the same write is sent again: while its
// condition holds, a write without a response may still take effect.
func TestWriteAndVerifyHandlesOwnDelayedCopy(t *testing.T) {
	s := &delayedCreate{Memory: standin.NewMemory(standin.Config{})}
	mark := json.RawMessage(`"mine"`)
	_, err := objectapi.WriteAndVerify(context.Background(), s,
		objectapi.ConditionalWrite{Kind: "K", Name: "a", Data: mark}, hasData(mark))
	wantErr(t, err, nil)
	if n := s.Revision(); n != 1 {
		t.Fatalf("%d writes took effect, want 1", n)
	}
}

// delayedCreate delays the first create until the next read has been answered.
type delayedCreate struct {
	*standin.Memory
	held json.RawMessage
	once bool
}

func (s *delayedCreate) Create(ctx context.Context, kind, name string, data json.RawMessage) (objectapi.Object, error) {
	if s.once {
		return s.Memory.Create(ctx, kind, name, data)
	}
	s.once = true
	s.held = data
	return objectapi.Object{}, objectapi.ErrOutcomeUnknown
}

func (s *delayedCreate) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	o, err := s.Memory.Get(ctx, kind, name)
	if s.held != nil {
		_, _ = s.Memory.Create(ctx, kind, name, s.held)
		s.held = nil
	}
	return o, err
}

func wantErr(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}
