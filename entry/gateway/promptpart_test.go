package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lethalPart is the part of prompts whose requests crash their server as soon as it begins to
// answer them, whatever else they hold.
const lethalPart = "lethal-part"

// startPartFleet starts servers that crash under lethalPart.
func startPartFleet(t *testing.T, servers, gateways int) *crashFleet {
	var w *crashFleet
	w = startCrashFleet(t, servers, gateways, func(rw http.ResponseWriter, r *http.Request) {
		if !slices.Contains(strings.Fields(r.Header.Get("T-Prompt")), lethalPart) {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(rw, "id: 1\ndata: one\n\n")
			return
		}
		w.arrivals.Add(1)
		time.Sleep(10 * time.Millisecond)
		w.serverOf(r).crash()
		panic(http.ErrAbortHandler)
	})
	return w
}

// sendLethalPart sends a request with lethalPart that equals no other one.
func (w *crashFleet) sendLethalPart(t *testing.T, gateway, n int) (status int) {
	status, _ = w.post(t, gateway, fmt.Sprintf("/stream/lethal-%d", n), fmt.Sprint("body ", n), "first", lethalPart, fmt.Sprint("own ", n))
	return status
}

// Requests that had one part of their prompts in common, and nothing else, ended one server
// after the other, as each of them was new to the quarantine.
func TestLethalPromptPartIsQuarantined(t *testing.T) {
	is := is.New(t)
	w := startPartFleet(t, 12, 3)
	for i := range 15 {
		w.sendLethalPart(t, i%3, i)
		time.Sleep(restartTime)
	}
	is.True(w.arrivals.Load() <= 5)
	before := w.arrivals.Load()
	w.addGateway(t) // like a gateway that was restarted
	time.Sleep(propagationTime)
	for i := range 8 {
		is.Equal(w.sendLethalPart(t, i%4, 100+i), http.StatusServiceUnavailable)
	}
	is.Equal(w.arrivals.Load(), before)
}

// Sound requests with the same caller and the same first part as lethal ones are served while
// these keep coming.
func TestSoundRequestsBesideALethalPromptPart(t *testing.T) {
	is := is.New(t)
	w := startPartFleet(t, 12, 3)
	const period = 5 * time.Second
	began := time.Now()
	var sound, served atomic.Int32
	var run sync.WaitGroup
	for sender := range 6 {
		run.Go(func() {
			for n := 0; time.Since(began) < period; n++ {
				id := fmt.Sprintf("%d-%d", sender, n)
				status, whole := w.post(t, (sender+n)%3, "/stream/sound-"+id, "body "+id, "first", "own "+id)
				if time.Since(began) > period/2 {
					sound.Add(1)
					if status == http.StatusOK && whole {
						served.Add(1)
					}
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Since(began) < period; n++ {
		run.Go(func() { w.sendLethalPart(t, n%3, n) })
		time.Sleep(100 * time.Millisecond)
	}
	run.Wait()
	t.Logf("%d lethal requests reached servers, %d of %d sound ones served in the second half", w.arrivals.Load(), served.Load(), sound.Load())
	is.True(w.arrivals.Load() <= 8) // five ends, and three requests more
	is.True(float64(served.Load()) >= 0.95*float64(sound.Load()))
}
