package rankserver

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/agent/rank"
)

// fakeRank answers with a report and err, or blocks until the caller cancels.
type fakeRank struct {
	rank.API
	err  error
	hang bool
}

func (r *fakeRank) Report(ctx context.Context) (rank.Report, error) {
	if r.hang {
		<-ctx.Done()
		return rank.Report{}, ctx.Err()
	}
	return rank.Report{Group: "g", Open: true}, r.err
}

// A call that its caller cancels, such as a coordinator's poll with a short timeout, must
// not count as a failure of the rank.
func TestCanceledReportDoesNotMarkTheRankLost(t *testing.T) {
	is := is.New(t)
	engine := &fakeRank{}
	reports, failures := 0, 0
	r := &observedRank{API: engine, onReport: func(_ rank.Report, err error) {
		reports++
		if err != nil {
			failures++
		}
	}}
	is.True(r.age(time.Now()) > time.Hour) // never read
	_, err := r.Report(t.Context())
	is.NoErr(err)
	is.True(r.age(time.Now()) < time.Minute)
	engine.err = errors.New("reset")
	_, err = r.Report(t.Context())
	is.True(err != nil)
	is.Equal([]int{reports, failures}, []int{2, 1})
	engine.hang = true
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = r.Report(ctx)
	is.True(err != nil)
	is.Equal([]int{reports, failures}, []int{2, 1})
}
