// Package cluster implements membership and failure detection by heartbeats for two kinds
// of processes: the gateways of a fleet and the agents of a service's ranks. No list of
// VMs is published; members discover each other. Below, gateway stands for both.
//
// Each gateway sends a heartbeat datagram to every other gateway that it knows, and to the
// seeds in its settings until they answer. A heartbeat carries the sender's own state, the
// number of requests that it has in flight to each backend server, and the addresses of a
// few other gateways, so that one answering seed is enough to discover the whole fleet. A
// gateway that has been silent for longer than silenceTimeout is not offered to callers;
// one that stays silent is forgotten.
//
// The interval between heartbeats grows with the number of peers, which bounds the
// datagrams that a gateway sends. Failure detection must not slow down with it, so
// gateways monitor each other (see Table.EnableMonitoring): a few active gateways exchange
// heartbeats with each member at an interval that does not depend on the size of the
// fleet, detect its loss and report it to the others at once. Agents of ranks do not need
// monitors: only a few members of a group may coordinate it, and these exchange heartbeats
// often enough.
//
// Table is a pure state machine; Node adds the socket and the clock.
package cluster
