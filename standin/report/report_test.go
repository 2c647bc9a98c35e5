package report

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const log = `
  0.10 gw-1 {"message":"request answered","service":"llm","punctuality":"on-time","waited":10,"time":"2026-01-02T10:00:01.5Z"}
{"message":"request answered","service":"llm","punctuality":"late-gap","waited":30,"time":"2026-01-02T10:00:01.9Z"}
{"message":"request answered","service":"portal","punctuality":"late-first","time":"2026-01-02T10:00:01.9Z"}
{"message":"request refused","service":"llm","time":"2026-01-02T10:00:00.2Z"}
{"message":"caller left","service":"llm","time":"2026-01-02T10:00:02Z"}
{"message":"answer aborted","service":"llm","time":"2026-01-02T10:00:02Z"}
{"message":"group state","group":"g","step_length":58.4,"batch":6.5,"skew":1.2,"slowest_rank":3,"slowest_speed":0.3,"time":"2026-01-02T10:00:02Z"}
{"message":"peer lost","time":"2026-01-02T10:00:09Z"}
not a line of the fleet
{"broken":
`

func TestReadCountsBySecond(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(log), "llm")
	is.NoErr(err)
	is.Equal(len(r.Seconds), 3)
	is.Equal(r.Seconds[0].Refused, 1)
	is.Equal(r.Seconds[1].OnTime, 1)
	is.Equal(r.Seconds[1].LateGap, 1)
	is.Equal(r.Seconds[1].LateFirst, 0) // belongs to another service
	is.Equal(r.Seconds[1].Waited, 40*time.Millisecond)
	is.Equal(r.Seconds[2].Left+r.Seconds[2].Cut, 2)
	is.Equal(r.Seconds[2].Groups, []Group{{Name: "g", StepLength: 58400 * time.Microsecond, Batch: 6.5, Skew: 1.2, SlowestRank: 3, SlowestSpeed: 0.3}})
	all, err := Read(strings.NewReader(log), "")
	is.NoErr(err)
	is.Equal(all.Seconds[1].LateFirst, 1)
}

func TestReadFailsWithoutCountedLines(t *testing.T) {
	is := is.New(t)
	_, err := Read(strings.NewReader("nothing\n"), "")
	is.True(errors.Is(err, ErrNoLines))
}

func TestTableAndPlot(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(log), "")
	is.NoErr(err)
	var table, plot strings.Builder
	is.NoErr(r.Table(&table))
	is.True(strings.Contains(table.String(), "10:00:02"))
	is.True(strings.Contains(table.String(), "58"))
	is.NoErr(r.Plot(&plot))
	is.True(strings.HasPrefix(plot.String(), "<svg"))
	is.True(strings.Contains(plot.String(), "gap too long"))
}
