package expertmap

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// maxPacked bounds an unpacked map, in bytes: 128 ranks with 58 layers of 3 slots take
// 45 kB.
const maxPacked = 1 << 20

// Pack encodes the map's slots compactly: as varints of expert + 1, compressed. The
// initial map of 96 ranks, 16 layers and 3 slots takes 0.5 kB instead of 7 kB, a planned
// one 5 kB.
func (m Map) Pack() []byte {
	raw := m.appendSlots(nil)
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(raw) // to memory
	_ = w.Close()       // to memory
	return out.Bytes()
}

// Checksum returns a checksum of the map's slots. Unlike Digest, it depends on the order of
// the experts within a rank's slots.
func (m Map) Checksum() uint64 { return xxhash.Sum64(m.appendSlots(nil)) }

func (m Map) appendSlots(raw []byte) []byte {
	raw = binary.AppendUvarint(raw, uint64(len(m.Layers)))
	for _, row := range m.Layers {
		raw = binary.AppendUvarint(raw, uint64(len(row)))
		for _, e := range row {
			raw = binary.AppendUvarint(raw, uint64(e+1))
		}
	}
	return raw
}

// Unpack decodes the packed slots of a map of the given version.
func Unpack(version uint64, packed []byte) (Map, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPacked))
	if err != nil {
		return Map{}, eris.Wrapf(ErrShape, "packed map: %v", err)
	}
	r := &varintReader{raw: raw}
	m := Map{Version: version, Layers: make([][]int32, r.count())}
	for l := range m.Layers {
		m.Layers[l] = make([]int32, r.count())
		for i := range m.Layers[l] {
			m.Layers[l][i] = int32(r.next()) - 1
		}
	}
	if r.invalid || len(r.raw) > 0 {
		return Map{}, eris.Wrap(ErrShape, "packed map: invalid encoding")
	}
	return m, nil
}

// varintReader reads unsigned varints from a buffer.
type varintReader struct {
	raw     []byte
	invalid bool
}

func (r *varintReader) next() uint64 {
	v, n := binary.Uvarint(r.raw)
	if n <= 0 {
		r.invalid, r.raw = true, nil
		return 0
	}
	r.raw = r.raw[n:]
	return v
}

// count reads the number of elements that follow, each at least one byte long.
func (r *varintReader) count() int {
	n := r.next()
	if n > uint64(len(r.raw)) {
		r.invalid, r.raw = true, nil
		return 0
	}
	return int(n)
}
