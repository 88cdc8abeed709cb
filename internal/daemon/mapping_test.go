package daemon

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/internal/gatewaynode"
	"github.com/briarturn/briarturn/internal/node"
	"github.com/briarturn/briarturn/platform"
	"github.com/briarturn/briarturn/settings"
)

const (
	commonSettings = `"name":"vm-1","zone":"z","region":"r","platform":{"address":"http://10.0.0.9:80"},
		"listen":{"rpc":"10.0.0.1:1","datagram":"10.0.0.1:2","admin":"10.0.0.1:3"`
	entrySettings = `{"role":"entry",` + commonSettings + `,"http":"10.0.0.1:4"}}`
	agentSettings = `{"role":"agent",` + commonSettings + `},"agent":{"address":"10.0.0.1:8000","pool":"p",
		"models":["m"],"prefill_rate":1,"decode_rate":1,"memory_tokens":1,"seeds":["10.0.0.2:1"]}}`
	gatewaySettings = `{"role":"gateway","name":"vm-1","zone":"z","region":"r","platform":{"address":"http://10.0.0.9:80"},
		"listen":{"http":"10.0.0.1:4","ready":"10.0.0.1:5","datagram":"10.0.0.1:2","admin":"10.0.0.1:3"}}`
)

// disallowedFields lists the fields that a valid settings file of a role can't have.
var disallowedFields = map[settings.Role]map[string]bool{
	settings.RoleEntry: {"Listen.Ready": true},
	settings.RoleAgent: {"Listen.HTTP": true, "Listen.Ready": true},
}

// derivedConfig holds all configuration that a process derives from its settings.
type derivedConfig struct {
	Entry   node.EntryConfig
	Agent   node.AgentConfig
	Gateway gatewaynode.Config
	Store   platform.StoreConfig
	Drain   time.Duration
	Level   logrus.Level
	JSON    bool
	Sampler gateway.Sampler
}

func deriveConfig(t *testing.T, s *settings.Settings) derivedConfig {
	t.Helper()
	log, err := newLogger(io.Discard, s.Log.Level, s.Log.Format)
	if err != nil {
		t.Fatal(err)
	}
	_, json := log.Formatter.(*logrus.JSONFormatter)
	e := derivedConfig{Store: storeConfig(s, nil, nil), Drain: drainTimeout(s), Level: log.Level, JSON: json}
	e.Sampler = newSampler(s, nil)
	switch s.Role {
	case settings.RoleEntry:
		e.Entry = entryConfig(s, nil, nil, nil)
	case settings.RoleGateway:
		e.Gateway = gatewayConfig(s, nil, nil, nil)
		e.Gateway.Decoder, e.Gateway.Engines = gatewaynode.Decoder{}, nil // non-nil functions are never deeply equal
	default:
		e.Agent = agentConfig(s, nil, nil, nil)
	}
	return e
}

// Guards against a settings key that is valid but has no effect, because no
// configuration of a node is derived from it.
func TestEverySettingHasAnEffect(t *testing.T) {
	for _, file := range []string{entrySettings, agentSettings, gatewaySettings} {
		parse := func() *settings.Settings {
			s, err := settings.Parse([]byte(file))
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		before := deriveConfig(t, parse())
		for _, path := range leafFields(reflect.ValueOf(parse()).Elem(), nil) {
			s := parse()
			name := changeField(t, reflect.ValueOf(s).Elem(), path)
			if disallowedFields[s.Role][name] || name == "Role" {
				continue // each file is of another role
			}
			if reflect.DeepEqual(before, deriveConfig(t, s)) {
				t.Errorf("%s: %s has no effect", s.Role, name)
			}
		}
	}
}

// leafFields returns the index paths of all fields that are not sections.
func leafFields(v reflect.Value, prefix []int) [][]int {
	var out [][]int
	for i := range v.NumField() {
		path := append(append([]int(nil), prefix...), i)
		field := v.Field(i)
		if field.Kind() == reflect.Pointer && field.IsNil() {
			continue // section of another role
		}
		if field = reflect.Indirect(field); field.Kind() == reflect.Struct {
			out = append(out, leafFields(field, path)...)
			continue
		}
		out = append(out, path)
	}
	return out
}

// changeField sets the field at path to another value and returns its name.
func changeField(t *testing.T, v reflect.Value, path []int) string {
	t.Helper()
	var names []string
	for _, i := range path {
		v = reflect.Indirect(v)
		names = append(names, v.Type().Field(i).Name)
		v = v.Field(i)
	}
	name := strings.Join(names, ".")
	switch v.Kind() {
	case reflect.String:
		v.SetString(otherString(name, v.String()))
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Slice:
		v.Set(reflect.Append(v, reflect.ValueOf("other")))
	case reflect.Map:
		other := reflect.MakeMap(v.Type())
		other.SetMapIndex(reflect.ValueOf("other"), reflect.ValueOf("other"))
		v.Set(other)
	default:
		t.Fatalf("changeField does not support field %s of kind %s", name, v.Kind())
	}
	return name
}

// otherString returns a string other than current that is valid for the field.
func otherString(name, current string) string {
	switch name {
	case "Log.Level":
		return "debug"
	case "Log.Format":
		return "text"
	}
	return fmt.Sprintf("%s-other", current)
}
