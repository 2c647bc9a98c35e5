package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/configuration"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/routing/affinity"
	"baywall.example/entry/routing/roundrobin"
	"baywall.example/entry/routing/twochoices"
)

func record(t *testing.T, kind resource.Kind, name string, spec any) configuration.Record {
	t.Helper()
	raw, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return configuration.Record{Key: resource.Key{Kind: kind, Name: name}, Revision: 1, Spec: raw}
}

// Requests without a prompt prefix all have the same key, so affinity would send all
// requests of a plain service to one runner.
func TestPolicyOfAService(t *testing.T) {
	is := is.New(t)
	store := configuration.NewStore(false)
	store.Apply(configuration.Batch{Revision: 1, Full: true, Records: []configuration.Record{
		record(t, resource.KindService, "engine", resource.Service{Engine: true}),
		record(t, resource.KindService, "plain", resource.Service{}),
		record(t, resource.KindService, "chosen", resource.Service{}),
		record(t, resource.KindIntent, "i", resource.Intent{Service: "chosen", Policy: resource.PolicyRoundRobin}),
	}})
	d := New(nil, store, timeline.NewRecorder("e", 1, zerolog.Nop()), quarantine.NewTable("e", nil, zerolog.Nop()), nil, nil, 0)
	_, ok := d.policy(store.View(), "engine").(affinity.Policy)
	is.True(ok)
	_, ok = d.policy(store.View(), "plain").(twochoices.Policy)
	is.True(ok)
	_, ok = d.policy(store.View(), "chosen").(*roundrobin.Policy)
	is.True(ok)
}
