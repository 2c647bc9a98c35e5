package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/source"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

func entry(t *testing.T, key string, v any) source.Item {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return source.Item{Key: key, Value: raw}
}

// An entry from an older copy of the store is distinguished from one that was written
// later, for each kind of entry.
func TestOutdatedEntries(t *testing.T) {
	config := func(version uint64, n int) source.Item {
		return entry(t, "catalog", catalog.Content{Version: version, Routes: routes()[:n]})
	}
	server := func(i balance.Info) source.Item {
		i.ID, i.Service, i.Slots = "a", "s", 4
		return entry(t, "backends/a", i)
	}
	const here, there = "127.0.0.1:1", "127.0.0.1:2"
	broken := func(key string) source.Item { return source.Item{Key: key, Value: []byte{0xff}} }
	for _, c := range []struct {
		name          string
		known, listed source.Item
		outdated      bool
	}{
		{"a lower version", config(5, 1), config(4, 1), true},
		{"identical", config(5, 1), config(5, 1), false},
		{"the same version with new content", config(5, 1), config(5, 2), false},
		{"a higher version", config(5, 1), config(6, 1), false},
		{"undecodable copy", config(5, 1), broken("catalog"), true},
		{"undecodable before", broken("catalog"), config(4, 1), false},
		{"leaving before, not leaving in the copy", server(balance.Info{Address: here, Draining: true}), server(balance.Info{Address: here}), true},
		{"starts to leave", server(balance.Info{Address: here}), server(balance.Info{Address: here, Draining: true}), false},
		{"left and restarted", server(balance.Info{Address: here, Draining: true, Started: 1}), server(balance.Info{Address: here, Started: 2}), false},
		{"earlier incarnation", server(balance.Info{Address: here, Started: 2}), server(balance.Info{Address: here, Started: 1}), true},
		{"left, other address, no start time", server(balance.Info{Address: here, Draining: true}), server(balance.Info{Address: there}), false},
		{"unrelated key", source.Item{Key: "other", Value: []byte("2")}, source.Item{Key: "other", Value: []byte("1")}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{adapter: testAdapter{}}
			is.Equal(g.outdated(c.known, c.listed), c.outdated)
		})
	}
}

// A configuration in force is kept if the restored store lists a lower version, and
// replaced if the store lists the same version with content written after the restore.
func TestCatalogVersionNeverRegresses(t *testing.T) {
	is := is.New(t)
	w := start(t, 0, ok)
	g := w.gateway
	take := func(term, revision, version uint64, n int) {
		i := entry(t, "catalog", catalog.Content{Version: version, Routes: routes()[:n]})
		i.Position = source.Position{Term: term, Revision: revision}
		g.applyCatalog(source.Update{Items: map[string]source.Item{"catalog": i}, Position: i.Position})
	}
	take(1, 7, 7, 2)
	is.Equal(g.catalog.Version(), uint64(7))
	take(2, 4, 4, 5) // the restored older copy
	is.Equal(g.catalog.Version(), uint64(7))
	take(2, 7, 8, 3) // at the revision that version 7 had before
	is.Equal(g.catalog.Version(), uint64(8))
	before := g.catalog.Current()
	take(2, 9, 8, 4) // within one store term, a version has only one content
	is.Equal(g.catalog.Current(), before)
	take(3, 5, 8, 1) // the same version, written after another restore
	is.True(g.catalog.Current() != before)
	is.True(g.catalog.Current().Match("h", "/many/x") == nil)
}

func TestStateRoundTripKeepsPositions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	state := source.State{
		Items:    map[string]source.Item{"a": {Key: "a", Value: []byte("1"), Position: source.Position{Term: 2, Revision: 3}}},
		Position: source.Position{Term: 2, Revision: 9}, Changed: source.Position{Term: 2, Revision: 8}, Base: source.Position{Term: 2, Revision: 4},
		RetainedItems: []source.Item{{Key: "b", Value: manyRoutes(200), Position: source.Position{Term: 1, Revision: 30}}},
		Gone: []source.Removal{
			{Item: source.Item{Key: "c", Value: []byte("2"), Position: source.Position{Term: 1, Revision: 31}}, At: now.Add(-1500 * time.Millisecond)},
			{Item: source.Item{Key: "d", Position: source.Position{Term: 2, Revision: 9}}, At: now, Missing: true},
		},
	}
	var p packer
	got, err := stateFromWire(p.reply(state, now), now)
	is.NoErr(err)
	is.Equal(got, state)
}
