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
	t.began = time.Unix(0, 0) // it has heard what others know
	return t
}

func named(limit float64) Said { return Said{Kind: SaidLimit, Limit: limit} }

var ended = Said{Kind: SaidNone}

// What counts is the answer to the request that was sent last, whichever came first.
func TestTheAnswerToTheLaterRequestCounts(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * time.Second) }
	type answer struct {
		said Said
		sent int
	}
	cases := []struct {
		name    string
		answers []answer // in the order in which they come
		limit   float64  // 0 = none
	}{
		{"named", []answer{{named(2), 1}}, 2},
		{"never named", []answer{{ended, 1}}, 0},
		{"named and ended", []answer{{named(2), 1}, {ended, 2}}, 0},
		{"an answer from before the naming", []answer{{named(2), 2}, {ended, 1}}, 2},
		{"an answer from before the end", []answer{{named(2), 1}, {ended, 3}, {named(2), 2}}, 0},
		{"changed", []answer{{named(2), 1}, {named(5), 2}}, 5},
		{"changed twice, out of order", []answer{{named(2), 1}, {named(5), 3}, {named(3), 2}}, 5},
		{"named again", []answer{{named(2), 1}, {ended, 2}, {named(3), 3}}, 3},
		{"two at a moment", []answer{{named(2), 1}, {named(1), 1}, {ended, 1}}, 1},
		{"nothing is said", []answer{{named(2), 1}, {Said{}, 2}}, 2},
		{"zero", []answer{{named(0), 1}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable()
			for _, a := range c.answers {
				table.Heard(1, a.said, at(a.sent), at(10))
			}
			k, limited := table.Get(1)
			is.Equal(k.Limit, c.limit)
			is.Equal(limited, c.limit > 0 || c.name == "zero")
			is.Equal(table.Limited() == 1, limited)
		})
	}
}

// Between gateways, age decides; the end of a limit is told like a limit.
func TestGatewaysTellEachOtherWhatTheyHeard(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := newTestTable(), newTestTable()
	a.Heard(1, named(2), now.Add(-time.Second), now)
	b.Hear("a", a.Told(now), now)
	k, limited := b.Get(1)
	is.True(limited)
	is.Equal(k.Limit, 2.0)
	is.Equal(k.Source, "a")
	is.Equal(k.At, now.Add(-time.Second))
	b.Heard(1, ended, now.Add(2*time.Second), now.Add(3*time.Second))
	is.Equal(b.Hear("a", a.Told(now.Add(3*time.Second)), now.Add(3*time.Second)), nil) // older
	is.Equal(b.Limited(), 0)
	is.Equal(a.Hear("b", b.Told(now.Add(4*time.Second)), now.Add(4*time.Second)), []Key{1})
	is.Equal(a.Limited(), 0)
	// One that never knew of the limit does not take an old answer for new.
	c := newTestTable()
	c.Hear("b", b.Told(now.Add(4*time.Second)), now.Add(4*time.Second))
	c.Heard(1, named(2), now, now.Add(5*time.Second))
	is.Equal(c.Limited(), 0)
}

// Told around in a circle, a statement does not become younger than it is.
func TestAgesDoNotFallOnTheWay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := newTestTable(), newTestTable()
	said := now
	a.Heard(1, named(2), said, now)
	for range 1000 {
		told := a.Told(now)
		now = now.Add(20 * time.Millisecond) // on its way
		b.Hear("a", told, now)
		told = b.Told(now)
		now = now.Add(20 * time.Millisecond)
		a.Hear("b", told, now)
	}
	k, _ := a.Get(1)
	is.True(k.At.Sub(said) < sameTolerance)
}

func TestStatementsOfTheWireAreChecked(t *testing.T) {
	now := time.Unix(1000, 0)
	nan := 0.0
	nan /= nan
	for name, w := range map[string]*wire.ServerLimit{
		"missing": nil, "negative": {Limit: -1}, "no number": {Limit: nan}, "too large": {Limit: 2 * MostLimit}, "ended with a limit": {Limit: 1, Ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := StatementFromWire(w, now)
			is.New(t).True(!ok)
		})
	}
}

// All that is known is told in turn, what changed lately at once, and a heartbeat stays small.
func TestEverythingIsToldInTurn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newTestTable()
	const servers = 200
	for i := range servers {
		table.Heard(Key(i), named(1), now, now)
	}
	now = now.Add(2 * freshTime)
	table.Heard(servers, named(1), now, now)
	told := make(map[uint64]bool)
	for range servers/(mostTold-1) + 1 {
		out := table.Told(now)
		is.True(len(out) <= mostTold)
		is.Equal(out[0].GetServer(), uint64(servers))
		for _, w := range out {
			told[w.GetServer()] = true
		}
	}
	is.Equal(len(told), servers+1)
}

func TestWhatIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newTestTable()
	for i := range 3 {
		table.Heard(Key(i), named(1), now, now)
	}
	table.Heard(2, ended, now.Add(time.Second), now)
	listed := func(k Key) bool { return k == 0 }
	table.Expire(listed, now.Add(statementLife-time.Second))
	is.Equal(table.Limited(), 2) // an entry may be missing for a while
	_, known := table.Latest(2)
	is.True(known)
	now = now.Add(statementLife + 2*time.Second)
	table.Expire(listed, now)
	is.Equal(table.Limited(), 1) // of the listed server, however old
	_, known = table.Latest(2)
	is.True(!known)
}

func TestATableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newTestTable()
	for i := range mostStatements + 10 {
		table.Heard(Key(i), named(1), now.Add(time.Duration(i)), now)
	}
	is.Equal(table.Limited(), mostStatements)
	_, known := table.Latest(0)
	is.True(!known) // the oldest
}

// Whatever another process tells, the table stays in order and bounded.
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
		table.Hear("a", hb.GetLimits(), now)
		limited := 0
		for _, k := range table.known {
			if k.Limited {
				limited++
			}
			if k.Limit < 0 || k.Limit > MostLimit || !k.Limited && k.Limit != 0 || k.At.After(now) {
				t.Fatalf("%+v", k)
			}
		}
		if limited != table.Limited() || len(table.Told(now)) > mostTold {
			t.Fatalf("%d limited, %d counted", limited, table.Limited())
		}
	})
}
