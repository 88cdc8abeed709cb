package declared

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/config"
)

func TestDecodeManifestsAcceptsListsAndSingles(t *testing.T) {
	const file = `{"kind":"WorkspacePolicy","name":"a","spec":{}}
		[{"kind":"WorkspacePolicy","name":"b","spec":{"weight":3}},
		 {"kind":"ServiceLevel","name":"a-short","spec":{"workspace":"a","class":"1k-4k","ttft":"1s","objective":0.99}}]`
	got, err := DecodeManifests(strings.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, o := range got {
		names = append(names, o.Kind+"/"+o.Name)
	}
	if d := cmp.Diff([]string{"WorkspacePolicy/a", "WorkspacePolicy/b", "ServiceLevel/a-short"}, names); d != "" {
		t.Fatal(d)
	}
	if level := got[2].Spec.(*ServiceLevel); len(level.AlertRules) != len(defaultAlertRules()) {
		t.Fatalf("windows %v", level.AlertRules)
	}
}

// Guards against a decoder that stops at the first fault, so that an operator
// has to apply a file once for each fault. The file has several objects with
// several faults.
func TestDecodeManifestsReportsAllFaults(t *testing.T) {
	const file = `[
		{"kind":"WorkspacePolicy","name":"a","spec":{"weight":-1,"tokens_per_second":10}},
		{"kind":"Workspace","name":"b","spec":{}},
		{"kind":"BackendServerSet","name":"c","spec":{"pool":"p","zones":["z","z"],
			"servers":[{"name":"s","zone":"y","address":"here"}]}},
		{"kind":"BackendServerSet","name":"d","spec":{"pool":"p","zones":["z"],
			"template":{"name":"s","address":"10.0.0.{index}:1","first":255,"count":2}}},
		{"kind":"ServiceLevel","name":"e","spec":{"workspace":"a","class":"short","ttft":"1s","objective":1,
			"windows":[{"long":"5m","short":"1h","rate":2}]}},
		{"kind":"ModelPool","name":"f","spec":{"models":[{"name":"m","version":"1"}],"zones":[],"engine":{"decode_rate":1,"memory_tokens":1}}},
		{"kind":"WorkspacePolicy","name":"g","spec":{}},
		{"kind":"WorkspacePolicy","name":"g","spec":{}}
	]`
	_, err := DecodeManifests(strings.NewReader(file))
	var got []string
	for _, f := range config.FieldErrorsOf(err) {
		got = append(got, f.Path)
	}
	want := []string{
		"[0].spec.burst_tokens", "[0].spec.weight",
		"[1].kind",
		"[2].spec.servers[0].address", "[2].spec.servers[0].zone", "[2].spec.zones[1]",
		"[3].spec.template.address",
		"[4].spec.class", "[4].spec.objective", "[4].spec.windows[0].short",
		"[5].spec.engine.prefill_rate", "[5].spec.models[0].source", "[5].spec.zones",
		"[7].name",
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("%s\n%v", d, err)
	}
}

func TestDecodeManifestsRejectsMalformedFiles(t *testing.T) {
	for _, file := range []string{`{`, `[{]`, `[1]`, `"text"`, `{"kind":"ModelPool","name":"p"}`} {
		if got, err := DecodeManifests(strings.NewReader(file)); config.FieldErrorsOf(err) == nil {
			t.Errorf("%s: %v, error %v", file, got, err)
		}
	}
}

func TestWorkspaceTimeoutsAreConsistent(t *testing.T) {
	for spec, want := range map[string]string{
		`{"max_timeout":"1m","default_timeout":"2m"}`:                                  "[0].spec.default_timeout",
		`{"max_timeout":"1m","service_classes":[{"name":"batch","timeout":"61s"}]}`:    "[0].spec.service_classes[0].timeout",
		`{"max_timeout":"1m","service_classes":[{"name":"batch","timeout":"60s"}]}`:    "",
		`{"default_timeout":"2m","service_classes":[{"name":"batch","timeout":"1h"}]}`: "",
	} {
		_, err := DecodeManifests(strings.NewReader(`[{"kind":"WorkspacePolicy","name":"w","spec":` + spec + `}]`))
		got := ""
		for _, f := range config.FieldErrorsOf(err) {
			got += f.Path
		}
		if got != want {
			t.Errorf("%s: fault at %q, want %q", spec, got, want)
		}
	}
}
