package expertmap

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		m := Map{Version: rapid.Uint64().Draw(t, "version"), Layers: [][]int32{}}
		for range rapid.IntRange(0, 4).Draw(t, "layers") {
			m.Layers = append(m.Layers, rapid.SliceOfN(rapid.Int32Range(Empty, 4095), 1, 40).Draw(t, "row"))
		}
		got, err := Unpack(m.Version, m.Pack())
		is.NoErr(err)
		is.Equal(got, m)
	})
}

func TestUnpackRejectsInvalidInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "raw")
		if m, err := Unpack(1, raw); err == nil {
			// Input that decodes is a valid map, so it survives another round trip.
			again, err := Unpack(1, m.Pack())
			is := is.New(t)
			is.NoErr(err)
			is.Equal(again, m)
		}
	})
	is := is.New(t)
	whole := Map{Layers: [][]int32{{1, 2, 3}}}.Pack()
	_, err := Unpack(1, whole[:len(whole)/2])
	is.True(err != nil)
}

// The first map sent to the ranks of a group is close to the initial one.
func TestTheInitialMapOfALargeGroupIsSmall(t *testing.T) {
	is := is.New(t)
	m, err := Initial(largeShape)
	is.NoErr(err)
	t.Logf("%d B", len(m.Pack()))
	is.True(len(m.Pack()) < 600)
}
