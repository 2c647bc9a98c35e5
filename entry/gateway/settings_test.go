package gateway

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/settings"
)

const valid = `vm: e1
zone: z1
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3", peers: "127.0.0.1:4"}
seeds: ["127.0.0.2:4"]
store: "127.0.0.1:9"
`

func TestSettings(t *testing.T) {
	cases := []struct{ name, change, says string }{
		{"valid", "", ""},
		{"unknown field", "stroe: x", "stroe"},
		{"bad seed", "seeds: [nowhere]", "nowhere"},
		{"bad ratio", "retry: {ratio: 11}", "retry.ratio"},
		{"short evacuation", "follow: {evacuation: 1ms}", "follow.evacuation"},
		{"short grace", "drain: {grace: 1ms}", "drain.grace"},
		{"fair shares without a queue", "scheduling: {fair_share: true}", "scheduling.fair_share"},
		{"team without weight", "scheduling: {queue: true, fair_share: true, team_weights: {a: 0}}", "scheduling.team_weights.a"},
		{"scheduling", "scheduling: {queue: true, fair_share: true, concurrency_limit: true, server_speed: true, team_weights: {a: 2}}", ""},
		{"duplicate address", `listen: {front: "127.0.0.1:1", ready: "127.0.0.1:1", directory: "127.0.0.1:3", peers: "127.0.0.1:4"}`, "listen.ready"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Settings
			err := settings.Parse("gateway.yaml", []byte(replaceField(valid, c.change)), &s)
			is.Equal(err == nil, c.says == "")
			is.True(err == nil || strings.Contains(err.Error(), c.says))
		})
	}
}

// replaceField replaces the line with the same field, or appends the given one.
func replaceField(text, line string) string {
	field, _, _ := strings.Cut(line, ":")
	var out []string
	for _, l := range strings.Split(strings.TrimSpace(text), "\n") {
		if line == "" || !strings.HasPrefix(l, field+":") {
			out = append(out, l)
		}
	}
	return strings.Join(append(out, line), "\n")
}
