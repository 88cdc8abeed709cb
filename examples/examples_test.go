package examples

import (
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/settings"
)

// deployment is what the files of one directory add up to.
type deployment struct {
	Workspaces int
	Levels     int
	Zones      []string
	Servers    map[string]int // by pool or service
}

func read(t *testing.T, dir string) deployment {
	t.Helper()
	d := deployment{Servers: map[string]int{}}
	for _, name := range []string{"pools.json", "workspaces.json", "service-levels.json"} {
		objects, err := declared.DecodeFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range objects {
			d.add(t, o)
		}
	}
	return d
}

func (d *deployment) add(t *testing.T, o declared.DecodedObject) {
	t.Helper()
	switch spec := o.Spec.(type) {
	case *declared.WorkspacePolicy:
		d.Workspaces++
	case *declared.ServiceLevel:
		d.Levels++
	case *declared.ModelPool:
		d.Zones = spec.Zones
	case *declared.BackendServerSet:
		for _, m := range spec.Members() {
			if !slices.Contains(spec.Zones, m.Zone) {
				t.Errorf("%s is in zone %q, which its set doesn't have", m.Name, m.Zone)
			}
			d.Servers[spec.Pool]++
		}
	}
}

func TestObjectsAreValid(t *testing.T) {
	want := map[string]deployment{
		"derwent":  {10, 5, []string{"hobart", "launceston", "burnie"}, map[string]int{"briar-pool": 16, "roster-app": 3}},
		"loopback": {10, 5, []string{"hobart", "launceston", "burnie"}, map[string]int{"briar-pool": 4, "roster-app": 2}},
		"atlas":    {10, 6, []string{"casa-a", "casa-b", "casa-c"}, map[string]int{"briar-llm": 21, "placement-api": 3}},
	}
	for dir, w := range want {
		if d := cmp.Diff(w, read(t, dir)); d != "" {
			t.Errorf("%s: %s", dir, d)
		}
	}
}

func TestSettingsAreValid(t *testing.T) {
	for _, dir := range []string{"derwent", "atlas"} {
		for _, role := range []settings.Role{settings.RoleEntry, settings.RoleAgent} {
			s, err := settings.Load(filepath.Join(dir, string(role)+".settings.json"))
			if err != nil {
				t.Error(err)
			} else if s.Role != role {
				t.Errorf("%s: role %s, want %s", dir, s.Role, role)
			}
		}
	}
}

// Every process of the loopback example has its own ports.
func TestLoopbackSettingsDontCollide(t *testing.T) {
	files, err := filepath.Glob("loopback/*.settings.json")
	if err != nil || len(files) != 8 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	taken := map[string]string{}
	for _, file := range files {
		s, err := settings.Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, address := range []string{s.Listen.HTTP, s.Listen.RPC, s.Listen.Datagram, s.Listen.Admin} {
			if other := taken[address]; address != "" && other != "" {
				t.Errorf("%s and %s both listen on %s", file, other, address)
			}
			taken[address] = file
		}
	}
}
