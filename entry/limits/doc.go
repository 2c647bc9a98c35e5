// Package limits bounds the number of concurrent requests of each team in the whole fleet,
// without shared state.
//
// A team's limit is split into two parts. A quarter is divided evenly: each entry VM always
// owns its portion, so that a team can start anywhere immediately. The rest is a pool from
// which a grantor leases shares according to demand. The grantor of a team is the first
// usable entry VM in rendezvous order for the team's name.
//
// A lease lasts one second. Its holder measures this time from when it sent the request, the
// grantor from when it granted the lease, so the holder always stops first, whatever their
// clocks show. The share of a holder that no longer responds is not granted again before its
// lease has ended. When a share is lowered, the grantor counts the higher share until the
// holder has confirmed the lower one. Requests go on when the share of their holder is lowered
// or its lease ends; the holder reports how many run, and the grantor counts those above the
// share until they have ended.
//
// A new grantor knows no leases. For one lease time after it became the team's grantor, was
// started or was paused, it accepts the shares that holders report as theirs and grants
// nothing beyond them. (This is the bounded lead time and the wait after recovery of
// draft-ietf-dhc-dhcpv6-failover-design, sections 8.3 and 9.6.) A grantor that does not
// reach all listed entry VMs grants only the portion of the pool that corresponds to those
// it reaches, because the others may have a grantor of their own.
//
// While a team's grantor does not answer, the second VM in rendezvous order renews the
// leases that holders have, and grants nothing beyond them.
//
// Bound: the sum of all shares, and of the requests that run under them, exceeds the limit by
// at most one per entry VM if the limit is less than four times their number. While entry VMs disagree about which of them are usable,
// and for at most one lease time after they agree again, it exceeds the limit by at most the
// pool. Requests that run at a holder which reaches no grantor for longer than its lease are no
// longer counted.
//
// Only recently active teams use memory.
package limits
