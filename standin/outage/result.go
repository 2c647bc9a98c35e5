package outage

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Second counts the callers whose first try was in one second, by outcome.
type Second struct{ OnTime, Late, Lost int }

// Worth returns the mean value of the callers' responses: 1 for one on time, lateWorth for
// a late one and 0 for a lost caller. It returns 1 if there were no callers.
func (s Second) Worth() float64 {
	all := s.OnTime + s.Late + s.Lost
	if all == 0 {
		return 1
	}
	return (float64(s.OnTime) + lateWorth*float64(s.Late)) / float64(all)
}

// Result is the result of one simulation, by the second of the callers' first tries.
type Result struct{ Seconds []Second }

func (r *Result) of(c *caller) *Second {
	return &r.Seconds[min(len(r.Seconds)-1, int(c.firstTry/time.Second))]
}

func (r *Result) served(c *caller) {
	if c.late {
		r.of(c).Late++
		return
	}
	r.of(c).OnTime++
}

func (r *Result) lost(c *caller) { r.of(c).Lost++ }

// Between returns the sum of the seconds from from up to, but not including, to.
func (r Result) Between(from, to int) Second {
	var sum Second
	for _, s := range r.Seconds[from:to] {
		sum.OnTime += s.OnTime
		sum.Late += s.Late
		sum.Lost += s.Lost
	}
	return sum
}

// Comparison holds the worth per second under several policies, as a mean over seeds.
type Comparison struct {
	Names []string
	Worth [][]float64 // by policy and second
}

// Compare simulates a load with a number of seeds under each policy.
func Compare(load func(seed uint64) Load, policies []Policy, seeds int) Comparison {
	var out Comparison
	for _, p := range policies {
		var mean []float64
		for seed := range seeds {
			for i, s := range Run(load(uint64(seed+1)), p).Seconds {
				if seed == 0 {
					mean = append(mean, 0)
				}
				mean[i] += s.Worth() / float64(seeds)
			}
		}
		out.Names = append(out.Names, p.Name())
		out.Worth = append(out.Worth, mean)
	}
	return out
}

// Table writes a table with a row for each second.
func (c Comparison) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "second\t")
	for _, name := range c.Names {
		fmt.Fprintf(w, "%s\t", name)
	}
	fmt.Fprintln(w)
	means := make([]float64, len(c.Names))
	for second := range c.Worth[0] {
		fmt.Fprintf(w, "%d\t", second)
		for p := range c.Worth {
			fmt.Fprintf(w, "%.2f\t", c.Worth[p][second])
			means[p] += c.Worth[p][second] / float64(len(c.Worth[p]))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "mean\t")
	for _, m := range means {
		fmt.Fprintf(w, "%.3f\t", m)
	}
	fmt.Fprintln(w)
	return w.Flush()
}

const plotWidth, plotHeight = 1200, 480 // pixels

// Plot writes an SVG plot with a line for each policy.
func (c Comparison) Plot(out io.Writer) error {
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		XAxis: chart.XAxis{Name: "second of the first try"}, YAxis: chart.YAxis{Name: "part of the worth earned"},
	}
	for p, name := range c.Names {
		line := chart.ContinuousSeries{Name: name}
		for second, worth := range c.Worth[p] {
			line.XValues = append(line.XValues, float64(second))
			line.YValues = append(line.YValues, worth)
		}
		graph.Series = append(graph.Series, line)
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return graph.Render(chart.SVG, out)
}
