package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// All gateways of a zone agree on who follows the store, and when one goes, one
// takes its place.
func TestWatchersOfAZone(t *testing.T) {
	is := is.New(t)
	zone := []string{"a", "b", "c", "d", "e"}
	first := watchers(zone)
	is.Equal(len(first), watchersPerZone)
	is.Equal(watchers([]string{"e", "c", "a", "b", "d"}), first)
	var left []string
	for _, id := range zone {
		if id != first[0] {
			left = append(left, id)
		}
	}
	next := watchers(left)
	is.Equal(len(next), watchersPerZone)
	is.Equal(next[0], first[1])
	is.Equal(watchers([]string{"a"}), []string{"a"})
}
