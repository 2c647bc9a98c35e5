package expertmap

import "testing"

func TestDigestIsThatOfTheExpertsByRank(t *testing.T) {
	base := Map{Version: 7, Layers: [][]int32{{0, 1, 2, Empty}, {3, 2, 1, 0}}}
	for name, c := range map[string]struct {
		layers [][]int32
		equal  bool
	}{
		"another order within a rank":      {[][]int32{{1, 0, 2, Empty}, {2, 3, 1, 0}}, true},
		"another empty slot":               {[][]int32{{0, 1, Empty, 2}, {3, 2, 1, 0}}, true},
		"an expert on another rank":        {[][]int32{{0, 2, 1, Empty}, {3, 2, 1, 0}}, false},
		"another expert in the empty slot": {[][]int32{{0, 1, 2, 0}, {3, 2, 1, 0}}, false},
		"ranks exchanged":                  {[][]int32{{2, Empty, 0, 1}, {1, 0, 3, 2}}, false},
		"layers exchanged":                 {[][]int32{{3, 2, 1, 0}, {0, 1, 2, Empty}}, false},
		"a layer less":                     {[][]int32{{0, 1, 2, Empty}}, false},
	} {
		if equal := (Map{Version: 8, Layers: c.layers}).Digest(2) == base.Digest(2); equal != c.equal {
			t.Errorf("%s: equal digests: %v", name, equal)
		}
	}
	if PlacementDigest([][]int32{{2}, {0, 1}}) != base.RankDigest(1, 2) {
		t.Error("a rank's list without its empty slot has another digest than its part of the map")
	}
	if got := FormatDigest(base.Digest(2)); got != "55c8587f0db51f05" {
		t.Errorf("digest %s; agents of several releases compare digests", got)
	}
}
