package gateway

import (
	"bytes"
	"compress/flate"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/bounded"
	"baywall.example/core/source"
	"baywall.example/core/wire"
)

const (
	// minPackedSize is the size of a value, in bytes, from which it is sent compressed.
	minPackedSize = 4 << 10
	// maxUnpackedSize bounds the decompressed size of a value, in bytes. Stores hold up to
	// a megabyte.
	maxUnpackedSize = 4 << 20
	// maxStateSize bounds the keys and values of a whole state, in bytes, as much as those of a
	// list of the store.
	maxStateSize = 16 << 20
)

// errState means that a state from another gateway could not be decoded.
var errState = eris.New("gateway: cannot decode state")

// packer encodes states as messages. It caches compressed values, as many gateways request
// the same configuration. It is safe for concurrent use.
type packer struct {
	mu    sync.Mutex
	cache map[string]packedValue // by key
}

type packedValue struct {
	at    source.Position
	value []byte
}

func (p *packer) reply(s source.State, now time.Time) *wire.SourceReply {
	out := &wire.SourceReply{
		Era: s.Term, Revision: s.Revision, ChangedEra: s.Changed.Term, Changed: s.Changed.Revision,
		After: s.After.Revision, Base: s.Base.Revision,
	}
	for _, item := range s.Items {
		out.Items = append(out.Items, p.item(item))
	}
	for _, e := range s.Events {
		item := p.item(e.Item)
		item.Removed = e.Removed
		out.Items = append(out.Items, item)
	}
	for _, item := range s.RetainedItems {
		out.Kept = append(out.Kept, p.item(item))
	}
	for _, g := range s.Gone {
		item := p.item(g.Item)
		item.Removed = !g.Missing
		item.AgeMs = uint32(now.Sub(g.At).Milliseconds())
		out.Gone = append(out.Gone, item)
	}
	return out
}

func (p *packer) item(i source.Item) *wire.SourceItem {
	out := &wire.SourceItem{Key: i.Key, Value: i.Value, Era: i.Term, Revision: i.Revision}
	if len(i.Value) >= minPackedSize {
		out.Value, out.Packed = p.pack(i), true
	}
	return out
}

// pack returns the compressed value. A configuration of 1,400 routes shrinks to a twelfth
// of its size.
func (p *packer) pack(i source.Item) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.cache[i.Key]; ok && c.at == i.Position {
		return c.value
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // not reached: the level is valid
	}
	_, _ = w.Write(i.Value) // to memory
	_ = w.Close()           // to memory
	if p.cache == nil {
		p.cache = make(map[string]packedValue)
	}
	p.cache[i.Key] = packedValue{i.Position, out.Bytes()}
	return out.Bytes()
}

func stateFromWire(w *wire.SourceReply, now time.Time) (source.State, error) {
	at := func(revision uint64) source.Position { return source.Position{Term: w.GetEra(), Revision: revision} }
	out := source.State{
		Position: at(w.GetRevision()), Changed: source.Position{Term: w.GetChangedEra(), Revision: w.GetChanged()},
		Base: at(w.GetBase()),
	}
	var u unpacker
	if w.GetAfter() == 0 {
		out.Items = make(map[string]source.Item, len(w.GetItems()))
	} else {
		out.After = at(w.GetAfter())
	}
	for _, i := range w.GetItems() {
		item, err := u.item(i)
		if err != nil {
			return source.State{}, err
		}
		if out.Items != nil {
			out.Items[item.Key] = item
			continue
		}
		out.Events = append(out.Events, source.Event{Item: item, Removed: i.GetRemoved()})
	}
	for _, i := range w.GetKept() {
		item, err := u.item(i)
		if err != nil {
			return source.State{}, err
		}
		out.RetainedItems = append(out.RetainedItems, item)
	}
	for _, i := range w.GetGone() {
		item, err := u.item(i)
		if err != nil {
			return source.State{}, err
		}
		age := time.Duration(i.GetAgeMs()) * time.Millisecond
		out.Gone = append(out.Gone, source.Removal{Item: item, At: now.Add(-age), Missing: !i.GetRemoved()})
	}
	return out, nil
}

// unpacker decodes the items of a state, up to maxStateSize.
type unpacker struct {
	size int // of the keys and values, in bytes
}

func (u *unpacker) item(w *wire.SourceItem) (source.Item, error) {
	item, err := itemFromWire(w)
	u.size += len(item.Key) + len(item.Value)
	if err == nil && u.size > maxStateSize {
		return source.Item{}, eris.Wrapf(errState, "over %d bytes", maxStateSize)
	}
	return item, err
}

func itemFromWire(w *wire.SourceItem) (source.Item, error) {
	out := source.Item{
		Key: w.GetKey(), Value: w.GetValue(), Position: source.Position{Term: w.GetEra(), Revision: w.GetRevision()},
	}
	if !w.GetPacked() {
		return out, nil
	}
	raw, err := bounded.ReadAll(flate.NewReader(bytes.NewReader(w.GetValue())), maxUnpackedSize)
	if err != nil {
		return source.Item{}, eris.Wrapf(errState, "%s: %v", w.GetKey(), err)
	}
	out.Value = raw
	return out, nil
}
