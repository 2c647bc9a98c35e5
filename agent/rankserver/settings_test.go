package rankserver

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/settings"
)

func TestSettingsErrorNamesTheField(t *testing.T) {
	const valid = `
vm: side-1
zone: a
service: s
engine: 10.0.0.9:80
listen: {peers: "10.0.0.9:7342"}
store: 10.0.0.1:1
`
	cases := []struct {
		name, raw, field string
	}{
		{"valid", valid + "gateways: [\"10.0.0.1:1\"]\n", ""},
		{"a gateway without a port", valid + "gateways: [\"10.0.0.1:1\", \"10.0.0.2\"]\n", "gateways[1]"},
		{"a period too short", valid + "planner: {period: 1ms}\n", "planner.period"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Settings
			err := settings.Parse("node.yaml", []byte(c.raw), &s)
			if c.field == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.field))
		})
	}
}
