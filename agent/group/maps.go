package group

import (
	"sync"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

// mapCache stores the map of the latest order to prepare that this rank accepted, for each
// group. It is safe for concurrent use.
type mapCache struct {
	mu   sync.Mutex
	last map[string]expertmap.Map
}

// resolve returns the map of an order to prepare, and whether it could be decoded. Changes
// can be decoded only if they result in the map that the coordinator has.
func (c *mapCache) resolve(w *wire.SwitchOrder) (expertmap.Map, bool) {
	version := w.GetMap().GetVersion()
	if w.GetChanges() != nil {
		m, ok := applyChanges(c.latest(w.GetGroup()), w.GetChanges(), version)
		return m, ok && mapswitch.IsVersionOf(version, m)
	}
	m, err := expertmap.Unpack(version, w.GetPackedMap())
	return m, err == nil
}

// store stores the map of an order that was accepted.
func (c *mapCache) store(group string, m expertmap.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = make(map[string]expertmap.Map)
	}
	c.last[group] = m
}

// version returns the version of a group's latest map, 0 = none.
func (c *mapCache) version(group string) uint64 { return c.latest(group).Version }

// latest returns a group's latest map, without layers if there is none.
func (c *mapCache) latest(group string) expertmap.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[group]
}

// maxKnownMaps is the number of maps that a coordinator stores: those in use and in
// preparation, and some that ranks may have received before.
const maxKnownMaps = 6

// maps holds the maps that a coordinator knows, and which of them each rank's agent
// received last. It is safe for concurrent use.
type maps struct {
	mu            sync.Mutex
	known         []expertmap.Map // latest last
	cached        map[int]uint64  // version by rank, 0 = none
	packed        []byte
	packedVersion uint64 // version of packed
}

// add stores a map.
func (k *maps) add(m expertmap.Map) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range k.known {
		if other.Version == m.Version {
			return
		}
	}
	k.known = append(k.known, m)
	k.known = k.known[max(0, len(k.known)-maxKnownMaps):]
}

// pack returns the map's packed slots, which are sent to all ranks without a known map.
func (k *maps) pack(m expertmap.Map) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.packed == nil || k.packedVersion != m.Version {
		k.packed, k.packedVersion = m.Pack(), m.Version
	}
	return k.packed
}

// get returns the map of a version, and whether it is known.
func (k *maps) get(version uint64) (expertmap.Map, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.find(version)
}

func (k *maps) find(version uint64) (expertmap.Map, bool) {
	for _, m := range k.known {
		if m.Version == version {
			return m, true
		}
	}
	return expertmap.Map{}, false
}

// base returns the map that a rank's agent received last, and whether that map is known.
func (k *maps) base(rank int) (expertmap.Map, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cached[rank] == 0 {
		return expertmap.Map{}, false
	}
	return k.find(k.cached[rank])
}

// setBase records the version that a rank's agent received last, 0 = none.
func (k *maps) setBase(rank int, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cached == nil {
		k.cached = make(map[int]uint64)
	}
	k.cached[rank] = version
}
