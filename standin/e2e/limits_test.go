package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/entry/api"
	"baywall.example/standin/engine"
	"baywall.example/standin/fleet"
)

// tryStream requests a stream for a team and returns the response with its body open.
func tryStream(t *testing.T, address, team, work string, tokens int) *http.Response {
	t.Helper()
	raw, _ := json.Marshal(engine.Prompt{Work: work, Prefix: "p", Prompt: 16, Tokens: tokens})
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/chat/generate", strings.NewReader(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderTeam, team)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// A team requests far more than its concurrency limit, first through one entry VM, then
// through all. It gets more than the base share of its limit through the one, and never more
// than the limit through all; refusals say when to retry. Another team is not affected.
func TestTeamLimitHoldsAcrossEntryVMs(t *testing.T) {
	is := is.New(t)
	s := site()
	const limit = 24
	s.Teams = map[string]resource.Team{"red": {Concurrency: limit}, "blue": {Concurrency: limit}}
	f := start(t, s)
	// A grantor grants nothing until it has been the team's grantor for the time of a lease.
	await(t, "a grantor grants more than the base share", func() bool { return admitted(t, f, f.Entries()[1:2], 1, 10) >= 8 })
	await(t, "the limit is reached", func() bool {
		n := admitted(t, f, f.Entries(), 600, 3*limit)
		is.True(n <= limit)
		return n > limit/2
	})
	refused := tryStream(t, f.Entries()[0], "red", "more", 5)
	for refused.StatusCode == http.StatusOK { // the last lease may leave some free quota
		refused = tryStream(t, f.Entries()[0], "red", "more", 600)
	}
	is.Equal(refused.StatusCode, http.StatusTooManyRequests)
	is.Equal(refused.Header.Get(api.HeaderOutcome), "not-run")
	is.True(refused.Header.Get("Retry-After") != "")
	is.Equal(tryStream(t, f.Entries()[0], "blue", "other", 5).StatusCode, http.StatusOK)

	// A refusal by an entry VM does not prove that the ticket's work has not run, as
	// the ticket may have been presented before, and here it has been.
	key, _ := ticket(t, f)
	resp, _ := post(t, f.Entries()[1], "archive", "certificate", key)
	if resp.StatusCode == http.StatusTooManyRequests {
		is.Equal(resp.Header.Get(api.HeaderOutcome), "unknown")
	}
	resp, _ = post(t, f.Entries()[0], "nowhere", "certificate", key)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.Equal(resp.Header.Get(api.HeaderOutcome), "unknown")

	// The timeline contains the reason of the refusal.
	id := refused.Header.Get(api.HeaderRequestID)
	events := timelineOf(t, f, "request="+id).Events
	is.Equal(len(events), 1)
	is.Equal(events[0].Kind, timeline.KindRefused)
	is.True(strings.Contains(events[0].Reason, "team-limit"))
}

// A team's streams take most of its limit through one entry VM. When its requests then come
// through all entry VMs, the shares are evened out while the streams run; 36 streams ran with a
// limit of 24 when the grantor did not count those above a lowered share.
func TestTeamLimitHoldsWhenDemandMoves(t *testing.T) {
	is := is.New(t)
	s := site()
	const limit, tokens = 24, 600
	s.Teams = map[string]resource.Team{"red": {Concurrency: limit}}
	f := start(t, s)
	await(t, "a grantor grants more than the base share", func() bool { return admitted(t, f, f.Entries()[1:2], 1, 10) >= 8 })
	streamTime := tokens * s.Services[0].Step // at least
	began := time.Now()
	running := admitted(t, f, f.Entries()[1:2], tokens, 2*limit)
	is.True(running > limit/2)
	for time.Since(began) < streamTime/2 {
		more := admitted(t, f, f.Entries(), tokens, 3*limit)
		if time.Since(began) > streamTime {
			break // the first streams may have ended
		}
		running += more
		is.True(running <= limit)
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d streams with a limit of %d", running, limit)
}

// admitted sends concurrent requests of team red, distributed round-robin over the entry VMs,
// and returns how many were admitted.
func admitted(t *testing.T, f *fleet.Fleet, entries []string, tokens, requests int) int {
	t.Helper()
	results := make([]bool, requests)
	var wg conc.WaitGroup
	for i := range results {
		wg.Go(func() {
			results[i] = tryStream(t, entries[i%len(entries)], "red", "w", tokens).StatusCode == http.StatusOK
		})
	}
	wg.Wait()
	n := 0
	for _, ok := range results {
		if ok {
			n++
		}
	}
	return n
}
