package gateway

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/link"
	"baywall.example/core/source"
	"baywall.example/core/wire"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// manyRoutes returns text that resembles a configuration of n routes.
func manyRoutes(n int) []byte {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, `{"name":"r-%d","host":"host%d.example","path-prefix":"/p%d/","service":"s","kind":"streaming","timeout-ms":8000},`, i, i%7, i*7919)
	}
	return []byte(out.String())
}

func TestStateRoundTrip(t *testing.T) {
	is := is.New(t)
	large := source.Item{Key: "config", Value: manyRoutes(1400), Position: at(9)}
	small := source.Item{Key: "server", Value: []byte("{}"), Position: at(8)}
	var p packer
	whole := source.State{Items: map[string]source.Item{"config": large, "server": small}, Position: at(9), Changed: at(9)}
	w := p.reply(whole, time.Now())
	t.Logf("%d B of routes in %d B", len(large.Value), proto.Size(w))
	is.True(proto.Size(w) < len(large.Value)/8)
	got, err := stateFromWire(w, time.Now())
	is.NoErr(err)
	is.Equal(got, whole)

	events := source.State{
		Events: []source.Event{{Item: large}, {Item: source.Item{Key: "gone", Position: at(7)}, Removed: true}}, After: at(3), Position: at(9), Changed: at(9),
	}
	got, err = stateFromWire(p.reply(events, time.Now()), time.Now())
	is.NoErr(err)
	is.Equal(got, events)
}

func TestCompressionCacheIsKeyedByRevision(t *testing.T) {
	is := is.New(t)
	var p packer
	first := source.Item{Key: "config", Value: manyRoutes(100), Position: at(1)}
	second := source.Item{Key: "config", Value: manyRoutes(101), Position: at(2)}
	for _, i := range []source.Item{first, first, second, first} {
		got, err := itemFromWire(p.item(i))
		is.NoErr(err)
		is.Equal(got, i)
	}
}

func TestCorruptCompressedValueIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := stateFromWire(&wire.SourceReply{Items: []*wire.SourceItem{{Key: "a", Value: []byte("no flate"), Packed: true}}}, time.Now())
	is.True(err != nil)
}

// Entries that cannot be decoded name no backend server and leave the other entries in
// force. Each is logged and counted once, however often the list is read.
func TestUnreadableEntryIsSkippedAndCountedOnce(t *testing.T) {
	is := is.New(t)
	w := &testGateway{}
	good := item(t, "backends/a", balance.Info{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 4})
	bad := source.Item{Key: "backends/b", Value: []byte{0, 0xff}, Position: at(3)}
	w.run(t, fixedStore{item(t, "catalog", catalog.Content{Version: 1, Routes: routes()}), good, bad})
	is.Equal(w.gateway.registry.Load("s", time.Now()).Servers, 1)
	is.Equal(w.gateway.inst.entriesRefused.Get(), uint64(1))
	update := source.Update{Items: map[string]source.Item{good.Key: good, bad.Key: bad}, Position: at(4)}
	w.gateway.applyBackends(update)
	is.Equal(w.gateway.inst.entriesRefused.Get(), uint64(1))
	bad.Position = at(5)
	update.Items[bad.Key] = bad
	w.gateway.applyBackends(update)
	is.Equal(w.gateway.inst.entriesRefused.Get(), uint64(2))
}

// Values that unpack to more than a gateway can hold, each or together.
func TestPackedValuesWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name        string
		size, items int
	}{{"one", endless, 1}, {"many", maxUnpackedSize, 200}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p packer
			value := p.pack(source.Item{Value: make([]byte, c.size)})
			reply := &wire.SourceReply{}
			for i := range c.items {
				reply.Items = append(reply.Items, &wire.SourceItem{Key: fmt.Sprint(i), Value: value, Packed: true})
			}
			is.True(proto.Size(reply) < link.MaxMessage)
			grown := watchMemory()
			_, err := stateFromWire(reply, time.Now())
			is.True(errors.Is(err, errState))
			is.True(grown() < gatewayMemory)
		})
	}
}
