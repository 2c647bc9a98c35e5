// Package report reads the structured logs of a fleet and tells, second by second,
// how many requests were answered on time, late or not at all, beside the state of
// the expert-parallel groups. It answers the question what an incident cost, and
// whether passes, queues or faults were the reason.
//
// Lines may come in any order and from any process, and may have a prefix before
// their JSON object, as log collectors add; lines without one are skipped. Clocks of
// VMs may differ: a second is that of the VM that wrote the line.
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

// ErrNoLines means that a log has no line that the report is made of.
var ErrNoLines = errors.New("report: no line of an answered or refused request")

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Second is what ended, or was seen, in one second.
type Second struct {
	At time.Time // its begin

	OnTime    int           // answers
	LateFirst int           // answers whose first event, or body, came late
	LateGap   int           // answers with a gap over the target
	Refused   int           // requests refused, with proof that they did not run or without
	Left      int           // requests whose caller left
	Cut       int           // answers that ended early
	Waited    time.Duration // of all these requests at gateways, summed

	Groups []Group // state of groups, by name
}

// Requests returns the number of requests that ended in the second.
func (s Second) Requests() int {
	return s.OnTime + s.LateFirst + s.LateGap + s.Refused + s.Left + s.Cut
}

// Group is the state of one group as its coordinator logged it.
type Group struct {
	Name         string
	StepLength   time.Duration // mean
	Batch        float64       // requests of a rank, mean
	Skew         float64       // most loaded rank over the mean
	SlowestRank  int
	SlowestSpeed float64 // 1 = as usual
}

// Report is a log's seconds in order.
type Report struct {
	Service string // of which it tells, "" = all
	Seconds []Second
}

// line is what the report needs of a log line.
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

// Read reads a log. With a service, requests of others do not count.
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
		if s.take(l) {
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

// parse returns the JSON object of a line, if there is one with a time.
func parse(raw []byte) (line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return line{}, false
	}
	var l line
	if err := json.Unmarshal(raw[at:], &l); err != nil || l.Time.IsZero() {
		return line{}, false // not a line of the fleet
	}
	return l, true
}

// take counts a line and reports whether it is one that the report is made of.
func (s *Second) take(l line) bool {
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
