// Package rendezvous orders nodes for a key by highest random weight.
//
// Every process that holds the same node list computes the same order without
// any message. When a node leaves, only the keys it came first for move. The
// hash is xxHash64 over the node and the key; it is not meant to resist an
// adversary who chooses node names.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the 64-bit hash of a string key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Weight returns the weight of a node for a key; the largest weight wins.
// Both arguments are hashes, so that callers can precompute them.
func Weight(node, key uint64) uint64 {
	x := node ^ (key * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Order returns the nodes sorted by falling weight for the key. The name
// function gives each node's unique name, which also breaks ties.
func Order[T any](nodes []T, key string, name func(T) string) []T {
	type weighted struct {
		node   T
		name   string
		weight uint64
	}
	k := Hash(key)
	ws := make([]weighted, len(nodes))
	for i, n := range nodes {
		s := name(n)
		ws[i] = weighted{node: n, name: s, weight: Weight(Hash(s), k)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]T, len(ws))
	for i, w := range ws {
		out[i] = w.node
	}
	return out
}
