package rankserver

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/agent/rank"
)

func TestChangesOfTheMapInUseAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	var m mapInUse
	for _, c := range []struct {
		epoch, version, step uint64
		lines                int
	}{
		{1, 0, 3, 1}, {1, 0, 4, 0}, {1, 7, 6, 1}, {1, 0, 5, 0} /* an older report */, {1, 7, 7, 0}, {2, 0, 1, 1},
	} {
		lines.Reset()
		m.observe(rank.Report{Group: "g", Epoch: c.epoch, Map: c.version, Step: c.step}, nil, zerolog.New(&lines))
		is.Equal(bytes.Count(lines.Bytes(), []byte("\n")), c.lines)
	}
}
