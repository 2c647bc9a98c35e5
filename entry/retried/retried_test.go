package retried

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller that comes back to another gateway must not take the slot of a request that can
// still be on time.
func TestRequestIsRecognizedAtEveryGateway(t *testing.T) {
	is := is.New(t)
	var refusing, other Table
	now := time.Unix(100, 0)
	refusing.Refused(7, now)
	other.Receive(refusing.Report(0, now), now.Add(100*time.Millisecond))
	is.True(!other.Recognize(8, now.Add(time.Second)))
	is.True(other.Recognize(7, now.Add(time.Second)))
	is.True(refusing.Recognize(7, now.Add(2*time.Second)))
	is.Equal(len(refusing.Report(0, now.Add(reportTime))), 0)
}

// Equal requests of other callers must not all count as sent again after one refusal.
func TestRefusalIsUsedOnce(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Unix(100, 0)
	table.Receive([]uint64{7}, now)
	is.True(table.Recognize(7, now))
	table.Receive([]uint64{7}, now) // the same report once more
	is.True(!table.Recognize(7, now))
	table.Receive([]uint64{8}, now)
	is.True(table.Recognize(8, now))
	table.Refused(8, now) // a retry is refused
	is.True(table.Recognize(8, now))
}

// After one refusal, equal requests of other callers must not be put last at all gateways:
// those would be refused too, and so on.
func TestEqualRequestsAreNotTakenForRetries(t *testing.T) {
	is := is.New(t)
	tables := make([]Table, 7)
	now := time.Unix(100, 0)
	taken := 0
	for i := range 700 {
		now = now.Add(10 * time.Millisecond)
		table := &tables[i%len(tables)]
		if table.Recognize(7, now) {
			taken++
		}
		if i%2 == 0 { // half of them are refused
			table.Refused(7, now)
			for j := range tables {
				if &tables[j] != table {
					tables[j].Receive([]uint64{7}, now)
				}
			}
		}
	}
	is.True(taken <= 2*len(tables))
}

func TestRefusalsExpire(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Unix(100, 0)
	for id := range ID(maxRefusals + 10) {
		table.Refused(id, now)
	}
	is.Equal(table.Size(), maxRefusals)
	is.Equal(len(table.Report(0, now)), maxReported)
	now = now.Add(lifetime)
	is.True(!table.Recognize(1, now))
	table.Refused(1, now)
	is.Equal(table.Size(), 1)
}

// If a part of the demand exceeds the capacity and everyone who is refused comes back once,
// requests that can be on time lose far more than that part unless those that came back go
// last. The load is 110% of the capacity.
func TestOverloadDoesNotGrowByThoseWhoComeBack(t *testing.T) {
	is := is.New(t)
	const capacity, demand, back = 100, 110, 3 // requests per round, rounds until a caller comes back
	serve := func(last bool) (onTime float64) {
		var table Table
		returning := make(map[int][]ID)
		next, total := ID(0), 0
		for round := range 60 {
			now := time.Unix(int64(100+round), 0)
			fresh, repeated := []ID{}, []ID{}
			for range demand {
				next++
				fresh = append(fresh, next)
			}
			for _, id := range returning[round] {
				if table.Recognize(id, now) {
					repeated = append(repeated, id)
				}
			}
			share := capacity
			if !last { // slots go to both in proportion
				share = capacity * len(fresh) / (len(fresh) + len(repeated))
			}
			for _, id := range fresh[min(share, demand):] {
				table.Refused(id, now)
				returning[round+back] = append(returning[round+back], id)
			}
			if round >= 30 {
				total += min(share, demand)
			}
		}
		return float64(total) / (30 * demand)
	}
	is.True(serve(true) > 0.9)
	is.True(serve(false) < 0.75)
}
