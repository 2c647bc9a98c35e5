package quarantine

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"baywall.example/core/wire"
)

// FuzzHear checks that whatever another process reports, no state grows without bound and
// no request that is not in the report is refused.
func FuzzHear(f *testing.F) {
	fp := fingerprint(1)
	seeds := []*wire.Suspects{
		{},
		{Suspects: []*wire.Suspect{{Fingerprint: fp.digest[:], Ends: []*wire.ServerEnd{{Server: 1, Round: 1, AgeMs: 5}}}}},
		{Suspects: []*wire.Suspect{{Fingerprint: fp.digest[:], ClearedMs: 1 << 31, Running: []uint64{1, 2}, Intent: true}}},
		{Suspects: []*wire.Suspect{{Fingerprint: fp.digest[:], Ends: []*wire.ServerEnd{
			{Server: 1, Round: 1 << 31}, {Server: 2, Round: 2, AgeMs: 3000}, {Server: 3, Round: 3, AgeMs: 1000},
		}}}},
	}
	for _, s := range seeds {
		raw, err := proto.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var report wire.Suspects
		if proto.Unmarshal(raw, &report) != nil {
			return
		}
		table := newTable("a")
		table.Receive("b", report.GetSuspects(), start)
		for _, w := range report.GetSuspects() {
			if f, ok := fingerprintFromWire(w); ok {
				attempt, _ := table.Admit(one(f), start)
				attempt.Send(1, start)
				attempt.Release()
			}
		}
		table.Receive("c", table.FullReport(start.Add(time.Second)), start.Add(time.Second))
		_ = table.Report(start)
		if _, permission := table.Admit(one(fingerprint(-7)), start); permission != Granted {
			t.Fatal("a request about which nothing is known was refused")
		}
		table.Expire(start.Add(24 * time.Hour))
		if table.Size() > len(report.GetSuspects()) {
			t.Fatalf("%d records for %d suspects", table.Size(), len(report.GetSuspects()))
		}
	})
}
