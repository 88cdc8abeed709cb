// Package examples holds the declared objects and settings of two deployments.
// They are embedded, so that the dev run has them wherever it is started.
package examples

import (
	"embed"
	"io/fs"
	"path"
	"strings"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
)

//go:embed derwent/*.json atlas/*.json
var files embed.FS

// settingsSuffix marks settings files; all others hold declared objects.
const settingsSuffix = ".settings.json"

// Objects returns the declared objects of the deployment derwent or atlas.
func Objects(deployment string) ([]declared.DecodedObject, error) {
	names, err := fs.Glob(files, path.Join(deployment, "*.json"))
	if err != nil || len(names) == 0 {
		return nil, errors.NotFoundf("example %q", deployment)
	}
	var out []declared.DecodedObject
	for _, name := range names {
		if strings.HasSuffix(name, settingsSuffix) {
			continue
		}
		objects, err := decode(name)
		if err != nil {
			return nil, errors.Annotatef(err, "step read example, file %s", name)
		}
		out = append(out, objects...)
	}
	return out, nil
}

func decode(name string) ([]declared.DecodedObject, error) {
	f, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return declared.DecodeManifests(f)
}
