package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
)

// If no probe is answered, requests are sent to the servers again in the end.
func TestProbationEnds(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c")
	for _, server := range r.shard("s").servers {
		r.Rejected(server, start)
	}
	is.Equal(r.Load("s", start.Add(maxOverloadPause)).Servers, 0)
	is.Equal(r.Load("s", start.Add(suspectTime+time.Second)).Servers, 3)
}

// After a probation, late requests get a growing share of the slots. On-time requests
// arrive at their usual rate, without a backlog, and are bounded by the length of passes.
func TestLateRequestsStartSlowlyAfterAProbation(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c")
	for _, server := range r.shard("s").servers {
		r.Rejected(server, start)
	}
	d := Demand{Service: "s", MaxWait: 200 * time.Millisecond}
	_, found := r.Pick(d, start)
	is.Equal(found, Unavailable)
	a := r.shard("s").servers["a"]
	r.Probed(a, true)
	r.Accepted(a, start)
	a.slowStart = start
	late := d
	late.Late = true
	for range 3 {
		_, found = r.Pick(late, start)
		is.Equal(found, Available)
	}
	_, found = r.Pick(late, start)
	is.Equal(found, AllBusy) // 0.3 x 0.7 of 12 slots
	for range 9 {
		_, found = r.Pick(d, start)
		is.Equal(found, Available)
	}
	for range 8 {
		a.inFlight.Add(-1)
	}
	streams, lateStreams := d, late
	streams.GapTarget, lateStreams.GapTarget = 120*time.Millisecond, 120*time.Millisecond
	half := start.Add(slowStartTime / 2)
	_, found = r.Pick(lateStreams, half)
	is.Equal(found, AllBusy) // the gap is not known yet
	a.StreamGap.Begun(half)
	a.StreamGap.Event(60*time.Millisecond, half)
	c, found := r.Pick(lateStreams, half)
	is.Equal(found, Available)
	c.Release()
	a.StreamGap = StreamGap{}
	a.StreamGap.Begun(half)
	a.StreamGap.Event(92*time.Millisecond, half)
	_, found = r.Pick(lateStreams, half)
	is.Equal(found, AllBusy)
	_, found = r.Pick(streams, half)
	is.Equal(found, Available)
	a.StreamGap = StreamGap{}
	a.StreamGap.Begun(half)
	a.StreamGap.Event(110*time.Millisecond, half)
	_, found = r.Pick(streams, half)
	is.Equal(found, AllBusy) // passes are too long for more streams
	a.StreamGap = StreamGap{}
	a.StreamGap.Begun(start.Add(slowStartTime))
	a.StreamGap.Event(110*time.Millisecond, start.Add(slowStartTime))
	_, found = r.Pick(streams, start.Add(slowStartTime))
	is.Equal(found, Available)
}

// While passes are long, servers without a stream must not be preferred to the others of
// their group: otherwise all streams would go to these few.
func TestAnUnknownGapIsAssumedToBeTheLongestKnown(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	for _, server := range r.shard("s").servers {
		server.slowStart = start
	}
	d := Demand{Service: "s", GapTarget: 120 * time.Millisecond, MaxWait: 200 * time.Millisecond}
	_, found := r.Pick(d, start)
	is.Equal(found, Available) // no gap is known
	a := r.shard("s").servers["a"]
	a.StreamGap.Begun(start)
	a.StreamGap.Event(110*time.Millisecond, start)
	_, found = r.Pick(d, start)
	is.Equal(found, AllBusy)
	d.HoldThreshold = 90 * time.Millisecond
	a.StreamGap.Ended()
	_, found = r.Pick(d, start.Add(slowStartTime))
	is.Equal(found, Available) // the known gap has expired
	a.StreamGap.Begun(start.Add(slowStartTime))
	a.StreamGap.Event(110*time.Millisecond, start.Add(slowStartTime))
	_, found = r.Pick(d, start.Add(slowStartTime))
	is.Equal(found, AllBusy)
}

// Late requests get the slots that on-time arrivals do not need, and release them.
func TestLateRequestsLeaveSlotsForOnTimeOnes(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a") // 12 slots
	now := start
	for range 20 { // 4 per second
		r.Arrived("s", now)
		now = now.Add(250 * time.Millisecond)
	}
	late := Demand{Service: "s", Late: true, AssumedServiceTime: 2 * time.Second} // 8 of the 12 slots are needed by on-time requests
	var taken []Choice
	for {
		c, found := r.Pick(late, now)
		if found != Available {
			is.Equal(found, AllBusy)
			break
		}
		taken = append(taken, c)
	}
	is.Equal(len(taken), 4)
	onTime := Demand{Service: "s", MaxWait: time.Millisecond, AssumedServiceTime: 2 * time.Second}
	for range 8 {
		_, found := r.Pick(onTime, now)
		is.Equal(found, Available)
	}
	taken[0].Release()
	_, found := r.Pick(late, now)
	is.Equal(found, Available)
}

// formedGroups reports one formation time for all groups.
type formedGroups struct {
	peerLoad
	at *time.Time
}

func (f formedGroups) Formed(_ []uint32, out []time.Time) {
	for i := range out {
		out[i] = *f.at
	}
}

// Servers whose agents report that their group was formed get requests immediately:
// neither a successful probe nor the end of earlier measurements is needed.
func TestAFormedGroupGetsRequestsImmediately(t *testing.T) {
	is := is.New(t)
	var formed time.Time
	r := NewRegistry(formedGroups{at: &formed}, "", zerolog.Nop())
	r.Update(infos("a", "b", "c"), at(1), 0, start)
	d := Demand{Service: "s", GapTarget: 120 * time.Millisecond, MaxWait: 200 * time.Millisecond}
	for _, server := range r.shard("s").servers {
		server.StreamGap.Sent(start.Add(-time.Second))
		is.True(server.StreamGap.Gap(start) >= stallThreshold)
		server.StreamGap.Answered()
		r.Rejected(server, start)
	}
	_, found := r.Pick(d, start.Add(minOverloadPause))
	is.Equal(found, Unavailable)
	formed = start.Add(-time.Minute) // before the servers rejected requests
	_, found = r.Pick(d, start.Add(minOverloadPause))
	is.Equal(found, Unavailable)
	formed = start.Add(minOverloadPause)
	_, found = r.Pick(d, start.Add(minOverloadPause))
	is.Equal(found, Available)
	for _, server := range r.shard("s").servers {
		r.Rejected(server, start.Add(2*minOverloadPause)) // requests are still rejected
	}
	_, found = r.Pick(d, start.Add(4*minOverloadPause))
	is.Equal(found, Unavailable)
}

// servedByPeers reports streams of another gateway to the servers.
type servedByPeers struct {
	peerLoad
	gap     time.Duration
	members int
}

func (p servedByPeers) Members() int { return p.members }

func (p servedByPeers) Load(servers []uint32, out []cluster.Load) {
	for i, s := range servers {
		if p.peerLoad[s] > 0 {
			out[i] = cluster.Load{Requests: p.peerLoad[s], Gap: p.gap}
		}
	}
}
