package resource

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"baywall.example/core/settings"
)

// file is the form of a resource in a YAML or JSON file.
type file[S any] struct {
	Kind string `yaml:"kind"`
	Name string `yaml:"name"`
	Spec S      `yaml:"spec"`
}

// Validate returns every invalid value in the file.
func (f *file[S]) Validate() []settings.Problem {
	var c settings.Checks
	if !validName(f.Name) {
		c.OneOf("name", f.Name, "1 to 128 letters, digits, '-', '_' or '.'")
	}
	spec, ok := any(&f.Spec).(Spec)
	if !ok {
		return c.Problems
	}
	spec.Provision()
	for _, p := range spec.Validate() {
		p.Field = "spec." + p.Field
		c.Problems = append(c.Problems, p)
	}
	return c.Problems
}

// CheckFile validates a file that holds one resource: kind, name and spec. The error
// gives the file, line, field, value and the allowed values.
func CheckFile(path string) (Key, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Key{}, eris.Wrap(err, "resource: read")
	}
	var head file[any]
	if err := yaml.Unmarshal(raw, &head); err != nil {
		return Key{}, eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	key := Key{Kind: Kind(head.Kind), Name: head.Name}
	switch key.Kind {
	case KindService:
		return key, settings.Parse(path, raw, &file[Service]{})
	case KindTeam:
		return key, settings.Parse(path, raw, &file[Team]{})
	case KindIntent:
		return key, settings.Parse(path, raw, &file[Intent]{})
	case KindGroup:
		return key, settings.Parse(path, raw, &file[Group]{})
	default:
		return key, settings.Problem{File: path, Line: 1, Field: "kind", Value: head.Kind, Allowed: "services, teams, intents or groups"}
	}
}
