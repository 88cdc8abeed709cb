package ctl

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/declared"
)

// ErrManifest: a file can't be read as objects, or an object is invalid.
const ErrManifest = errors.ConstError("invalid object file")

// settingsSuffix marks files of the daemon's settings, which often lie beside the
// objects of a deployment.
const settingsSuffix = ".settings.json"

// readManifests reads files and directories (their *.json, by name, without
// *.settings.json) and
// validates all objects. The error lists the faults of all files, each path
// beginning with the file, and matches ErrManifest.
func readManifests(paths []string, stdin io.Reader) ([]declared.DecodedObject, error) {
	var out []declared.DecodedObject
	var faults config.FieldErrors
	from := make(map[[2]string]string) // file by kind and name
	for _, p := range paths {
		files, err := expand(p)
		if err != nil {
			return nil, errors.WithType(err, ErrManifest)
		}
		for _, f := range files {
			objects, err := readFile(f, stdin)
			if found := config.FieldErrorsOf(err); found != nil {
				faults = append(faults, found.WithPrefix(label(f))...)
				continue
			}
			if err != nil {
				return nil, errors.WithType(err, ErrManifest)
			}
			faults = append(faults, repeated(objects, f, from)...)
			out = append(out, objects...)
		}
	}
	if len(faults) > 0 {
		return nil, errors.WithType(faults, ErrManifest)
	}
	return out, nil
}

// repeated finds objects that stand in an earlier file too: which value won
// would depend on the order of files.
func repeated(objects []declared.DecodedObject, file string, from map[[2]string]string) config.FieldErrors {
	var faults config.FieldErrors
	for _, o := range objects {
		id := [2]string{o.Kind, o.Name}
		if first, ok := from[id]; ok {
			faults = append(faults, config.FieldError{Path: label(file), Message: "repeats " + o.Kind + " " + o.Name + " of " + first})
		}
		from[id] = file
	}
	return faults
}

func expand(path string) ([]string, error) {
	if path == "-" {
		return []string{path}, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Annotate(err, "step read files")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(p, ".json") && !strings.HasSuffix(p, settingsSuffix) {
			files = append(files, p)
		}
		return err
	})
	slices.Sort(files)
	return files, errors.Annotate(err, "step read directory")
}

func readFile(path string, stdin io.Reader) ([]declared.DecodedObject, error) {
	if path == "-" {
		objects, err := declared.DecodeManifests(stdin)
		return objects, errors.Annotate(err, "step read standard input")
	}
	objects, err := declared.DecodeFile(path)
	return objects, errors.Trace(err)
}

// label names a file in messages.
func label(file string) string {
	if file == "-" {
		return "standard input"
	}
	return file
}
