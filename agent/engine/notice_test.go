package engine

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/notice"
	"baywall.example/core/ratelimit"
)

func TestReadNotice(t *testing.T) {
	none := ratelimit.Report{Kind: ratelimit.LimitNone}
	cases := []struct {
		name   string
		status int
		header http.Header
		want   notice.Notice
		fails  bool
	}{
		{"nothing", 200, http.Header{}, notice.Notice{Limit: none}, false},
		{"all at once", 503, http.Header{"X-Rate-Limit": {"2"}, "Retry-After": {"1.5"}, "X-Leaving": {"1"}}, notice.Notice{
			Limit: ratelimit.Report{Kind: ratelimit.LimitSet, Limit: 2}, Backoff: 1500 * time.Millisecond, Leaving: true,
		}, false},
		{"no backoff in a successful answer", 200, http.Header{"Retry-After": {"2"}}, notice.Notice{Limit: none}, false},
		{"one malformed, the others apply", 503, http.Header{"Retry-After": {"soon"}, "X-Leaving": {"1"}}, notice.Notice{Limit: none, Leaving: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := ReadNotice(&http.Response{StatusCode: c.status, Header: c.header}, time.Now())
			is.Equal(got, c.want)
			is.Equal(err != nil, c.fails)
		})
	}
}
