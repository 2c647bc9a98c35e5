package e2e

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/entry/api"
	"baywall.example/standin/fleet"
)

func timelineOf(t *testing.T, f *fleet.Fleet, query string) api.TimelineAnswer {
	t.Helper()
	var answer api.TimelineAnswer
	resp, err := http.Get("http://" + f.Entries()[0] + "/v1/timeline?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

// keepBusy sends streams until the returned function is called, because no map is planned
// for a group that computes no tokens.
func keepBusy(t *testing.T, f *fleet.Fleet) (stop func()) {
	t.Helper()
	done, quit := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c := caller(f)
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			default:
				c.Do(t.Context(), stream("busy", 20))
			}
		}
	}()
	return func() { close(quit); <-done }
}

func TestMapSwitchIsAtomicAndInTimeline(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	stop := keepBusy(t, f)
	defer stop()
	group := f.Groups["chat"]
	before := group.Stats().MeanSkew
	await(t, "a better map is in use", func() bool { return group.Stats().Version > 1 })
	group.Stats()
	await(t, "the skew fell", func() bool {
		s := group.Stats()
		return s.Steps > 0 && s.MeanSkew < 1.2
	})
	is.True(before > 1.2 || before == 0)
	is.Equal(group.Stats().Mixed, 0)
	planned, committed := false, 0
	for _, e := range timelineOf(t, f, "group=chat&limit=5000").Events {
		planned = planned || e.Kind == timeline.KindMapPlan && e.Choice == "switch" && e.Reason != ""
		if e.Kind == timeline.KindMapSwitch && e.Choice == "commit" {
			committed++
		}
	}
	is.True(planned)
	is.True(committed >= 4)
}

// The coordinator of a group is killed, then its successor is paused. Other ranks take over,
// and no step runs with different maps on different ranks.
func TestGroupSurvivesCoordinatorFailures(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	stop := keepBusy(t, f)
	defer stop()
	group := f.Groups["chat"]
	await(t, "a first switch", func() bool { return group.Stats().Version > 1 })
	coordinator := func() vm.ID {
		var last vm.ID
		for _, e := range timelineOf(t, f, "group=chat&limit=5000").Events {
			if e.Kind == timeline.KindCoordinator {
				last = e.VM
			}
		}
		return last
	}
	first := coordinator()
	f.Process(first).Kill()
	await(t, "another rank leads", func() bool { l := coordinator(); return l != "" && l != first })
	second := coordinator()
	is.NoErr(f.Process(first).Restart())
	f.Process(second).Pause()
	await(t, "a third rank leads", func() bool { l := coordinator(); return l != "" && l != second })
	f.Process(second).Continue()
	steps := 0
	await(t, "the group goes on stepping", func() bool { steps += group.Stats().Steps; return steps > 100 })
	is.Equal(group.Stats().Mixed, 0)
}
