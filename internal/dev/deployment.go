package dev

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
)

// Size is what a deployment for a mix consists of.
type Size struct {
	Engines  int
	Replicas int // of the plain service
	Zones    []string
}

// sizes are the deployments of the built-in mixes, by the pool's name.
var sizes = map[string]Size{
	"briar-pool": {Engines: 16, Replicas: 3, Zones: []string{"hobart", "launceston", "burnie"}},
	"briar-llm":  {Engines: 21, Replicas: 3, Zones: []string{"casa-a", "casa-b", "casa-c"}},
}

// modelName is the one model of a deployment's pool.
const modelName = "briar"

// object is a declared object on its way through JSON.
type object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Spec any    `json:"spec"`
}

// Deployment returns the declared objects that a built-in mix runs on: a pool of
// engines like the given one, the plain service and a policy for each workspace.
func Deployment(mix *load.Mix, engine standinengine.Config) ([]declared.DecodedObject, error) {
	size, ok := sizes[mix.Model]
	if !ok {
		return nil, errors.NotFoundf("deployment for model %s", mix.Model)
	}
	objects := []object{
		{declared.KindModelPool, mix.Model, poolSpec(size, engine)},
		{declared.KindBackendServerSet, mix.Model, setSpec(mix.Model, size.Engines, 9, size.Zones, false)},
	}
	for _, c := range mix.Classes {
		if c.Service != "" {
			spec := setSpec(c.Service, size.Replicas, 8, size.Zones, true)
			objects = append(objects, object{declared.KindBackendServerSet, c.Service, spec})
		}
	}
	for _, w := range mix.Workspaces {
		objects = append(objects, object{declared.KindWorkspacePolicy, w.Name, struct{}{}})
	}
	data, err := json.Marshal(objects)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return declared.DecodeManifests(bytes.NewReader(data))
}

func poolSpec(size Size, engine standinengine.Config) map[string]any {
	return map[string]any{
		"models": []declared.Model{{Name: modelName, Version: "1", Source: modelName + "/1",
			Replicas: declared.Replicas{Mixed: size.Engines}}},
		"engine": declared.EngineCapacity{
			PrefillRate:  int64(engine.PrefillRate),
			DecodeRate:   decodeRate(engine),
			MemoryTokens: int64(engine.MemoryTokens),
		},
		"zones": size.Zones,
	}
}

// decodeRate returns the tokens/s of a full batch.
func decodeRate(c standinengine.Config) int64 {
	step := c.DecodeBase.Seconds() + float64(c.MaxBatch)*c.DecodePerSequence.Seconds()
	return int64(float64(c.MaxBatch) / step)
}

func setSpec(pool string, count, portPrefix int, zones []string, service bool) map[string]any {
	return map[string]any{
		"pool":    pool,
		"service": service,
		"zones":   zones,
		"template": declared.ServerTemplate{
			Name:       pool + "-{index}",
			Address:    fmt.Sprintf("127.0.0.1:%d{index}", portPrefix),
			FirstIndex: 100,
			Count:      count,
		},
	}
}
