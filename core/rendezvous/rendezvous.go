// Package rendezvous implements rendezvous hashing (highest random weight): it orders
// nodes for a key.
//
// Every process with the same list of nodes computes the same order without any
// communication. When a node is removed, only the keys for which it came first move. The
// weight combines the xxHash64 values of the node and the key; it does not resist an
// adversary who chooses node names.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the 64-bit hash of a string key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Weight returns the weight of a node for a key; the node with the largest weight comes
// first. Both arguments are hashes, so that callers can precompute them.
func Weight(node, key uint64) uint64 {
	x := node ^ (key * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Order returns the nodes sorted by descending weight for the key. The name function
// returns each node's unique name, which also breaks ties.
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
