package gateway

import (
	"testing"

	"github.com/matryer/is"
)

func TestEntriesPreferActiveGatewaysOfZone(t *testing.T) {
	never := func(int) int { return 1 }
	for name, c := range map[string]struct {
		known candidates
		draw  func(int) int
		want  []string
	}{
		"own zone": {candidates{own: []string{"c", "a", "b"}, ownStandby: []string{"s"}, others: []string{"o"}}, never, []string{"a", "b", "c"}},
		"a standby now and then": {
			candidates{own: []string{"a", "b", "c"}, ownStandby: []string{"s"}},
			func(int) int { return 0 },
			[]string{"a", "b", "c", "s"},
		},
		"few in the zone": {candidates{own: []string{"a"}, ownStandby: []string{"s"}, others: []string{"o", "p"}}, never, []string{"a", "o", "p"}},
		"none active":     {candidates{ownStandby: []string{"t", "s"}, othersStandby: []string{"q"}}, never, []string{"s", "t", "q"}},
		"nobody":          {candidates{}, never, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.known.choose(c.draw), c.want)
		})
	}
}
