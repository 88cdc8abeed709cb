package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
)

const (
	common = `"name":"vm-1","zone":"z","region":"r","platform":{"address":"http://10.0.0.9:80"},`
	listen = `"rpc":"10.0.0.1:1","datagram":"10.0.0.1:2","admin":"10.0.0.1:3"`
	entry  = `{"role":"entry",` + common + `"listen":{"http":"10.0.0.1:4",` + listen + `}}`
	agent  = `{"role":"agent",` + common + `"listen":{` + listen + `},"agent":{"address":"10.0.0.1:8000","pool":"p",
		"models":["m"],"prefill_rate":1,"decode_rate":1,"memory_tokens":1,"seeds":["10.0.0.2:1"]}}`
)

func TestDefaultsFillMissingKeys(t *testing.T) {
	e, err := Parse([]byte(entry))
	if err != nil {
		t.Fatal(err)
	}
	if e.Agent != nil || e.Entry.Timeouts.Request.D() != DefaultRequestTimeout || e.Log.Level != DefaultLogLevel {
		t.Errorf("entry: %+v", e)
	}
	a, err := Parse([]byte(agent))
	if err != nil {
		t.Fatal(err)
	}
	if a.Entry != nil || a.Agent.Role != DefaultAgentRole || a.Agent.Drain.D() != DefaultAgentDrain {
		t.Errorf("agent: %+v", a)
	}
}

// Guards against callers that are served in an order on deployments with some objectives only.
func TestContentionIsDecidedByDefault(t *testing.T) {
	features := defaultGateway().Contention.Features()
	service := &routetable.Service{Name: "pool", Engine: &placement.EngineProfile{}}
	for name, s := range map[string]routetable.Switch{
		"queue": features.Queue, "lost servers": features.LostServers, "silent attempts": features.SilentAttempts,
	} {
		if !features.Enabled(s, service) {
			t.Errorf("%s: off for a service with an engine profile", name)
		}
	}
}

// Guards against ignoring unknown keys or stopping at the first error: a process
// would run without a setting that the operator changed, or the operator would have
// to correct a file one error at a time.
func TestLoadReportsAllErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	const file = `{"role":"agent","name":"VM 1","zone":"z","regoin":"r","platform":{"address":"10.0.0.9:80"},
		"listen":{"http":"10.0.0.1:4","rpc":"host:1","datagram":"10.0.0.1:2"},"log":{"level":"loud"},
		"entry":{"seeds":[]},
		"agent":{"address":"10.0.0.1:8000","pool":"p","role":"both","seeds":["10.0.0.2:1","10.0.0.2:1"],"drain":"soon"}}`
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	var paths []string
	for _, f := range config.FieldErrorsOf(err) {
		if !strings.HasPrefix(f.Path, "entry.") {
			paths = append(paths, f.Path)
		}
	}
	want := []string{
		"agent.decode_rate", "agent.drain", "agent.memory_tokens", "agent.models", "agent.prefill_rate", "agent.role",
		"agent.seeds[1]", "entry", "listen.admin", "listen.http", "listen.rpc", "log.level", "name",
		"platform.address", "region", "regoin",
	}
	if d := cmp.Diff(want, paths); d != "" {
		t.Fatalf("%s\n%v", d, err)
	}
}

func TestUnknownRole(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(entry, `"entry"`, `"proxy"`, 1)))
	if fs := config.FieldErrorsOf(err); len(fs) != 1 || fs[0].Path != "role" {
		t.Fatalf("error %v", err)
	}
}

// docs/SETTINGS.md must list every key with its default.
func TestSettingsPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	s := withDefaults(RoleEntry)
	s.Agent = withDefaults(RoleAgent).Agent
	s.Gateway = withDefaults(RoleGateway).Gateway
	for _, row := range tableRows(reflect.ValueOf(s).Elem(), "") {
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/SETTINGS.md lacks a row that begins with %s", row)
		}
	}
}

func tableRows(v reflect.Value, prefix string) []string {
	var rows []string
	for i := range v.NumField() {
		key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		field := reflect.Indirect(v.Field(i))
		if field.Kind() == reflect.Struct {
			rows = append(rows, tableRows(field, prefix+key+".")...)
			continue
		}
		rows = append(rows, fmt.Sprintf("| `%s%s` | %s |", prefix, key, formatDefault(field)))
	}
	return rows
}

func formatDefault(v reflect.Value) string {
	if v.IsZero() && v.Kind() != reflect.Int && v.Kind() != reflect.Bool {
		return "–"
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return "`" + strings.Trim(string(text), `"`) + "`"
}
