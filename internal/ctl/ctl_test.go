package ctl

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
	platformstandin "github.com/briarturn/briarturn/platform/standin"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/slo"
)

var testTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

type result struct {
	code        int
	out, errors string
}

func runTool(store objectapi.Store, stdin string, argv ...string) result {
	var out, errs bytes.Buffer
	code := Main(context.Background(), argv, Env{
		Stdin:  strings.NewReader(stdin),
		Stdout: &out,
		Stderr: &errs,
		Now:    func() time.Time { return testTime },
		Store:  store,
	})
	return result{code, out.String(), errs.String()}
}

func expect(t *testing.T, r result, code int, words ...string) {
	t.Helper()
	if r.code != code {
		t.Errorf("exit code %d, want %d: %s%s", r.code, code, r.out, r.errors)
	}
	for _, w := range words {
		if !strings.Contains(r.out+r.errors, w) {
			t.Errorf("no %q in %s%s", w, r.out, r.errors)
		}
	}
}

// poolObject is a valid object file of one ModelPool.
func poolObject(replicas int) string {
	return `{"kind":"ModelPool","name":"p","spec":` + poolSpec(replicas) + `}`
}

func poolSpec(replicas int) string {
	return fmt.Sprintf(`{"models":[{"name":"m","version":"1","source":"s","replicas":{"mixed":%d,"prefill":0,"decode":0}}],
		"engine":{"prefill_rate":1000,"decode_rate":100,"memory_tokens":10000},
		"zones":["hobart"],"long_prefill_share":0.5,"weight_loads":2}`, replicas)
}

func TestApplyCreatesChangesAndLeavesAlone(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	expect(t, runTool(store, poolObject(1), "apply", "-f", "-", "--dry-run"), ExitOK, "ModelPool/p created")
	if store.Revision() != 0 {
		t.Fatal("a dry run wrote")
	}
	expect(t, runTool(store, poolObject(1), "apply", "-f", "-"), ExitOK, "ModelPool/p created")
	expect(t, runTool(store, poolObject(2), "apply", "-f", "-"), ExitOK, "ModelPool/p changed", "mixed: 1 -> 2")
	before := store.Revision()
	expect(t, runTool(store, poolObject(2), "apply", "-f", "-"), ExitOK, "unchanged")
	if store.Revision() != before {
		t.Error("an unchanged object was written")
	}
	expect(t, runTool(store, "", "get", "ModelPool", "p"), ExitOK, `"mixed": 2`)
	expect(t, runTool(store, "", "get", "ModelPool", "--json"), ExitOK, `"revision"`)
	expect(t, runTool(store, "", "get", "ModelPool", "none"), ExitFailed)
}

// Symptom: apply reports a failure, or writes twice, though its change is in
// force. Sequence: the store takes the write and its answer is lost. Cause: a
// blind resend, or giving up, instead of reading back.
func TestApplySettlesALostAnswer(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	for i, action := range []string{"created", "changed"} {
		store.SetFaults(standin.Faults{LoseNext: 1})
		expect(t, runTool(store, poolObject(i+1), "apply", "-f", "-"), ExitOK, "ModelPool/p "+action)
		if store.Counts().AnswersLost != int64(i+1) || store.Revision() != uint64(i+1) {
			t.Errorf("revision %d, counts %+v", store.Revision(), store.Counts())
		}
	}
}

// racingStore lets another operator write just before the first update.
type racingStore struct {
	objectapi.Store
	raced bool
	other json.RawMessage
}

func (s *racingStore) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
	if !s.raced {
		s.raced = true
		if _, err := s.Store.Update(ctx, kind, name, s.other, version); err != nil {
			return objectapi.Object{}, err
		}
	}
	return s.Store.Update(ctx, kind, name, data, version)
}

// Symptom: one operator's change vanishes without a trace. Sequence: two
// operators read version 1; the other writes; our conditional write conflicts.
// Cause under test: we read again, write over the other's version, and print
// the change against what the other wrote.
func TestApplyReadsAgainOnConflict(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	expect(t, runTool(store, poolObject(1), "apply", "-f", "-"), ExitOK)
	racing := &racingStore{Store: store, other: json.RawMessage(poolSpec(7))}
	expect(t, runTool(racing, poolObject(2), "apply", "-f", "-"), ExitOK, "mixed: 7 -> 2")
	if !racing.raced || store.Revision() != 3 {
		t.Errorf("raced %v, revision %d", racing.raced, store.Revision())
	}
}

// Symptom: half a change is in force. Sequence: the second of two files is
// invalid. Cause under test: all are validated before the first is written.
func TestApplyWritesNothingIfOneObjectIsInvalid(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	dir := t.TempDir()
	for name, text := range map[string]string{"a.json": poolObject(1), "b.json": `{"kind":"ModelPool","name":"q","spec":{"zones":[]}}`} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expect(t, runTool(store, "", "apply", "-f", dir), ExitUsage, "b.json")
	for name, text := range map[string]string{"c.json": poolObject(2), "b.json": poolObject(1)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expect(t, runTool(store, "", "apply", "-f", dir), ExitUsage, "repeats ModelPool p of")
	for _, text := range []string{`{"kind":"ModelPool","nmae":"p","spec":{}}`, `{"kind":"ModelPool"}`, `[`, `{"kind":"Pool","name":"p","spec":{}}`, poolObject(1) + poolObject(2)} {
		expect(t, runTool(store, text, "apply", "-f", "-"), ExitUsage)
	}
	if store.Revision() != 0 {
		t.Errorf("revision %d", store.Revision())
	}
}

// Symptom: a burst of held-back changes stops in the middle. Sequence: 120
// objects are applied at once to an object API that takes 50 writes a second.
// Cause under test: a throttled write must be tried again, not end the command.
func TestApplyOverHTTPThroughThrottling(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	store.SetFaults(standin.Faults{WritesPerSecond: 50})
	server := httptest.NewServer(platformstandin.Handler(store))
	defer server.Close()
	const objects = 120
	var file strings.Builder
	for i := range objects {
		file.WriteString(strings.Replace(poolObject(1), `"name":"p"`, fmt.Sprintf(`"name":"p%d"`, i), 1))
	}
	r := runTool(nil, file.String(), "--platform", server.URL, "apply", "-f", "-", "--timeout", "5m")
	expect(t, r, ExitOK, "ModelPool/p119 created")
	if store.Revision() != objects || store.Counts().Throttled == 0 {
		t.Errorf("revision %d", store.Revision())
	}
}

func TestStoreOutage(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	store.SetFaults(standin.Faults{Down: true})
	expect(t, runTool(store, "", "get", "ModelPool"), ExitUnavailable)
	expect(t, runTool(store, poolObject(1), "apply", "-f", "-", "--timeout", "50ms"), ExitUnavailable, "0 of 1")
}

func TestWatchPrintsChangesUntilInterrupted(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	expect(t, runTool(store, poolObject(1), "apply", "-f", "-"), ExitOK)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &lineWriter{want: 2, done: cancel}
	go func() {
		out.wait(1)
		runTool(store, poolObject(2), "apply", "-f", "-")
	}()
	code := Main(ctx, []string{"watch", "ModelPool"}, Env{Stdout: out, Stderr: &bytes.Buffer{}, Now: time.Now, Store: store})
	if code != ExitOK || !strings.Contains(out.text(), "1 ModelPool/p {") || !strings.Contains(out.text(), "2 ModelPool/p {") {
		t.Errorf("exit code %d, %s", code, out.text())
	}
}

// Symptom: a script that follows a kind misses a deletion, or sees each object
// change that did not. Sequence: p is deleted and q changed in a gap of the
// watch, r is left alone; then all is listed anew. Cause under test: the
// listing has to be compared with what was printed.
func TestWatchPrintsWhatAGapHid(t *testing.T) {
	var out bytes.Buffer
	w := &printer{tool: &tool{args: &arguments{}, env: Env{Stdout: &out}}}
	object := func(name string, version uint64) objectapi.Object {
		return objectapi.Object{Kind: "K", Name: name, Version: version, Data: json.RawMessage("{}")}
	}
	w.Snapshot("K", objectapi.Listing{Revision: 2, Objects: []objectapi.Object{object("p", 1), object("r", 2)}})
	w.Events("K", objectapi.Listing{Revision: 3, Objects: []objectapi.Object{object("q", 3)}})
	out.Reset()
	w.Snapshot("K", objectapi.Listing{Revision: 9, Objects: []objectapi.Object{object("q", 8), object("r", 2)}})
	if got, want := out.String(), "8 K/q {}\n9 K/p deleted\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestUsage(t *testing.T) {
	for _, argv := range [][]string{{}, {"nonsense"}, {"report"}, {"get"}, {"status"}, {"drain", "x"},
		{"load", "--target", "x", "--mix", "none"}, {"load", "--target", "x", "--factor", "0.5"}, {"experiment", "-f", "none"}} {
		expect(t, runTool(standin.NewMemory(standin.Config{}), "", argv...), ExitUsage, "briarturnctl")
	}
	expect(t, runTool(nil, "", "get", "Kind"), ExitUsage, "--platform")
	expect(t, runTool(nil, "", "--help"), ExitOK, "Examples:", "Exit codes")
	expect(t, runTool(nil, "", "drain", "--help"), ExitOK, "drain entry-1 --wait")
}

func TestReportBurnTakesDeclaredLevels(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	file := `{"kind":"ServiceLevel","name":"notices","spec":{"workspace":"w","class":"1k-4k","ttft":"1.7s","inter_token":"56ms","objective":0.99,
		"windows":[{"long":"1h","short":"5m","rate":14.4},{"long":"6h","short":"30m","rate":6}]}}`
	expect(t, runTool(store, file, "apply", "-f", "-"), ExitOK)
	entry := serveEntry(t, &fakeEntry{name: "e1", bad: 10, objective: slo.ObjectiveName("notices", slo.MeasureTTFT)})
	// 10 bad of 100 burn 10 times what is allowed: under 14.4, over 6.
	r := runTool(store, "", "--admin", entry, "report", "burn")
	expect(t, r, ExitOK, "notices/ttft", "notices/inter_token", "10.00 (10/100)", "warning")
}

// fakeEntry is a process whose drain ends after some asks.
type fakeEntry struct {
	name     string
	revision uint64
	running  int64
	bad      int // of 100 requests
	// objective of the requests; ttft if empty
	objective string
}

func (f *fakeEntry) Status() admin.Status {
	f.revision++
	return admin.Status{Name: f.name, Role: "entry", Ready: true, ConfigRevision: f.revision,
		Servers: []admin.ServerStatus{{Name: "b1", Direct: true, ConfigRevision: f.revision}}}
}

func (f *fakeEntry) Drain(_ context.Context, name string) (admin.DrainState, error) {
	if name != f.name {
		return admin.DrainState{}, errors.Annotatef(admin.ErrUnknownName, "%q", name)
	}
	f.running--
	return admin.DrainState{Name: name, Draining: true, Running: f.running}, nil
}

func (f *fakeEntry) Snapshot(now time.Time) slo.Snapshot {
	t := slo.NewTracker(slo.Config{})
	for i := range 100 {
		k := slo.Key{Workspace: "w", Class: request.ClassShort, Objective: cmp.Or(f.objective, "ttft")}
		t.Record(k, i >= f.bad, time.Millisecond, testTime)
	}
	return t.Snapshot(f.name, testTime)
}

func serveEntry(t *testing.T, f *fakeEntry) string {
	t.Helper()
	server := httptest.NewServer(admin.NewHandler(admin.Config{Status: f, Drain: f, SLO: f}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestStatusWaitsForARevision(t *testing.T) {
	a, b := serveEntry(t, &fakeEntry{name: "e1"}), serveEntry(t, &fakeEntry{name: "e2", revision: 1})
	expect(t, runTool(nil, "", "--admin", a, "--admin", b, "status", "--wait", "3"), ExitOK, "revision 3 in force at 3 of 3")
	expect(t, runTool(nil, "", "--admin", a, "status", "--wait", "1000000", "--timeout", "10ms"), ExitUnavailable)
	expect(t, runTool(nil, "", "--admin", a, "status", "--wait", "1", "--servers", "1"), ExitOK)
	expect(t, runTool(nil, "", "--admin", a, "status", "--wait", "1", "--servers", "2", "--timeout", "10ms"), ExitUnavailable, "")
	dead := httptest.NewServer(nil)
	dead.Close()
	expect(t, runTool(nil, "", "--admin", a, "--admin", dead.URL, "status", "--json"), ExitUnavailable, `"known": 3`)
}

// Symptom: status --wait never ends though the revision is in force everywhere.
// Sequence: a backend server reports to one of two entries; the other knows of
// it by hearsay and can't tell its revision.
// Cause: "not known", told as 0, counts as the lowest revision.
func TestStatusTakesTheRevisionFromWhoKnowsIt(t *testing.T) {
	home, other := processStatus{}, processStatus{}
	home.ConfigRevision, other.ConfigRevision = 7, 7
	home.Servers = []admin.ServerStatus{{Name: "b1", Direct: true, ConfigRevision: 7}}
	other.Servers = []admin.ServerStatus{{Name: "b1"}, {Name: "b2"}}
	for _, order := range [][]processStatus{{home, other}, {other, home}} {
		f := fleetStatus{Wanted: 7, Processes: order}
		if f.count(); f.InForce != 3 || f.Known != 4 {
			t.Errorf("in force at %d of %d, want 3 of 4", f.InForce, f.Known)
		}
	}
}

func TestDirectoryLeavesSettingsOut(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	expect(t, runTool(store, "", "apply", "-f", filepath.Join("..", "..", "examples", "loopback"), "--dry-run"), ExitOK, "ModelPool/briar-pool created")
}

func TestDrainFindsTheOwnerAndWaits(t *testing.T) {
	a, b := serveEntry(t, &fakeEntry{name: "e1"}), serveEntry(t, &fakeEntry{name: "e2", running: 3})
	expect(t, runTool(nil, "", "--admin", a, "--admin", b, "drain", "e2", "--wait"), ExitOK, "0 running")
	expect(t, runTool(nil, "", "--admin", a, "--admin", b, "drain", "e3"), ExitFailed, "not known")
}

func TestReportBurnMergesEntries(t *testing.T) {
	a, b := serveEntry(t, &fakeEntry{name: "e1", bad: 40}), serveEntry(t, &fakeEntry{name: "e2"})
	dir := t.TempDir()
	levels, page := filepath.Join(dir, "levels.json"), filepath.Join(dir, "burn.html")
	if err := os.WriteFile(levels, []byte(`[{"name":"notices","objective":"ttft","target":0.99}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	argv := []string{"--admin", a, "--admin", b, "report", "burn", "--levels", levels, "--html", page}
	// 40 bad of 200 burn 20 times what a target of 0.99 allows.
	expect(t, runTool(nil, "", argv...), ExitOK, "20.00 (40/200)", "page")
	expect(t, runTool(nil, "", append(argv, "--check")...), ExitFailed)
	if text, err := os.ReadFile(page); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("page of %d bytes, %v", len(text), err)
	}
}
