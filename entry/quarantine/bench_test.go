package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// full returns a table with the given number of suspects.
func full(suspects int) *Table {
	table := newTable("a")
	for i := range suspects {
		end(table, fingerprint(i), ServerKey(i), start.Add(time.Duration(i)*time.Second))
	}
	return table
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		identity := Identity{Team: "team", Method: "POST", Host: "host", Target: "/path", Body: make([]byte, size)}
		b.Run(fmt.Sprintf("%d B", size), func(b *testing.B) {
			for b.Loop() {
				_ = identity.Fingerprints()
			}
		})
	}
}

func BenchmarkAdmitUnsuspected(b *testing.B) {
	for _, suspects := range []int{0, 30, maxRecords} {
		table, f := full(suspects), one(fingerprint(-1))
		b.Run(fmt.Sprintf("%d suspects", suspects), func(b *testing.B) {
			for b.Loop() {
				_, _ = table.Admit(f, start)
				_ = table.Avoid(f, start)
			}
		})
	}
}

func BenchmarkHeartbeatReport(b *testing.B) {
	for _, suspects := range []int{0, 30, maxRecords} {
		table := full(suspects)
		later := start.Add(time.Hour)
		b.Run(fmt.Sprintf("%d suspects", suspects), func(b *testing.B) {
			for b.Loop() {
				_ = table.Report(later)
			}
		})
	}
}
