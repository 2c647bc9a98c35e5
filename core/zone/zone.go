// Package zone identifies availability zones and compares them by proximity.
package zone

// ID names an availability zone.
type ID string

// Distance returns 0 for the local availability zone and 1 for any other one, so
// that a stable sort puts the local one first.
func Distance(local, other ID) int {
	if local == other {
		return 0
	}
	return 1
}

// CountDistinct returns the number of distinct availability zones among the given ones.
func CountDistinct(zones []ID) int {
	seen := make(map[ID]struct{}, len(zones))
	for _, z := range zones {
		seen[z] = struct{}{}
	}
	return len(seen)
}
