package configuration

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkStore measures the time of changing one team and the memory per team, for
// several numbers of teams.
func BenchmarkStore(b *testing.B) {
	for _, n := range []int{3500, 7000, 14_000, 28_000} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := NewStore(false)
			batch := Batch{Revision: 1, Full: true}
			for i := range n {
				batch.Records = append(batch.Records, team(fmt.Sprintf("team-%d", i), 1, 10))
			}
			s.Apply(batch)
			batch = Batch{}
			runtime.GC()
			runtime.ReadMemStats(&after)
			rev := uint64(1)
			for b.Loop() {
				rev++
				s.Apply(Batch{Revision: rev, Records: []Record{team("team-1", rev, 10)}})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/team")
		})
	}
}
