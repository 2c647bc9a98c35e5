package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"baywall.example/standin/ledger"
)

// Workload is a stream of similar requests.
type Workload struct {
	Service       string
	Stream        bool
	NonIdempotent bool
	Teams         []string
	Rate          float64 // requests a second
	Prefixes      int     // distinct prompt prefixes
	Prompt        int     // tokens
	Tokens        int     // mean answer length, in tokens
}

// Options configure a run.
type Options struct {
	Workloads []Workload
	Duration  time.Duration
	Seed      uint64
	// MaxInFlight is the maximum number of requests in flight. Default 2000.
	MaxInFlight int
	Progress    func(done int64)
}

// Report is the summary of a run.
type Report struct {
	Requests, Answered, NotRun, Unknown, Cut int
	// Duplicated counts non-idempotent requests that ran more than once, WrongAnswer answers
	// that do not belong to their request, FalseNotRun requests that ran although they were
	// refused as not run, and WithoutRun answers without an execution.
	Duplicated, WrongAnswer, FalseNotRun, WithoutRun int
	Resumed                                          int
	First, Total                                     *hdrhistogram.Histogram // microseconds
	Reasons                                          map[string]int
	Results                                          []Result
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	defaultInFlight = 2000
)

// Run sends the requests of the workloads and checks the results against the ledger.
func Run(ctx context.Context, caller *Caller, l *ledger.Ledger, o Options) *Report {
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultInFlight
	}
	var mu sync.Mutex
	var results []Result
	var done atomic.Int64
	tasks := pool.New().WithMaxGoroutines(o.MaxInFlight)
	arrivals(ctx, o, func(r Request) {
		tasks.Go(func() {
			res := caller.Do(ctx, r)
			mu.Lock()
			results = append(results, res)
			mu.Unlock()
			if n := done.Add(1); o.Progress != nil {
				o.Progress(n)
			}
		})
	})
	tasks.Wait()
	return Summarize(results, l)
}

// arrivals calls emit for each request; the arrivals of each workload form a Poisson
// process.
func arrivals(ctx context.Context, o Options, emit func(Request)) {
	end := time.Now().Add(o.Duration)
	var wg sync.WaitGroup
	for i, w := range o.Workloads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(o.Seed, uint64(i)))
			next := time.Now()
			for n := 0; ctx.Err() == nil; n++ {
				next = next.Add(time.Duration(rnd.ExpFloat64() / w.Rate * float64(time.Second)))
				if next.After(end) {
					return
				}
				time.Sleep(time.Until(next))
				emit(w.request(rnd, fmt.Sprintf("w%d-%d-%d", o.Seed, i, n)))
			}
		}()
	}
	wg.Wait()
}

// prefixRepeats is how often the text of a prefix is repeated, so that it is as long as the
// shared prefix of a real prompt.
const prefixRepeats = 64

func (w Workload) request(rnd *rand.Rand, work string) Request {
	r := Request{
		Work: work, Service: w.Service, Stream: w.Stream, NonIdempotent: w.NonIdempotent,
		Team: w.Teams[rnd.IntN(len(w.Teams))], Prompt: w.Prompt,
	}
	if w.Prefixes > 0 {
		r.Prefix = strings.Repeat(fmt.Sprintf("prefix-%d.", rnd.IntN(w.Prefixes)), prefixRepeats)
	}
	if w.Tokens > 0 {
		r.Tokens = 1 + w.Tokens/2 + rnd.IntN(w.Tokens)
	}
	return r
}

// Summarize counts the outcomes and compares them with the executions in the ledger.
func Summarize(results []Result, l *ledger.Ledger) *Report {
	r := &Report{
		Requests: len(results), Reasons: make(map[string]int), Results: results,
		First: hdrhistogram.New(1, histogramMax, histogramDigits), Total: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	for _, res := range results {
		runs := l.Runs(res.Work)
		if res.NonIdempotent && runs > 1 {
			r.Duplicated++
		}
		if res.WrongAnswer {
			r.WrongAnswer++
		}
		if res.Resumes > 0 {
			r.Resumed++
		}
		switch res.Outcome {
		case Answered:
			r.Answered++
			if runs == 0 {
				r.WithoutRun++ // every answer needs an execution
			}
			_ = r.First.RecordValue(res.FirstToken.Microseconds())
			_ = r.Total.RecordValue(res.Total.Microseconds())
		case NotRun:
			r.NotRun++
			r.Reasons[shorten(res.Reason)]++
			if runs > 0 {
				r.FalseNotRun++
			}
		case Unknown:
			r.Unknown++
			r.Reasons[shorten(res.Reason)]++
		case Cut:
			r.Cut++
			r.Reasons[res.Reason]++
		}
	}
	return r
}

// shorten returns a reason without its details, which follow the first colon.
func shorten(reason string) string {
	head, _, _ := strings.Cut(reason, ":")
	return head
}

// Violations returns the number of violated guarantees.
func (r *Report) Violations() int { return r.Duplicated + r.WrongAnswer + r.FalseNotRun + r.WithoutRun }

// Add adds the counts of another report.
func (r *Report) Add(o *Report) {
	r.Requests += o.Requests
	r.Answered += o.Answered
	r.NotRun += o.NotRun
	r.Unknown += o.Unknown
	r.Cut += o.Cut
	r.Duplicated += o.Duplicated
	r.WrongAnswer += o.WrongAnswer
	r.FalseNotRun += o.FalseNotRun
	r.WithoutRun += o.WithoutRun
	r.Resumed += o.Resumed
	for reason, n := range o.Reasons {
		r.Reasons[reason] += n
	}
}
