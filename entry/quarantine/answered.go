package quarantine

import (
	"encoding/binary"
	"time"
)

// answeredSlots is the number of parts whose latest answer is remembered.
const answeredSlots = 1024

// answeredParts remembers when backend servers last began to answer requests with a part of
// prompts, also while nothing is suspected. Of two parts with one slot, the later one counts.
type answeredParts [answeredSlots]struct {
	part digest
	at   time.Time
}

func slotOf(part digest) uint64 { return binary.BigEndian.Uint64(part[:]) % answeredSlots }

func (a *answeredParts) record(part digest, at time.Time) {
	slot := &a[slotOf(part)]
	slot.part, slot.at = part, at
}

// last returns when a request with the part was last answered, zero if that is not known.
func (a *answeredParts) last(part digest) time.Time {
	if slot := &a[slotOf(part)]; slot.part == part {
		return slot.at
	}
	return time.Time{}
}
