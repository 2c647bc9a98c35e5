// Package subset decides which gateways of an availability zone carry its callers'
// requests and which stand by.
//
// Load pattern: a fleet of many more gateways than its requests need, as when VMs are
// bought for the worst day. Were all of them handed out to callers, each would carry a
// few requests a second. Then what each knows of the others' requests in flight is as
// old as a heartbeat to all of them, a second or more at 150 gateways, and worth
// nothing; connections to backend servers are used once; and callers, gateways and
// backend servers talk across zones. With a subset, those that carry know each other
// within a tenth of a second and keep their connections in use.
//
// Rule: a zone needs as much processor time as its requests ask for, and at least
// LeastPerZone gateways, so that one that fails takes a third of its zone's requests
// with it and not all. The largest gateways come first, then an order drawn by
// rendezvous, which is the same at each of them. A gateway that is wanted and not
// active becomes active by itself: the first in the order at once, each further one
// after a delay, so that one that failed is replaced although nobody has told so. One
// that is no longer wanted goes on for a while.
//
// Limits: views differ for a heartbeat or two. A few gateways too many are then
// active, which costs datagrams; a few too few only until the delay is over. All of
// them serve whoever connects.
package subset
