// Package source follows what operators and backend servers publish in a read-only store
// with revisions and watches.
//
// A Follower lists a prefix once and then watches it. It lists again where the store has
// dropped the history that a watch needs. The state it delivers never goes back:
// positions are compared by the store's term and revision, and after the store was
// restored from an older copy, Rules decide which entries are known in a newer version
// than the store lists. The follower retains these, and shares them with other followers,
// until they are written again. After an outage or a restore of the store, missing
// entries may be about to reappear; each update says for how long.
//
// Load pattern: all processes of a fleet follow one store that can take only a few calls
// a second. Therefore no answer is followed by a call without a pause (pacing.go), few
// followers lead and the others rely on them (Role), and each follower offers what it
// learns to the others (offers.go).
package source
