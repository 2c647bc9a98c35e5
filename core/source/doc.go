// Package source follows what operators and backend servers publish in a
// read-only store with revisions and watches.
//
// A Follower lists a prefix once and then watches it. Where the store has
// dropped the history that a watch asks for, it lists again. What it delivers
// never goes back: positions are compared by the store's era and its revision,
// and where the store is back from an older copy of itself, Rules tell which
// entries are known better than it lists them. These are kept, and told to other
// followers, until they are written anew. After a time in which the store did
// not answer, or came back, entries that are missing may be on their way back,
// and what is delivered says for how long.
//
// Load pattern: all processes of a fleet follow one store that bears few calls a
// second. So no answer is followed by a call without a pause (pacing.go), few
// followers lead and the others rest on them (Duty), and what one hears it offers to
// the others (offers.go).
package source
