// Package cluster is how the gateways of a fleet, and the agents of a service's
// ranks, know of each other where no list of VMs is published.
//
// What follows says gateway for both. Each gateway sends a heartbeat datagram to every other one it knows, and to
// the seeds of its settings until they answer. A heartbeat says what the sender
// is, how many requests it has in flight to each backend server, and the
// addresses of a few others, so that one answering seed is enough to meet the
// whole fleet. A gateway that was silent for longer than silence is not handed
// out to callers; one that stays silent is forgotten.
//
// The interval between heartbeats grows with the number of peers, so that a
// gateway's cost in datagrams stays bounded: every gateway sends to all others,
// which fits a few dozen gateways; docs/CAPACITY.md has the slope.
//
// Table is a pure state machine; Node adds the socket and the clock.
package cluster
