// Package subset decides which gateways of an availability zone are active, that is,
// serve the zone's callers, and which are on standby.
//
// It is meant for a fleet that has many more gateways than its usual load needs, as when
// VMs are provisioned for the highest load. If callers were given the addresses of all
// gateways, each gateway would serve a few requests a second. Its knowledge of the other
// gateways' requests in flight would be as old as a heartbeat to all of them, a second or
// more at 150 gateways, and so of no use; connections to backend servers would be used
// once; and callers, gateways and backend servers would communicate across zones. With a
// subset, the active gateways receive each other's state within a tenth of a second and
// reuse their connections.
//
// A zone needs the processor time that its requests take, and at least MinPerZone
// gateways, so that the failure of one affects a third of the zone's requests and not
// all. Gateways are ordered by size, the largest first, and those of equal size by
// rendezvous hashing, so that all gateways compute the same order. A gateway on standby
// that is needed becomes active by its own decision: the first in the order at once, each
// further one after a delay, so that a failed gateway is replaced even before its failure
// is reported. A gateway that is no longer needed stays active for a while.
//
// The gateways' views differ for a heartbeat or two. Meanwhile a few gateways too many may
// be active, which costs datagrams, or a few too few, until the delay is over. Gateways on
// standby also serve every caller that connects to them.
package subset
