package rankserver

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/agent/rank"
)

// scriptedRank answers its report with an error, or waits for the caller to give up.
type scriptedRank struct {
	rank.API
	err  error
	hang bool
}

func (r *scriptedRank) Report(ctx context.Context) (rank.Report, error) {
	if r.hang {
		<-ctx.Done()
		return rank.Report{}, ctx.Err()
	}
	return rank.Report{Group: "g", Open: true}, r.err
}

// A call that its caller gives up, as a poll of a coordinator in a hurry, must not make
// the rank look lost.
func TestWhatACallerGivesUpSaysNothingAboutTheRank(t *testing.T) {
	is := is.New(t)
	engine := &scriptedRank{}
	reports, failures := 0, 0
	r := &reader{API: engine, seen: func(_ rank.Report, err error) {
		reports++
		if err != nil {
			failures++
		}
	}}
	is.True(r.age(time.Now()) > time.Hour) // never asked
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
