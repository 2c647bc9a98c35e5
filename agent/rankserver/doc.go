// Package rankserver implements the agent of a rank: the process beside a backend
// server that is a rank of an expert-parallel group, on a platform that publishes
// neither groups nor agents. It learns its own rank from the engine's report and
// finds the agents of the other ranks by heartbeats, at the addresses of the
// service's backend servers. It carries no requests: callers' requests go directly
// to the engine.
//
// A group is complete, and may switch its map, while the agents of all its ranks
// are live in the same epoch. See packages group and mapswitch for the rest.
package rankserver
