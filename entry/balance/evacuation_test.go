package balance

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// zonedInfos returns server a in zone x, and servers b and c in zone y.
func zonedInfos() []Info {
	list := infos("a", "b", "c")
	list[0].Zone, list[1].Zone, list[2].Zone = "x", "y", "y"
	return list
}

func TestEvacuatedZonesAreLeftOut(t *testing.T) {
	cases := []struct {
		name  string
		zones map[string]bool
		found Availability
		want  string
	}{
		{"none", nil, Available, "abc"},
		{"one", map[string]bool{"x": true}, Available, "bc"},
		{"all", map[string]bool{"x": true, "y": true}, Evacuated, ""},
		{"one without servers", map[string]bool{"z": true}, Available, "abc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(peerLoad{}, "", zerolog.Nop())
			r.Update(zonedInfos()[:2], at(1), 0, start)
			r.Evacuate(c.zones, start)
			r.Update(zonedInfos(), at(2), 0, start) // also with a server that is listed later
			picked := make(map[string]bool)
			for range 100 {
				choice, found := r.Pick(Demand{Service: "s"}, start)
				is.Equal(found, c.found)
				if found != Available {
					break
				}
				picked[choice.Server.ID] = true
				choice.Release()
			}
			is.Equal(len(picked), len(c.want))
			for _, id := range c.want {
				is.True(picked[string(id)])
			}
		})
	}
}

// A request that was assigned to a server before its zone was evacuated must not be sent
// to it, and the server must not be probed.
func TestAnEvacuatedServerIsNotSentAssignedRequests(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(peerLoad{}, "", zerolog.Nop())
	r.Update(zonedInfos()[:1], at(1), 0, start)
	choice, found := r.Pick(Demand{Service: "s"}, start)
	is.Equal(found, Available)
	is.NoErr(r.Admits(choice.Server, start))
	r.Evacuate(map[string]bool{"x": true}, start)
	is.Equal(r.Admits(choice.Server, start), ErrLeaving)
	r.Rejected(choice.Server, start)
	is.Equal(len(r.DueProbes(start)), 0)
	back, changed := r.Evacuate(nil, start)
	is.True(changed)
	is.Equal(len(back), 1)
	is.Equal(back[0].ID, choice.Server.ID)
	is.NoErr(r.Admits(choice.Server, start))
	is.True(choice.Server.startShare(start) < 1) // it is in slow start
}
