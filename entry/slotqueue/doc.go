// Package slotqueue decides in which order the requests of a service get the slots of its
// backend servers while there are not enough slots, at one gateway and among all gateways.
// It performs no I/O and reads no clock; package gateway passes in its observations and
// carries out the decisions.
//
// # Queue
//
// A Queue holds the requests of one service at one gateway that can still be on time and
// found no free slot. They are ordered by level, then by the latest time at which they can
// be sent and still be on time. Only the first one looks for a slot. A selective request
// also lets the next one look: it excludes servers, because an attempt at them failed, or
// found none although there are free slots.
//
// A request joins only if it is expected to get a slot in time. The expected wait is the
// number of requests ahead of it, here and at other gateways, divided by the rate at which
// the service releases slots. A more urgent request that joins delays those behind it;
// those that can no longer be on time are refused then, so that their callers can retry
// early.
//
// # Levels across gateways
//
// Each gateway reports to the others how many requests of each level wait there. A request
// leaves as many slots free as more urgent requests wait at other gateways. No gateway
// grants or reserves slots on behalf of another: a lost or late report changes the order,
// but cannot block a slot for longer than the lifetime of a report.
//
// # Starvation
//
// Of the slots that a gateway could assign while more urgent requests wait at any gateway,
// one in eight goes to the less urgent level that has waited longest there. Slots are
// counted when the gateway's own requests release them. If none is released for a mean
// service time, or 250 ms if that is longer, one is counted anyway, so that a gateway without
// requests in flight does not wait forever.
package slotqueue
