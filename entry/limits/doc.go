// Package limits bounds what a team may have running in the whole fleet,
// without shared state.
//
// A team's limit is cut in two. A quarter is split evenly: each entry VM owns
// its part of it always, so that a team can start anywhere at once. The rest is
// a pool, of which a grantor leases shares by demand. The grantor of a team is
// the first usable entry VM in rendezvous order for the team's name.
//
// A lease lasts a second. Its holder counts them from when it asked, the
// grantor from when it granted, so the holder always stops first, whatever the
// clocks say. A share whose holder fell silent is not granted again before its
// lease has ended. A lower share counts for the grantor only once the holder
// has confirmed it; until then the higher one does.
//
// A new grantor knows no leases. For one lease time after it became the team's
// grantor, started, or was paused, it takes over what holders say they hold, and
// grants nothing more. (This is the bounded lead time and the
// wait after recovery of draft-ietf-dhc-dhcpv6-failover-design, sections 8.3 and
// 9.6.) A grantor that does not reach all listed entry VMs grants only the part
// of the pool that belongs to those it reaches, since the others may have a
// grantor of their own.
//
// While a team's grantor does not answer, the second VM in rendezvous order
// confirms what holders have, and nothing more.
//
// Bound: the sum of all shares exceeds the limit by at most one for each entry
// VM where the limit is smaller than four times their number; and while views of
// who is usable differ, for at most a lease time after they agree again, by at
// most the pool.
//
// Only teams that were active lately cost memory.
package limits
