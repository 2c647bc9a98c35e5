// Package configuration holds the configuration in force in one process.
//
// The platform publishes resources; each carries the revision at which it last
// changed, and the whole has the largest of them. A Store folds what it is
// offered, from the platform or from a peer, resource by resource: a version
// replaces another only if its revision is larger. So neither a stale platform
// read, nor a late message, nor a peer that lags can make anything revert, and
// the order of offers does not matter.
//
// A resource version that does not validate is rejected as a whole. The last
// good version stays in force, and the rejection, with its reason, is part of
// the resource's status. Two processes may have skipped different versions;
// the Digest over all versions in force reveals it, and a full exchange then
// leaves the newer good version on both sides.
//
// Deletions are kept as tombstones up to a bound; a peer that asks for changes
// since before the oldest dropped tombstone gets the full set.
package configuration
