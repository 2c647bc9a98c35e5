package settings_test

import (
	"strings"
	"testing"
	"time"

	"baywall.example/core/settings"
)

// Part is inlined in sample.
type Part struct {
	Count int `yaml:"count"`
}

type sample struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
	Size int           `yaml:"size"`
	Part `yaml:",inline"`
	Link struct {
		Listen string `yaml:"listen"`
		Other  string `yaml:"other"`
	} `yaml:"link"`
}

func (s *sample) Validate() []settings.Problem {
	var c settings.Checks
	c.Require("name", s.Name)
	c.Duration("wait", s.Wait, time.Second, time.Minute)
	c.Address("link.listen", s.Link.Listen)
	c.Distinct(settings.Field{Name: "link.listen", Value: s.Link.Listen}, settings.Field{Name: "link.other", Value: s.Link.Other})
	return c.Problems
}

func TestParseNamesFileLineFieldAndValue(t *testing.T) {
	const valid = "name: a\nwait: 5s\nlink:\n  listen: 127.0.0.1:7000\n"
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"valid", valid, nil},
		{"unknown field", valid + "colour: red\n", []string{"f.yaml:5", "colour"}},
		{"wrong unit", strings.Replace(valid, "5s", "5 parsecs", 1), []string{"f.yaml:2", "wait", "5 parsecs"}},
		{"out of range", strings.Replace(valid, "5s", "2h", 1), []string{"f.yaml:2", "wait", "2h0m0s", "from 1s to 1m0s"}},
		{"port out of range", strings.Replace(valid, "7000", "70000", 1), []string{"f.yaml:4", "link.listen", "127.0.0.1:70000", "port"}},
		{"fraction for a whole number", valid + "size: 0.5\n", []string{"f.yaml:5", "size", "0.5", "whole number"}},
		{"fraction for a whole number of an inlined part", valid + "count: 0.5\n", []string{"f.yaml:5", "count", "0.5", "whole number"}},
		{"port zero", strings.Replace(valid, "7000", "0", 1), []string{"f.yaml:4", "link.listen"}},
		{"host name", strings.Replace(valid, "127.0.0.1", "localhost", 1), []string{"f.yaml:4", "localhost:7000"}},
		{"duplicate address", valid + "  other: 127.0.0.1:7000\n", []string{"f.yaml:5", "link.other", "127.0.0.1:7000", "link.listen"}},
		{"missing", strings.Replace(valid, "name: a", "name: ''", 1), []string{"f.yaml:1", "name"}},
		{"not YAML", "name: [", []string{"f.yaml"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := settings.Parse("f.yaml", []byte(c.text), &sample{})
			if len(c.want) == 0 {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil {
				t.Fatal("accepted")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q does not name %q", err, w)
				}
			}
		})
	}
}

// FuzzParse checks that no file makes Parse panic, and that accepted settings validate.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name: a\nwait: 5s\nlink:\n  listen: 127.0.0.1:7000\n"))
	f.Add([]byte("wait: 5 parsecs\n"))
	f.Add([]byte("- &a [*a]\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s sample
		if settings.Parse("f.yaml", raw, &s) == nil && len(s.Validate()) > 0 {
			t.Fatal("Parse accepted settings that do not validate")
		}
	})
}
