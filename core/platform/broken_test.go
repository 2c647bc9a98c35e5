package platform

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/standin/broken"
)

// A malformed answer of the platform was taken for the list of VMs.
func TestBrokenAnswersOfThePlatformAreErrors(t *testing.T) {
	const body = `{"revision":1,"data":{"vms":[]}}`
	all := append(broken.Statuses("", body), broken.Names("", body)...)
	all = append(all, broken.Answer{Name: "cut head", Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3"})
	all = append(all, broken.Answer{Name: "cut body", Bytes: "HTTP/1.1 200 OK\r\n\r\n" + body[:9]})
	for _, a := range all {
		t.Run(a.Name, func(t *testing.T) {
			_, err := NewClient("http://"+broken.Serve(t, broken.AnswerOnce(a.Bytes)), time.Second).VMs(t.Context(), 0)
			is.New(t).True(err != nil)
		})
	}
	list, err := NewClient("http://"+broken.Serve(t, broken.AnswerOnce(broken.Whole("", body))), time.Second).VMs(t.Context(), 0)
	is.New(t).NoErr(err)
	is.New(t).Equal(list.Revision, uint64(1))
}
