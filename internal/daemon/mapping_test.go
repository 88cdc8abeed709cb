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
	mappedCommon = `"name":"vm-1","zone":"z","region":"r","platform":{"address":"http://10.0.0.9:80"},
		"listen":{"rpc":"10.0.0.1:1","datagram":"10.0.0.1:2","admin":"10.0.0.1:3"`
	mappedEntry = `{"role":"entry",` + mappedCommon + `,"http":"10.0.0.1:4"}}`
	mappedAgent = `{"role":"agent",` + mappedCommon + `},"agent":{"address":"10.0.0.1:8000","pool":"p",
		"models":["m"],"prefill_rate":1,"decode_rate":1,"memory_tokens":1,"seeds":["10.0.0.2:1"]}}`
	mappedGateway = `{"role":"gateway","name":"vm-1","zone":"z","region":"r","platform":{"address":"http://10.0.0.9:80"},
		"listen":{"http":"10.0.0.1:4","ready":"10.0.0.1:5","datagram":"10.0.0.1:2","admin":"10.0.0.1:3"}}`
)

// refused are fields that a valid file of a role can't have.
var refused = map[settings.Role]map[string]bool{
	settings.RoleEntry: {"Listen.Ready": true},
	settings.RoleAgent: {"Listen.HTTP": true, "Listen.Ready": true},
}

// effects is all that a process makes of its settings.
type effects struct {
	Entry   node.EntryConfig
	Agent   node.AgentConfig
	Gateway gatewaynode.Config
	Store   platform.StoreConfig
	Drain   time.Duration
	Level   logrus.Level
	JSON    bool
	Sampler gateway.Sampler
}

func effectsOf(t *testing.T, s *settings.Settings) effects {
	t.Helper()
	log, err := newLogger(io.Discard, s.Log.Level, s.Log.Format)
	if err != nil {
		t.Fatal(err)
	}
	_, json := log.Formatter.(*logrus.JSONFormatter)
	e := effects{Store: storeConfig(s, nil, nil), Drain: drainLimit(s), Level: log.Level, JSON: json}
	e.Sampler = samplerOf(s, nil)
	switch s.Role {
	case settings.RoleEntry:
		e.Entry = entryConfig(s, nil, nil, nil)
	case settings.RoleGateway:
		e.Gateway = gatewayConfig(s, nil, nil, nil)
		e.Gateway.Decoder, e.Gateway.Engines = gatewaynode.Decoder{}, nil // functions are never equal
	default:
		e.Agent = agentConfig(s, nil, nil, nil)
	}
	return e
}

// Symptom: an operator changes a setting and nothing changes.
// Sequence: the file is read and found valid; the process starts.
// Cause: a key that no configuration of a node is made from.
func TestEverySettingReachesTheNode(t *testing.T) {
	for _, file := range []string{mappedEntry, mappedAgent, mappedGateway} {
		parse := func() *settings.Settings {
			s, err := settings.Parse([]byte(file))
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		before := effectsOf(t, parse())
		for _, path := range leaves(reflect.ValueOf(parse()).Elem(), nil) {
			s := parse()
			name := change(t, reflect.ValueOf(s).Elem(), path)
			if refused[s.Role][name] || name == "Role" {
				continue // the files differ in the role
			}
			if reflect.DeepEqual(before, effectsOf(t, s)) {
				t.Errorf("%s: %s has no effect", s.Role, name)
			}
		}
	}
}

// leaves returns the index paths of all fields that are no sections.
func leaves(v reflect.Value, at []int) [][]int {
	var out [][]int
	for i := range v.NumField() {
		path := append(append([]int(nil), at...), i)
		field := v.Field(i)
		if field.Kind() == reflect.Pointer && field.IsNil() {
			continue // the other role's section
		}
		if field = reflect.Indirect(field); field.Kind() == reflect.Struct {
			out = append(out, leaves(field, path)...)
			continue
		}
		out = append(out, path)
	}
	return out
}

// change gives the field another value and returns its name.
func change(t *testing.T, v reflect.Value, path []int) string {
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
		v.SetString(otherText(name, v.String()))
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
		t.Fatalf("%s is of a kind that this test can't change: %s", name, v.Kind())
	}
	return name
}

// otherText is another valid value where not every text is one.
func otherText(name, now string) string {
	switch name {
	case "Log.Level":
		return "debug"
	case "Log.Format":
		return "text"
	}
	return fmt.Sprintf("%s-other", now)
}
