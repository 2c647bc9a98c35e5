// Package fairshare decides which teams use more than their fair share of a service's slots
// while there are not enough slots for all requests. It performs no I/O and reads no clock;
// package gateway records what teams use and exchanges the reports.
//
// # Account
//
// An Account is what one gateway knows of one service. Use is the slot time of the requests
// that a team began, per second, and demand is that of the requests that it sent, whether
// they were served, wait or were refused. Both are in slots: a team with 10 requests a second
// of 100 ms uses one slot. They are exponentially smoothed over averaging, so that they
// reflect about the last two seconds.
//
// # Reports
//
// Gateways exchange the largest claims of each service. A report counts until the next one
// from the same gateway, for at most reportLifetime. A gateway that has just started, or that
// is cut off, uses its own account and the reports that it has.
//
// # Shares
//
// The shares are the weighted max-min fair division of the used slots by demand: a team whose
// demand is below its part gets its demand, and what it leaves goes to the others by weight.
// The used slots are the total of the known use, not the nominal number of slots: while
// requests wait, the total use is the real capacity, also if servers are slow or limited. It
// is also the part of the capacity that the known claims refer to, so missing reports reduce
// both sides alike. If the total exceeds the number of slots, which estimated costs permit,
// all values are scaled down to it.
//
// # Over its share
//
// A team is over its share if requests of the service wait at any gateway, its demand
// exceeds its share, and its use reaches the share less a margin. The margin keeps a team
// that is held at its share over it: otherwise its use would have to exceed the share before
// the others go first again. A team whose demand is met is never over its share, nor is the only team of a
// service. The answer only orders requests, so that no slot stays idle because of it.
package fairshare
