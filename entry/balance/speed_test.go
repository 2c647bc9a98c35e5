package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// speedRegistry returns a registry of servers with the slots, of which "a" takes 400 ms and
// the others 100 ms.
func speedRegistry(slots int, ids ...string) *Registry {
	r := registry(nil, ids...)
	for _, id := range ids {
		took := 100 * time.Millisecond
		server := r.shard("s").servers[id]
		if server.Slots = slots; id == "a" {
			took = 400 * time.Millisecond
		}
		for range 3 {
			r.RecordSpeed(Choice{Server: server}, "route", took, start)
		}
	}
	return r
}

// picks returns how many of the requests, which all stay in flight, each server gets.
func picks(r *Registry, d Demand, n int) map[string]int {
	got := make(map[string]int)
	for range n {
		if choice, found := r.Pick(d, start); found == Available {
			got[choice.Server.ID]++
		}
	}
	return got
}

func TestPickBySpeed(t *testing.T) {
	demand := Demand{Service: "s", ServerSpeed: true, Route: "route", MaxWait: 250 * time.Millisecond, Slack: 250 * time.Millisecond}
	edit := func(change func(*Demand)) Demand {
		d := demand
		change(&d)
		return d
	}
	cases := []struct {
		name string
		d    Demand
		want int // requests of 9 that the slow server gets
	}{
		{"it would make requests late", demand, 0},
		{"the switch is off", edit(func(d *Demand) { d.ServerSpeed = false }), 3},
		{"it counts with a quarter of its slots", edit(func(d *Demand) { d.MaxWait, d.Slack = 2*time.Second, 2*time.Second }), 1},
		{"requests without an objective", edit(func(d *Demand) { d.MaxWait, d.Slack = 0, 0 }), 1},
		{"late requests", edit(func(d *Demand) { d.Late = true }), 1},
		{"the faster servers cannot be used", edit(func(d *Demand) { d.Exclude = map[string]bool{"b": true, "c": true} }), 9},
		{"a route with little work", edit(func(d *Demand) { d.Route = "short" }), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := speedRegistry(12, "a", "b", "c")
			for id, server := range r.shard("s").servers {
				took := 10 * time.Millisecond
				if id == "a" {
					took *= 4
				}
				r.RecordSpeed(Choice{Server: server}, "short", took, start)
			}
			if c.d.Late {
				r.RecordServiceTime("s", 100*time.Millisecond)
			}
			is.New(t).Equal(picks(r, c.d, 9)["a"], c.want)
		})
	}
}

// A server whose entry names no slots must not lead to a division by zero.
func TestPickBySpeedWithoutSlots(t *testing.T) {
	r := speedRegistry(0, "a", "b")
	got := picks(r, Demand{Service: "s", ServerSpeed: true, Route: "route", MaxWait: 250 * time.Millisecond, Slack: 250 * time.Millisecond}, 8)
	is.New(t).Equal(got["a"]+got["b"], 8)
}

// The speed of an earlier incarnation says nothing about a server that was restarted, and
// answers of the earlier one may still arrive.
func TestRestartedServerHasUnknownSpeed(t *testing.T) {
	is := is.New(t)
	r := speedRegistry(12, "a", "b")
	is.True(r.MaxSlowness("s", start) > 3)
	old := r.shard("s").servers["a"]
	list := infos("a", "b")
	list[0].Started = 7
	r.Update(list, at(2), 0, start)
	is.Equal(r.MaxSlowness("s", start), 1.0)
	for range 3 {
		r.RecordSpeed(Choice{Server: old}, "route", 400*time.Millisecond, start)
	}
	is.Equal(r.MaxSlowness("s", start), 1.0)
}
