package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestFingerprintsOfEqualRequests(t *testing.T) {
	is := is.New(t)
	request := func(i Identity) Fingerprint { return i.Fingerprints()[0] }
	one := Identity{Team: "t", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body")}
	is.Equal(request(one), request(one))
	for name, other := range map[string]Identity{
		"team":     {Team: "u", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body")},
		"query":    {Team: "t", Method: "POST", Host: "h", Target: "/a?c", Body: []byte("body")},
		"body":     {Team: "t", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("Body")},
		"division": {Team: "t", Method: "POST", Host: "h", Target: "/a", Body: []byte("?bbody")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(request(one) != request(other))
		})
	}
}

// The body has a fingerprint of its own, unless it is empty.
func TestFingerprintsOfEqualBodies(t *testing.T) {
	is := is.New(t)
	one := Identity{Team: "t", Method: "POST", Host: "h", Target: "/a", Body: []byte("body")}.Fingerprints()
	other := Identity{Team: "u", Method: "PUT", Host: "i", Target: "/b", Body: []byte("body")}.Fingerprints()
	is.Equal(len(one), 2)
	is.True(one[0] != other[0])
	is.Equal(one[1], other[1])
	is.Equal(len(Identity{Team: "t", Target: "/a"}.Fingerprints()), 1)
}
