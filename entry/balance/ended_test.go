package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sending requests to a process that has ended. After a host was lost,
// each gateway needed three refused connections to eject a server on it: 34 attempts
// in 3 s on seven gateways.
func TestAnEndedServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	ended := pick(t, r, start)
	ended.Release()
	r.Ended(ended.Server, start)
	for range 20 {
		c := pick(t, r, start.Add(firstEjection/2))
		is.True(c.Server.ID != ended.Server.ID)
		c.Release()
	}
	r.Ended(ended.Server, start.Add(firstEjection/2)) // reported again by another request
	tried := 0
	for range 20 {
		c := pick(t, r, start.Add(firstEjection))
		if c.Server.ID == ended.Server.ID {
			tried++ // and stays in flight
		}
	}
	is.Equal(tried, 1)
	r.Ended(ended.Server, start.Add(firstEjection)) // it still refuses connections
	_, found := pickFrom(r, map[string]bool{"b": true, "a": true}, start.Add(firstEjection))
	is.True(!found)
	other := map[string]bool{"a": ended.Server.ID != "a", "b": ended.Server.ID != "b"}
	_, found = pickFrom(r, other, start.Add(2*firstEjection-time.Millisecond))
	is.True(!found)
	_, found = pickFrom(r, other, start.Add(2*firstEjection))
	is.True(found)
}

// A refused connection is a certain sign, so the limit of half of the servers does not
// apply.
func TestAllEndedServersAreEjected(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c", "d")
	for range 4 {
		c := pick(t, r, start)
		r.Ended(c.Server, start)
		c.Release()
	}
	_, found := pickFrom(r, nil, start)
	is.True(!found)
}
