package configuration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baywall.example/core/resource"
)

func team(name string, revision uint64, concurrency int) Record {
	return Record{
		Key: resource.Key{Kind: resource.KindTeam, Name: name}, Revision: revision,
		Spec: []byte(fmt.Sprintf(`{"concurrency": %d}`, concurrency)),
	}
}

func TestInvalidVersionIsRejectedAndTheLastValidOneStays(t *testing.T) {
	is := is.New(t)
	s := NewStore(false)
	s.Apply(Batch{Revision: 1, Full: true, Records: []Record{team("a", 1, 5)}})
	changes := s.Apply(Batch{Revision: 2, Records: []Record{team("a", 2, -3)}})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].RejectedRevision, uint64(2))
	is.True(strings.Contains(changes[0].RejectedReason, "concurrency") && strings.Contains(changes[0].RejectedReason, "-3"))
	is.Equal(s.View().Team("a").Concurrency, 5)
	is.Equal(s.Revision(), uint64(2))
	s.Apply(Batch{Revision: 3, Records: []Record{team("a", 3, 7)}})
	is.Equal(s.View().Team("a").Concurrency, 7)
	rec, _ := s.Resource(resource.Key{Kind: resource.KindTeam, Name: "a"})
	is.Equal(rec.RejectedRevision, uint64(0))
}

func TestStaleBatchesChangeNothing(t *testing.T) {
	is := is.New(t)
	s := NewStore(false)
	s.Apply(Batch{Revision: 5, Full: true, Records: []Record{team("a", 5, 5), team("b", 3, 3)}})
	digest := s.Digest()
	is.Equal(len(s.Apply(Batch{Revision: 4, Full: true, Records: []Record{team("a", 2, 9)}})), 0)
	is.Equal(len(s.Apply(Batch{Revision: 4, Records: []Record{{Key: team("b", 0, 0).Key, Revision: 2, Deleted: true}}})), 0)
	is.Equal(s.Digest(), digest)
	is.Equal(s.Revision(), uint64(5))
}

func TestDeletionsReachPeersAndDroppedTombstonesForceAFullExchange(t *testing.T) {
	is := is.New(t)
	a, b := NewStore(false), NewStore(false)
	vmsA, vmsB := NewVMs(), NewVMs()
	exchange := func() { ApplyPull(ReplyToPull(NewPull(b, vmsB), a, vmsA), b, vmsB) }
	a.Apply(Batch{Revision: 1, Full: true, Records: []Record{team("a", 1, 1), team("b", 1, 1)}})
	exchange()
	is.Equal(len(b.Select(resource.KindTeam)), 2)
	a.Apply(Batch{Revision: 2, Records: []Record{{Key: team("a", 0, 0).Key, Revision: 2, Deleted: true}}})
	exchange()
	is.Equal(len(b.Select(resource.KindTeam)), 1)
	for i := range maxTombstones + 2 {
		rev := uint64(3 + i)
		name := fmt.Sprintf("t%d", i)
		a.Apply(Batch{Revision: rev, Records: []Record{{Key: team(name, 0, 0).Key, Revision: rev, Deleted: true}}})
	}
	exchange()
	is.Equal(a.Digest(), b.Digest())
	is.Equal(a.Revision(), b.Revision())
}

// platformHistory returns a random sequence of published states: at each revision one
// resource changes, sometimes to an invalid value, or is deleted.
func platformHistory(t *rapid.T) []map[string]Record {
	state := map[string]Record{}
	var history []map[string]Record
	for rev := uint64(1); rev <= 12; rev++ {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
		value := rapid.IntRange(-2, 50).Draw(t, "value")
		next := map[string]Record{}
		for k, v := range state {
			next[k] = v
		}
		next[name] = team(name, rev, value)
		if value == 0 {
			delete(next, name)
		}
		state = next
		history = append(history, state)
	}
	return history
}

func fullBatch(rev uint64, state map[string]Record) Batch {
	b := Batch{Revision: rev, Full: true}
	for _, r := range state {
		b.Records = append(b.Records, r)
	}
	return b
}

// Stores that read different revisions, from the platform or from each other and in any
// order, never revert a resource and converge to the same content.
func TestStoresConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := platformHistory(t)
		stores := []*Store{NewStore(false), NewStore(false), NewStore(false)}
		vms := NewVMs()
		seen := make([]map[resource.Key]uint64, len(stores))
		for i := range seen {
			seen[i] = map[resource.Key]uint64{}
		}
		check := func(i int) {
			for _, name := range []string{"a", "b", "c"} {
				key := team(name, 0, 0).Key
				rev := stores[i].View().Version(key)
				if rev == 0 {
					continue // deleted
				}
				if rev < seen[i][key] {
					t.Fatalf("store %d: %s went from %d back to %d", i, key, seen[i][key], rev)
				}
				seen[i][key] = rev
			}
		}
		for range 30 {
			i := rapid.IntRange(0, len(stores)-1).Draw(t, "store")
			if rapid.Bool().Draw(t, "from the platform") {
				at := rapid.IntRange(1, len(history)).Draw(t, "revision")
				if uint64(at) > stores[i].Revision() { // the client returns newer revisions only
					stores[i].Apply(fullBatch(uint64(at), history[at-1]))
				}
			} else {
				j := rapid.IntRange(0, len(stores)-1).Draw(t, "peer")
				ApplyPull(ReplyToPull(NewPull(stores[i], vms), stores[j], vms), stores[i], vms)
			}
			check(i)
		}
		for i := range stores {
			if stores[i].Revision() < uint64(len(history)) {
				stores[i].Apply(fullBatch(uint64(len(history)), history[len(history)-1]))
			}
		}
		for range 2 {
			for i := range stores {
				for j := range stores {
					ApplyPull(ReplyToPull(NewPull(stores[i], vms), stores[j], vms), stores[i], vms)
					check(i)
				}
			}
		}
		for i := range stores {
			if stores[i].Digest() != stores[0].Digest() {
				t.Fatalf("stores 0 and %d differ at the same revision", i)
			}
		}
	})
}
