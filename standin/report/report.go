// Package report reads the structured logs of a fleet and counts, for each second,
// how many requests were answered on time, late or not at all, together with the state
// of the expert-parallel groups. It shows what an incident cost and whether passes,
// queues or faults were the cause.
//
// Lines may be in any order and from any process. The JSON object of a line may follow a
// prefix, such as log collectors add; lines without a JSON object are skipped. Clocks of
// VMs may differ: a line belongs to the second by the clock of the VM that wrote it.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// ErrNoLines is returned by Read if a log has no line that the report counts.
var ErrNoLines = errors.New("report: no line of an answered or refused request")

// maxLine is the maximum size of a log line in bytes.
const maxLine = 1 << 20

// Second counts the requests that ended in one second and holds the group states logged
// in it.
type Second struct {
	At time.Time // start of the second

	OnTime    int           // responses
	LateFirst int           // responses whose first event, or body, came late
	LateGap   int           // responses with a gap between events over the target
	Refused   int           // requests refused, whether or not they are known not to have run
	Left      int           // requests whose caller left
	Cut       int           // responses that ended early
	Waited    time.Duration // total time that these requests waited at gateways

	Groups []Group // states of groups, sorted by name
}

// Requests returns the number of requests that ended in the second.
func (s Second) Requests() int {
	return s.OnTime + s.LateFirst + s.LateGap + s.Refused + s.Left + s.Cut
}

// Group is the state of a group as logged by its coordinator.
type Group struct {
	Name         string
	StepLength   time.Duration // mean
	Batch        float64       // requests per rank, mean
	Skew         float64       // load of the most loaded rank relative to the mean
	SlowestRank  int
	SlowestSpeed float64 // relative to the usual speed, which is 1
}

// Report holds the seconds of a log in order.
type Report struct {
	Service string // service whose requests are counted, "" = all
	Seconds []Second
}

// line holds the fields of a log line that the report needs.
type line struct {
	Message      string    `json:"message"`
	Time         time.Time `json:"time"`
	Service      string    `json:"service"`
	Punctuality  string    `json:"punctuality"`
	Waited       float64   `json:"waited"` // ms
	Group        string    `json:"group"`
	StepLength   float64   `json:"step_length"` // ms
	Batch        float64   `json:"batch"`
	Skew         float64   `json:"skew"`
	SlowestRank  int       `json:"slowest_rank"`
	SlowestSpeed float64   `json:"slowest_speed"`
}

// Read reads a log. If service is not empty, requests of other services are not counted.
func Read(in io.Reader, service string) (Report, error) {
	seconds := make(map[int64]*Second)
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok || service != "" && l.Service != service && l.Group == "" {
			continue
		}
		at := l.Time.Truncate(time.Second)
		s := seconds[at.Unix()]
		if s == nil {
			s = &Second{At: at}
		}
		if s.addLine(l) {
			seconds[at.Unix()] = s
		}
	}
	if err := scanner.Err(); err != nil {
		return Report{}, fmt.Errorf("report: %w", err)
	}
	if len(seconds) == 0 {
		return Report{}, ErrNoLines
	}
	out := Report{Service: service}
	for _, s := range seconds {
		slices.SortFunc(s.Groups, func(a, b Group) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
		out.Seconds = append(out.Seconds, *s)
	}
	slices.SortFunc(out.Seconds, func(a, b Second) int { return a.At.Compare(b.At) })
	return out, nil
}

// parse parses the JSON object of a line. It returns false if there is none or it has no
// time.
func parse(raw []byte) (line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return line{}, false
	}
	var l line
	if err := json.Unmarshal(raw[at:], &l); err != nil || l.Time.IsZero() {
		return line{}, false // not a log line of the fleet
	}
	return l, true
}

// addLine adds a line to the second. It reports whether the line is of a kind that the
// report counts.
func (s *Second) addLine(l line) bool {
	switch l.Message {
	case "request answered":
		s.answered(l.Punctuality)
	case "request refused":
		s.Refused++
	case "caller left":
		s.Left++
	case "answer aborted":
		s.Cut++
	case "group state":
		s.Groups = append(s.Groups, Group{
			Name: l.Group, StepLength: milliseconds(l.StepLength), Batch: l.Batch, Skew: l.Skew,
			SlowestRank: l.SlowestRank, SlowestSpeed: l.SlowestSpeed,
		})
		return true
	default:
		return false
	}
	s.Waited += milliseconds(l.Waited)
	return true
}

func (s *Second) answered(punctuality string) {
	switch punctuality {
	case "late-first":
		s.LateFirst++
	case "late-gap":
		s.LateGap++
	default:
		s.OnTime++
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
