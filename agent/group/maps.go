package group

import (
	"sync"

	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

// mapCache keeps the last map that was received of each group. It is safe for
// concurrent use.
type mapCache struct {
	mu   sync.Mutex
	last map[string]expertmap.Map
}

// resolve returns the map of an order to prepare, and whether it could be made.
func (c *mapCache) resolve(w *wire.SwitchOrder) (expertmap.Map, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.made(w)
	if !ok {
		return m, false
	}
	if c.last == nil {
		c.last = make(map[string]expertmap.Map)
	}
	c.last[w.GetGroup()] = m
	return m, true
}

func (c *mapCache) made(w *wire.SwitchOrder) (expertmap.Map, bool) {
	version := w.GetMap().GetVersion()
	if w.GetChanges() != nil {
		return applyChanges(c.last[w.GetGroup()], w.GetChanges(), version)
	}
	m, err := expertmap.Unpack(version, w.GetPackedMap())
	return m, err == nil
}

// version returns the version of a group's last map, 0 = none.
func (c *mapCache) version(group string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[group].Version
}

// keptMaps is how many maps a coordinator keeps: those in use and in preparation, and
// some that ranks may have been given before.
const keptMaps = 6

// maps are the maps that a coordinator knows, and which of them its ranks' agents were
// given last. It is safe for concurrent use.
type maps struct {
	mu     sync.Mutex
	known  []expertmap.Map // the latest last
	cached map[int]uint64  // version by rank, 0 = none
	packed []byte
	of     uint64 // version of packed
}

// add keeps a map.
func (k *maps) add(m expertmap.Map) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range k.known {
		if other.Version == m.Version {
			return
		}
	}
	k.known = append(k.known, m)
	k.known = k.known[max(0, len(k.known)-keptMaps):]
}

// pack returns the map's packed slots, which all ranks without a known map are sent.
func (k *maps) pack(m expertmap.Map) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.packed == nil || k.of != m.Version {
		k.packed, k.of = m.Pack(), m.Version
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

// base returns the map that a rank's agent was given last, and whether it was any that
// is known.
func (k *maps) base(rank int) (expertmap.Map, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cached[rank] == 0 {
		return expertmap.Map{}, false
	}
	return k.find(k.cached[rank])
}

// given notes the version that a rank's agent was given last, 0 = none.
func (k *maps) given(rank int, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cached == nil {
		k.cached = make(map[int]uint64)
	}
	k.cached[rank] = version
}
