// Package ratelimit enforces the rate limits that backend servers report: how many
// requests a second a server accepts from all gateways together.
//
// # Observations
//
// An observation is what one incarnation of a server reported in an answer to a request: a
// limit, or that there is none. Its time is when that request was sent, so a delayed
// answer does not override a later one. Table keeps the latest observation for each
// server. Gateways exchange them in heartbeats with their age, recent changes first and
// all others in turn; the latest observation wins. The end of a limit is an observation
// too, and is retained for longer than any request lasts. A restarted server is another
// incarnation, for which there are no observations yet.
//
// # Permits
//
// A gateway cannot enforce a limit on its own. If each of n gateways used an even share of
// the limit L, and sent at least one request at a time, they would let through 4 L + n
// requests in four seconds. That is too many if L is small, and most of the shares would
// be unused where each gateway receives few requests. So gateways request permits: the
// first active gateway in rendezvous order for the server is its grantor. It grants one
// permit for each request, at the moment of sending, from a token bucket with the server's
// rate. A gateway that is denied a permit does not select the server until it may try
// again.
//
// An agent that handles all requests to its server enforces the limit exactly with a token
// bucket of its own. It tells a client that it refuses when to retry.
//
// # Bounds
//
// A grantor's bucket holds the permits of burstTime, but at least minBurst. It starts
// empty, settleTime after the first permit request: permits of an earlier grantor have
// been used by then, and a server that has just reported a limit gets a short backoff. Let
// A be permitTimeout, within which a granted permit is used or lost. Then one grantor lets
// through at most
//
//	(4 s + A) L + max(minBurst, burstTime L)
//
// requests in four seconds. If gateways disagree about the grantor for a time d beyond
// settleTime, at most d L + max(minBurst, burstTime L) more requests pass. A gateway that
// fell silent without announcing that it leaves may be cut off from the others and grant
// permits to itself. Until it is forgotten, its share of the rate is therefore not used by
// the others: if the fleet is partitioned, the rates of all parts add up to the limit. A
// process that has started since then does not know of the others, so a grantor uses at most
// the fraction of the seeds that it reaches (see ReachableFraction): each seed is in one
// part. A limit below minRate is exceeded, because only an answer tells that the limit has ended.
package ratelimit
