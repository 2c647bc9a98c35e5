package server

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/configuration"
	"baywall.example/core/link"
	"baywall.example/core/resource"
	"baywall.example/core/settings"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const valid = "vm: a\nzone: z\nlink: {listen: 127.0.0.1:7000}\nengine: {address: 127.0.0.1:9000}\n"

func TestSettings(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"valid", valid, nil},
		{"no VM", strings.Replace(valid, "vm: a", "vm: ''", 1), []string{"a.yaml:1", "vm"}},
		{"same address twice", strings.Replace(valid, "9000", "7000", 1), []string{"a.yaml:4", "engine.address", "link.listen"}},
		{"unknown log level", valid + "log_level: loud\n", []string{"a.yaml:5", "log_level", "loud", "info"}},
		{"linger too long", valid + "drain: {linger: 2h}\n", []string{"a.yaml:5", "drain.linger", "2h", "1h"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := settings.Parse("a.yaml", []byte(c.text), &Settings{})
			if len(c.want) == 0 {
				is.New(t).NoErr(err)
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

// Only entry VMs may send requests, and only a group's ranks may send orders about its
// expert map.
func TestCallsAreRestrictedByRoleAndGroup(t *testing.T) {
	is := is.New(t)
	var s Settings
	is.NoErr(settings.Parse("a.yaml", []byte(valid), &s))
	a := New(s, zerolog.Nop(), time.Now())
	a.config.Apply(configuration.Batch{Revision: 1, Full: true, Records: []configuration.Record{{
		Key: resource.Key{Kind: resource.KindGroup, Name: "g"}, Revision: 1,
		Spec: []byte(`{"service": "s", "ranks": ["a", "b"], "layers": 1, "experts": 1, "slots_per_rank": 1}`),
	}}})
	entry := &link.Link{Remote: "e", Role: vm.RoleEntry}
	rank := &link.Link{Remote: "b", Role: vm.RoleBackend}
	outsider := &link.Link{Remote: "c", Role: vm.RoleBackend}
	attempt := &wire.Call{Body: &wire.Call_Attempt{Attempt: &wire.Attempt{}}}
	order := &wire.Call{Body: &wire.Call_SwitchRelay{SwitchRelay: &wire.SwitchRelay{Order: &wire.SwitchOrder{Group: "g"}}}}
	is.True(a.allowed(entry, attempt))
	is.True(!a.allowed(rank, attempt))
	is.True(a.allowed(rank, order))
	is.True(!a.allowed(entry, order))
	is.True(!a.allowed(outsider, order))
}
