package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"baywall.example/entry/api"
	"baywall.example/standin/fleet"
)

// An agent that is paused at any moment around a request, also between opening a connection to
// its backend server and sending the request, must know afterwards whether the request ran.
// PAUSE_SEED is the seed of the moments, default 1, PAUSE_ROUNDS the number of requests,
// default 8.
func TestATicketOfAnAgentPausedAtAnyMomentGetsAnAnswerOrProof(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(uint64(setting(t, "PAUSE_SEED", 1)), 1))
	s := site()
	s.Services = s.Services[1:]
	f := start(t, s)
	for i := range setting(t, "PAUSE_ROUNDS", 8) {
		work := fmt.Sprintf("note-%d", i)
		key, agentVM := ticket(t, f)
		lead := time.Duration(rnd.IntN(12)-4) * time.Millisecond // of the pause over the request
		pause := time.Duration(rnd.IntN(5500)) * time.Millisecond
		var wg conc.WaitGroup
		wg.Go(func() {
			time.Sleep(-lead)
			f.Process(agentVM).Pause()
			time.Sleep(pause)
			f.Process(agentVM).Continue()
		})
		wg.Go(func() {
			time.Sleep(lead)
			post(t, f.Entries()[0], "archive", work, key)
		})
		wg.Wait()
		runs := proof(t, f, 1+rnd.IntN(3), work, key)
		t.Logf("round %d: paused for %v, %v before the request: %d runs", i, pause, lead, runs)
		is.Equal(f.Ledger.Runs(work), runs)
	}
}

// proof uses a ticket through an entry VM until it returns the answer or not-run, and returns
// how often the work has run according to that.
func proof(t *testing.T, f *fleet.Fleet, entry int, work, key string) (runs int) {
	t.Helper()
	await(t, "answer or proof of "+work, func() bool {
		resp, body := post(t, f.Entries()[entry], "archive", work, key)
		if resp.StatusCode == http.StatusOK {
			runs = 1
			return body == "document "+work+"\n"
		}
		return resp.Header.Get(api.HeaderOutcome) == "not-run"
	})
	return runs
}

// setting returns the number that an environment variable sets.
func setting(t *testing.T, name string, otherwise int) int {
	t.Helper()
	raw := os.Getenv(name)
	if raw == "" {
		return otherwise
	}
	n, err := strconv.Atoi(raw)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
