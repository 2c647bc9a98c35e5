// Package source follows what operators and backend servers publish in a
// read-only store with revisions and watches.
//
// A Follower lists a prefix once and then watches it. Where the store has
// dropped the history that a watch asks for, it lists again. What it delivers
// never goes back in revision. After a time in which the store did not answer,
// it marks what it delivers as recovering, since entries that live by
// heartbeats may be missing only because the store was away.
package source
