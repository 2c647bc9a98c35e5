package rankserver

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/agent/rank"
)

func TestChangesOfTheMapInUseAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	var m mapInUse
	// The fourth report is older than the third.
	reports := []rank.Report{{Epoch: 1, Step: 3}, {Epoch: 1, Step: 4}, {Epoch: 1, Map: 7, Step: 6}, {Epoch: 1, Step: 5}, {Epoch: 1, Map: 7, Step: 7}, {Epoch: 2, Step: 1}}
	for i, logged := range []int{1, 1, 2, 2, 2, 3} {
		reports[i].Group = "g"
		m.observe(reports[i], nil, zerolog.New(&lines))
		is.New(t).Equal(bytes.Count(lines.Bytes(), []byte("\n")), logged)
	}
}
