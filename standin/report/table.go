package report

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Table writes a table with a row for each second and group and a last row with the totals.
func (r Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "second\ton time\tlate first\tlate gap\trefused\tleft\tcut\twaited ms\tgroup\tstep ms\tbatch\tskew\tslowest\tspeed\t")
	var total Second
	for _, s := range r.Seconds {
		total.add(s)
		fmt.Fprintf(w, "%s\t%s", s.At.Format(time.TimeOnly), s.cells())
		if len(s.Groups) == 0 {
			fmt.Fprint(w, "\t\t\t\t\t\t\n")
		}
		for i, g := range s.Groups {
			if i > 0 {
				fmt.Fprint(w, "\t\t\t\t\t\t\t\t")
			}
			fmt.Fprintf(w, "%s\t%d\t%.1f\t%.2f\t%d\t%.2f\t\n", g.Name, g.StepLength.Milliseconds(), g.Batch, g.Skew, g.SlowestRank, g.SlowestSpeed)
		}
	}
	fmt.Fprintf(w, "all\t%s\t\t\t\t\t\t\n", total.cells())
	return w.Flush()
}

func (s *Second) add(other Second) {
	s.OnTime += other.OnTime
	s.LateFirst += other.LateFirst
	s.LateGap += other.LateGap
	s.Refused += other.Refused
	s.Left += other.Left
	s.Cut += other.Cut
	s.Waited += other.Waited
}

func (s Second) cells() string {
	mean := time.Duration(0)
	if n := s.Requests(); n > 0 {
		mean = s.Waited / time.Duration(n)
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t", s.OnTime, s.LateFirst, s.LateGap, s.Refused, s.Left, s.Cut, mean.Milliseconds())
}

const (
	plotWidth, plotHeight = 1200, 480 // pixels
	// minPoints is the minimum number of points of a line in a plot.
	minPoints = 2
)

// Plot writes an SVG plot of the requests a second by outcome and, on the secondary axis,
// of the step length of each group.
func (r Report) Plot(out io.Writer) error {
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		XAxis:          chart.XAxis{Name: "time", ValueFormatter: chart.TimeValueFormatterWithFormat(time.TimeOnly)},
		YAxis:          chart.YAxis{Name: "requests a second"},
		YAxisSecondary: chart.YAxis{Name: "step, ms"},
	}
	graph.Series = append(r.outcomeSeries(), r.stepSeries()...)
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return graph.Render(chart.SVG, out)
}

// outcomeSeries returns a line for each outcome of requests.
func (r Report) outcomeSeries() []chart.Series {
	kinds := []struct {
		name  string
		count func(Second) int
	}{
		{"on time", func(s Second) int { return s.OnTime }},
		{"first event late", func(s Second) int { return s.LateFirst }},
		{"gap too long", func(s Second) int { return s.LateGap }},
		{"refused", func(s Second) int { return s.Refused }},
		{"left or cut", func(s Second) int { return s.Left + s.Cut }},
	}
	var out []chart.Series
	for _, k := range kinds {
		line := chart.TimeSeries{Name: k.name}
		for _, s := range r.Seconds {
			line.XValues = append(line.XValues, s.At)
			line.YValues = append(line.YValues, float64(k.count(s)))
		}
		if len(line.XValues) >= minPoints {
			out = append(out, line)
		}
	}
	return out
}

// stepSeries returns a line with the step lengths of each group.
func (r Report) stepSeries() []chart.Series {
	lines := make(map[string]*chart.TimeSeries)
	var names []string
	for _, s := range r.Seconds {
		for _, g := range s.Groups {
			line := lines[g.Name]
			if line == nil {
				line = &chart.TimeSeries{Name: "step of " + g.Name, YAxis: chart.YAxisSecondary}
				lines[g.Name] = line
				names = append(names, g.Name)
			}
			line.XValues = append(line.XValues, s.At)
			line.YValues = append(line.YValues, float64(g.StepLength.Milliseconds()))
		}
	}
	var out []chart.Series
	for _, name := range names {
		if len(lines[name].XValues) >= minPoints {
			out = append(out, *lines[name])
		}
	}
	return out
}
