// Package admission decides which requests get the slots of a service's backend servers
// when there are not enough of them: which go first, which may wait, which are refused,
// and when a refused caller may retry. It performs no I/O and reads no clock; package
// gateway passes in its observations and carries out the decisions.
//
// # The load it is designed for
//
// A group of ranks serves all requests or none. It has an outage of about two seconds
// when a rank crashes, VMs lose power or a VM that held the lock of a step freezes.
// During the outage requests keep arriving, and those in flight are cut off; when the
// group recovers, there is a backlog of one to four seconds of arrivals. An answer that
// begins after its route's objective is worth a fraction of one that is on time, and it
// is worth the same some seconds later. Admitting the backlog in order of arrival would
// also make every request late that arrives while the backlog drains: with 630 slots and
// 225 streams per second, one crash of 2.6 s made the requests of 2.5 further seconds
// late.
//
// # The decisions
//
// Urgency: a request that can still be on time goes before one that cannot; one that
// cannot be served before its caller leaves is refused at once. The decision depends only
// on the request's own age, its route and the usual time to the first answer: the wait
// time that a caller announces does not tell whether the request is a first try.
//
// Quota: late requests get the slots that on-time requests will not need. By Little's
// law, on-time arrivals occupy rate x service time slots; the quota is the rest.
//
// Waiting: a late request waits at the gateway if it is expected to get a slot before its
// caller leaves, and is refused at once otherwise. The expected wait follows from the
// number of late requests that wait before it and from the quota. In an outage no request
// waits for half of its time to its deadline, unless it was interrupted or may have run: the
// estimate was wrong then, and its caller can still retry.
//
// Retry-After: refused callers are asked to retry at the rate at which late requests are
// served, and not before the service is expected to serve again. A retry cannot be told
// apart from a new request, so only this rate keeps retries from displacing new requests.
package admission
