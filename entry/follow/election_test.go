package follow

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// All gateways of a zone agree on which of them follow the store. When one of these leaves,
// another one replaces it.
func TestWatchersOfAZone(t *testing.T) {
	is := is.New(t)
	zone := []string{"a", "b", "c", "d", "e"}
	watchers := func(standby []string, active ...string) []string {
		w := candidates{active: active, standby: standby}
		return w.first(watchersPerZone)
	}
	first := watchers(zone)
	is.Equal(len(first), watchersPerZone)
	is.Equal(watchers([]string{"e", "c", "a", "b", "d"}), first)
	without := func(gone string) []string {
		var left []string
		for _, id := range zone {
			if id != gone {
				left = append(left, id)
			}
		}
		return left
	}
	for _, id := range zone {
		next := watchers(without(id))
		is.Equal(len(next), watchersPerZone)
		if !slices.Contains(first, id) {
			is.Equal(next, first) // a gateway that does not follow makes no difference
			continue
		}
		is.True(!slices.Contains(next, id)) // another one replaces it
	}
	is.Equal(watchers([]string{"a"}), []string{"a"})
	is.Equal(watchers([]string{"a", "b", "c", "e"}, "d")[0], "d") // an active one comes first
	is.Equal(watchers(nil, zone...), first)
}
