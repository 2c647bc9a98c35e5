package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestUrgency(t *testing.T) {
	base := Request{Objective: 400 * ms, Limit: 2 * time.Second, FirstAnswer: 150 * ms}
	cases := []struct {
		name string
		edit func(*Request)
		want Urgency
	}{
		{"just arrived", func(*Request) {}, OnTime},
		{"time for one more answer", func(r *Request) { r.Age = 249 * ms }, OnTime},
		{"no time for one", func(r *Request) { r.Age = 250 * ms }, Late},
		{"interrupted", func(r *Request) { r.Interrupted = true }, Late},
		{"its caller leaves before", func(r *Request) { r.Age = 1850 * ms }, Hopeless},
		{"answers as slow as the objective", func(r *Request) { r.FirstAnswer = time.Second }, OnTime},
		{"no objective", func(r *Request) { r.Objective, r.Age = 0, time.Second }, OnTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := base
			c.edit(&r)
			is.New(t).Equal(r.Urgency(), c.want)
		})
	}
}

func TestLateQuotaIsWhatOnTimeRequestsLeave(t *testing.T) {
	is := is.New(t)
	// 63 ranks with 10 slots each, 12 gateways, 224 streams per second with a service
	// time of 1.5 s
	p := Capacity{Slots: 630, Members: 12, OnTimeRate: 224.0 / 12, ServiceTime: 1500 * ms}
	is.Equal(LateQuota(p), 52.5-28)
	p.OnTimeRate = 40 // more than this process's share of the slots
	is.True(LateQuota(p) < 0)
}

func TestMayWait(t *testing.T) {
	request := Request{Objective: 400 * ms, Limit: 1900 * ms, FirstAnswer: 150 * ms}
	busy := Situation{Quota: 8, Taken: 8, ServiceTime: 1600 * ms} // a slot is released every 0.2 s
	cases := []struct {
		name string
		r    func(*Request)
		s    func(*Situation)
		want bool
	}{
		{"on time, slots are released", nil, nil, true},
		{"on time, no quota for late requests", nil, func(s *Situation) { s.Quota = -1 }, true},
		{"on time, the outage ends in time", nil, func(s *Situation) { s.RecoversIn = 200 * ms }, true},
		{"on time, the outage lasts too long", nil, func(s *Situation) { s.RecoversIn = 2 * time.Second }, false},
		{"late, the wait is short", func(r *Request) { r.Age = 300 * ms }, nil, true},
		{"late, the wait is uncertain", func(r *Request) { r.Age = 300 * ms }, func(s *Situation) { s.Waiting = 4 }, false},
		{"late, no quota", func(r *Request) { r.Age = 300 * ms }, func(s *Situation) { s.Quota = 0 }, false},
		{"interrupted, the wait is uncertain", func(r *Request) { r.Interrupted = true }, func(s *Situation) { s.Waiting = 8 }, true},
		{"interrupted, the wait is too long", func(r *Request) { r.Interrupted = true }, func(s *Situation) { s.Waiting = 40 }, false},
		{"interrupted, the outage ends about when its caller leaves", func(r *Request) { r.Interrupted = true }, func(s *Situation) { s.RecoversIn = 2 * time.Second }, true},
		{"too late for its caller", func(r *Request) { r.Age = 1800 * ms }, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, s := request, busy
			if c.r != nil {
				c.r(&r)
			}
			if c.s != nil {
				c.s(&s)
			}
			is.New(t).Equal(MayWait(r, s), c.want)
		})
	}
}

// Callers refused during an outage must retry at the rate at which late requests are
// served, and not before the service is expected to serve again.
func TestRefusedCallersRetryAtTheRateOfLateRequests(t *testing.T) {
	is := is.New(t)
	var p Pacer
	now := time.Unix(0, 0)
	s := Situation{RecoversIn: time.Second, Quota: 4, ServiceTime: 800 * ms} // a slot is released every 0.2 s
	var last time.Duration
	for i := range 6 {
		pause := p.Pause(s, 8*time.Second, 0, now)
		is.True(pause >= time.Second)
		if i > 0 {
			is.Equal(pause-last, 200*ms)
		}
		last = pause
	}
}

func TestRetryTimesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Situation{
			RecoversIn: time.Duration(rapid.IntRange(0, 5000).Draw(t, "recovers in")) * ms,
			Waiting:    rapid.IntRange(0, 500).Draw(t, "waiting"), Quota: rapid.Float64Range(-50, 50).Draw(t, "quota"),
			Taken: rapid.IntRange(0, 50).Draw(t, "taken"), ServiceTime: time.Duration(rapid.IntRange(0, 5000).Draw(t, "stay")) * ms,
		}
		left := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "left")) * ms
		var p Pacer
		now := time.Unix(0, 0)
		for range 20 {
			pause := p.Pause(s, left, rapid.Float64Range(0, 0.999).Draw(t, "draw"), now)
			if pause <= 0 || pause > max(minRetryAfter, left/3) {
				t.Fatalf("pause %s of %s left", pause, left)
			}
			now = now.Add(10 * ms)
		}
	})
}

// An outage is expected to last as long as usual, then for a fraction of the time that it
// has lasted. Its length is learned from the first answer after it.
func TestExpectedEndOfAnOutage(t *testing.T) {
	is := is.New(t)
	var s Outage
	now := time.Unix(100, 0)
	is.Equal(s.RecoversIn(now), time.Duration(0))
	s.Observe(now)
	is.Equal(s.RecoversIn(now), defaultOutage)
	now = now.Add(time.Second)
	s.Observe(now)
	is.Equal(s.RecoversIn(now), defaultOutage-time.Second)
	now = now.Add(3 * time.Second)
	s.Observe(now)
	is.Equal(s.RecoversIn(now), time.Second) // a quarter of 4 s
	s.Served(now)
	is.Equal(s.RecoversIn(now), time.Duration(0))
	now = now.Add(time.Minute)
	s.Observe(now)
	is.Equal(s.RecoversIn(now), (defaultOutage+maxOutage)/2)
}

// An outage without a recent observation counts as ended, so that the next one does not
// seem to last long.
func TestAnOutageWithoutObservationsExpires(t *testing.T) {
	is := is.New(t)
	var s Outage
	now := time.Unix(100, 0)
	s.Observe(now)
	now = now.Add(time.Minute)
	s.Observe(now)
	is.Equal(s.RecoversIn(now), defaultOutage)
}

func TestMayKeepWaitingInOutage(t *testing.T) {
	cases := []struct {
		name string
		r    Request
		want bool
	}{
		{"just arrived", Request{Deadline: 5 * time.Second}, true},
		{"most of its time left", Request{Age: 2 * time.Second, Deadline: 5 * time.Second}, true},
		{"nearly half of its time used", Request{Age: 2300 * ms, Deadline: 5 * time.Second}, false},
		{"interrupted", Request{Age: 4 * time.Second, Deadline: 5 * time.Second, Interrupted: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(MayKeepWaitingInOutage(c.r), c.want)
		})
	}
}
