package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/wire"
)

func newTestTable() *Table {
	t := NewTable(func(Key) string { return "s" }, zerolog.Nop())
	t.startedAt = time.Unix(0, 0) // it has received what others know
	return t
}

func limitedTo(limit float64) Report { return Report{Kind: LimitSet, Limit: limit} }

var unlimited = Report{Kind: LimitNone}

// The answer to the request that was sent last counts, regardless of the order in which
// answers arrive.
func TestAnswerToLaterRequestWins(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * time.Second) }
	type answer struct {
		report Report
		sent   int
	}
	cases := []struct {
		name    string
		answers []answer // in order of arrival
		limit   float64  // 0 = none
	}{
		{"reported", []answer{{limitedTo(2), 1}}, 2},
		{"never reported", []answer{{unlimited, 1}}, 0},
		{"reported and ended", []answer{{limitedTo(2), 1}, {unlimited, 2}}, 0},
		{"an answer from before the report", []answer{{limitedTo(2), 2}, {unlimited, 1}}, 2},
		{"an answer from before the end", []answer{{limitedTo(2), 1}, {unlimited, 3}, {limitedTo(2), 2}}, 0},
		{"changed", []answer{{limitedTo(2), 1}, {limitedTo(5), 2}}, 5},
		{"changed twice, out of order", []answer{{limitedTo(2), 1}, {limitedTo(5), 3}, {limitedTo(3), 2}}, 5},
		{"reported again", []answer{{limitedTo(2), 1}, {unlimited, 2}, {limitedTo(3), 3}}, 3},
		{"two at the same time", []answer{{limitedTo(2), 1}, {limitedTo(1), 1}, {unlimited, 1}}, 1},
		{"nothing is reported", []answer{{limitedTo(2), 1}, {Report{}, 2}}, 2},
		{"zero", []answer{{limitedTo(0), 1}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable()
			for _, a := range c.answers {
				table.Record(1, a.report, at(a.sent), at(10))
			}
			k, limited := table.Get(1)
			is.Equal(k.Limit, c.limit)
			is.Equal(limited, c.limit > 0 || c.name == "zero")
			is.Equal(table.Limited() == 1, limited)
		})
	}
}

// Between gateways the newer observation wins. The end of a limit is reported like a
// limit.
func TestGatewaysExchangeObservations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := newTestTable(), newTestTable()
	a.Record(1, limitedTo(2), now.Add(-time.Second), now)
	b.ReceiveLimits("a", a.Report(now), now)
	k, limited := b.Get(1)
	is.True(limited)
	is.Equal(k.Limit, 2.0)
	is.Equal(k.Source, "a")
	is.Equal(k.At, now.Add(-time.Second))
	b.Record(1, unlimited, now.Add(2*time.Second), now.Add(3*time.Second))
	is.Equal(b.ReceiveLimits("a", a.Report(now.Add(3*time.Second)), now.Add(3*time.Second)), nil) // older
	is.Equal(b.Limited(), 0)
	is.Equal(a.ReceiveLimits("b", b.Report(now.Add(4*time.Second)), now.Add(4*time.Second)), []Key{1})
	is.Equal(a.Limited(), 0)
	// A table that never knew of the limit must not accept an old answer as new.
	c := newTestTable()
	c.ReceiveLimits("b", b.Report(now.Add(4*time.Second)), now.Add(4*time.Second))
	c.Record(1, limitedTo(2), now, now.Add(5*time.Second))
	is.Equal(c.Limited(), 0)
}

// An observation that circulates between gateways must not seem newer than it is.
func TestRelayedObservationDoesNotGetYounger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := newTestTable(), newTestTable()
	reportedAt := now
	a.Record(1, limitedTo(2), reportedAt, now)
	for range 1000 {
		reported := a.Report(now)
		now = now.Add(20 * time.Millisecond) // transmission time
		b.ReceiveLimits("a", reported, now)
		reported = b.Report(now)
		now = now.Add(20 * time.Millisecond)
		a.ReceiveLimits("b", reported, now)
	}
	k, _ := a.Get(1)
	is.True(k.At.Sub(reportedAt) < newerTolerance)
}

func TestObservationsFromWireAreValidated(t *testing.T) {
	now := time.Unix(1000, 0)
	nan := 0.0
	nan /= nan
	for name, w := range map[string]*wire.ServerLimit{
		"missing": nil, "negative": {Limit: -1}, "no number": {Limit: nan}, "too large": {Limit: 2 * MaxLimit}, "ended with a limit": {Limit: 1, Ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := ObservationFromWire(w, now)
			is.New(t).True(!ok)
		})
	}
}

// Observations are reported in turn, recent changes at once, and the size of a heartbeat
// stays bounded.
func TestAllObservationsAreReportedInTurn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newTestTable()
	const servers = 200
	for i := range servers {
		table.Record(Key(i), limitedTo(1), now, now)
	}
	now = now.Add(2 * freshTime)
	table.Record(servers, limitedTo(1), now, now)
	reported := make(map[uint64]bool)
	for range servers/(maxReported-1) + 1 {
		out := table.Report(now)
		is.True(len(out) <= maxReported)
		is.Equal(out[0].GetServer(), uint64(servers))
		for _, w := range out {
			reported[w.GetServer()] = true
		}
	}
	is.Equal(len(reported), servers+1)
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newTestTable()
	for i := range 3 {
		table.Record(Key(i), limitedTo(1), now, now)
	}
	table.Record(2, unlimited, now.Add(time.Second), now)
	listed := func(k Key) bool { return k == 0 }
	table.Expire(listed, now.Add(observationLifetime-time.Second))
	is.Equal(table.Limited(), 2) // the server's entry may be missing for a while
	_, known := table.Latest(2)
	is.True(known)
	now = now.Add(observationLifetime + 2*time.Second)
	table.Expire(listed, now)
	is.Equal(table.Limited(), 1) // that of the listed server, however old
	_, known = table.Latest(2)
	is.True(!known)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newTestTable()
	for i := range maxObservations + 10 {
		table.Record(Key(i), limitedTo(1), now.Add(time.Duration(i)), now)
	}
	is.Equal(table.Limited(), maxObservations)
	_, known := table.Latest(0)
	is.True(!known) // the oldest
}

// For any input from another process the table stays consistent and bounded.
func FuzzHear(f *testing.F) {
	seed, err := proto.Marshal(&wire.Heartbeat{Limits: []*wire.ServerLimit{{Server: 1, Limit: 2, AgeMs: 3}, {Server: 1, Ended: true}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var hb wire.Heartbeat
		if proto.Unmarshal(raw, &hb) != nil {
			return
		}
		now := time.Unix(1000, 0)
		table := newTestTable()
		table.ReceiveLimits("a", hb.GetLimits(), now)
		limited := 0
		for _, k := range table.known {
			if k.Limited {
				limited++
			}
			if k.Limit < 0 || k.Limit > MaxLimit || !k.Limited && k.Limit != 0 || k.At.After(now) {
				t.Fatalf("%+v", k)
			}
		}
		if limited != table.Limited() || len(table.Report(now)) > maxReported {
			t.Fatalf("%d limited, %d counted", limited, table.Limited())
		}
	})
}
