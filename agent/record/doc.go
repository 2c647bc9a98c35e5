// Package record implements an agent's record of the attempts that were sent to it.
//
// An attempt is accepted, then handed over to the engine, then answered; or it is
// tombstoned, which is possible only before the hand-over. The transition from accepted
// to handed over and the transition to tombstoned exclude each other under one lock, and
// every "not-run" outcome relies on that alone. A query about an attempt that was never
// seen leaves a tombstone, so that the attempt is refused if it still arrives.
//
// A ticket binds a non-idempotent request to this incarnation. Its nonce is remembered
// until the ticket can no longer be presented, and a second presentation joins the first
// execution or gets its saved answer. Once one presentation of a ticket was refused as
// "not-run", the ticket is void: further presentations, which may be in transit through
// other entry VMs, do not run either. When the nonce may have been forgotten, the outcome
// is "unknown", never "not-run". An incarnation knows nothing of earlier ones, so a
// ticket for an earlier incarnation is "unknown" too, unless it was issued more than the
// largest clock skew after this incarnation started: then no earlier one can have run it.
// This is the waiting rule of a server that lost its state (MCLT and RECOVER-WAIT,
// draft-ietf-dhc-dhcpv6-failover-design, sections 8.3 and 9.6), with the incarnation in
// the ticket in place of the wait.
//
// Limits: the memory is bounded. Finished attempts without a ticket are dropped, oldest
// first, once they are too many or too old; answers are dropped before states are; and if
// too many tickets are remembered, further ones are refused as unknown.
package record
