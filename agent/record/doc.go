// Package record is an agent's memory of the attempts it was given.
//
// An attempt is accepted, then handed over to the engine, then answered; or it
// is tombstoned, which it can only be before the hand-over. The step from
// accepted to handed over and the step to tombstoned exclude each other under
// one lock: that is the whole proof behind a "not-run". Who asks for the fate
// of an attempt that was never seen leaves a tombstone behind, so that the
// attempt, should it still arrive, is refused.
//
// A ticket binds a non-idempotent request to this incarnation. Its nonce is
// remembered until the ticket can no longer be presented, and a second
// presentation joins the first execution or gets its saved answer. A ticket of
// which one presentation was refused as "not-run" is void: further ones, which
// may be on their way through other entry VMs, do not run either. Once that
// memory may be gone the answer is "unknown", never "not-run". An incarnation
// knows nothing of the ones before it, so a ticket for an earlier one is
// "unknown" too, unless it was issued after this incarnation had started by
// more than the largest clock skew: then no earlier one can have run it. This
// is the waiting rule of a server that lost its memory (MCLT and RECOVER-WAIT,
// draft-ietf-dhc-dhcpv6-failover-design, sections 8.3 and 9.6), with the
// incarnation in the ticket taking the place of the wait.
//
// Limits: the memory is bounded. Finished attempts without a ticket are
// dropped, oldest first, once they are too many or too old; answers are
// dropped before states are; and if too many tickets are alive, further ones
// are refused as not-run.
package record
