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

// The content of a request is the last part of its prompt or, without one, its body.
func TestFingerprintsOfEqualContent(t *testing.T) {
	is := is.New(t)
	content := func(i Identity) Fingerprint { return i.Fingerprints()[1] }
	is.Equal(content(Identity{Team: "t", Target: "/a", Body: []byte("body")}), content(Identity{Team: "u", Target: "/b", Body: []byte("body")}))
	own := content(Identity{Target: "/a", Prompt: []string{"first", "own"}, Body: []byte("body")})
	is.Equal(own, content(Identity{Target: "/b", Prompt: []string{"other", "own"}, Body: []byte("Body")}))
	is.True(own != content(Identity{Target: "/a", Prompt: []string{"first", "other"}, Body: []byte("body")}))
	is.Equal(len(Identity{Team: "t", Target: "/a"}.Fingerprints()), 1)
}
