// Package configuration holds the configuration in force in one process.
//
// The platform publishes resources. Each resource carries the revision at which it last
// changed; the revision of the whole configuration is the largest of these. A Store merges
// batches from the platform and from peers resource by resource: a version replaces
// another only if its revision is larger. Therefore a stale platform read, a delayed
// message or a lagging peer cannot revert a resource, and the order in which batches
// arrive does not matter.
//
// A resource version that does not validate is rejected as a whole. The last valid version
// stays in force, and the rejection and its reason become part of the resource's status.
// Two processes may have rejected different versions. Their Digests over all versions in
// force then differ, and a full exchange leaves the newer valid version on both sides.
//
// Deletions are retained as tombstones, up to a limit. A peer whose revision is older than
// that of a dropped tombstone gets the full set of records.
package configuration
