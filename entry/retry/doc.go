// Package retry decides what to do after an attempt that did not return a complete answer,
// and bounds the retries of each service over all processes together.
//
// # Decisions
//
// A Sequence decides about one request. The decision depends only on whether the request is
// idempotent, how the attempt ended, the number of attempts, the time left and the retry
// budget. The rules are:
//
//   - A request is reported as "not-run" only if every attempt at it provably did not run.
//   - An idempotent request is retried on another server, within the budget.
//   - A non-idempotent request is retried only after proof that it did not run. After a
//     lost link its agent is queried for that proof.
//   - A request with a ticket can run only on the ticket's agent, and only that agent can
//     prove that it did not run, because the ticket may have been presented before.
//
// # Budget
//
// A Limit bounds the retries of a service in any window, over all processes that send
// requests to it: a ratio of its requests plus a slack. So retries cannot amplify an
// overload. Processes start, stop, freeze and are cut off from each other, and each sees
// only some of the others. So no process divides the limit by a number of processes that
// it believes to exist. A retry needs one of two things:
//
//   - A retry that the process's own requests earned. Each request earns a fraction of a
//     retry, which is lost after a window. What a process does not know of its predecessor
//     or of others does not matter, as it was earned by other requests.
//   - A grant. At most a few processes grant retries, each an equal part of the slack. They
//     are those that the operators name: the seeds of a fleet of gateways, or the first
//     entry VMs on the platform's list. The list is the same at all processes, whether they
//     reach each other or not, and there is one process at each of its addresses.
//
// # Bounds
//
// Let r be the ratio, s the slack, and R the number of requests in the window or in the one
// before, whichever is higher. A request earns 0.4 r. The retries that were earned and are
// used in a window were earned in it or in the window before, so they are at most 0.8 r R,
// in whichever processes. A grantor counts what it granted in a window and in the time for
// which a grant is valid, so all n of them grant at most n (0.8 s / n) that can be used in
// a window. A process that starts grants nothing for this time, as its predecessor may have
// granted everything just before. So the sum is at most 0.8 of the limit, whatever the
// processes know of each other.
//
// If the list of grantors changes, those on the new list grant nothing for this time either.
// A process that does not learn of the change goes on granting its part. Grantors that are
// down or cut off leave their part unused.
package retry
