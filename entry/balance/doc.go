// Package balance chooses a backend server for each request.
//
// A Registry holds the backend servers that a configuration source lists, in one shard
// per service, each shard under its own lock. The load of a server is the number of
// requests that this gateway has in flight to it plus the number that the other gateways
// reported, divided by the server's slots. Reports are delayed: until the next one
// arrives, all gateways see the same least loaded servers and would overload them. A
// server is therefore drawn at random, with probabilities that level the loads out over
// all requests that the gateways send in the meantime.
//
// Servers that fail are ejected for a time that doubles with each consecutive ejection,
// then tried with one request at a time. At most half of a service's servers are ejected
// at a time: with more failing servers, it is more likely that the requests or the
// network are at fault.
//
// Late requests, which can no longer be on time, get no slot that on-time requests will
// need (package admission). For a while after a server, or its group of ranks, has begun
// to serve again, late requests get a growing share of its slots, and streams are sent to
// it only while engine passes are short. The agents of the ranks report when a group was
// formed; without such a report, probes find out.
//
// A server that the source no longer lists takes no new requests. After an outage of the
// source, a missing server may only have missed its own heartbeat, so it is retained for
// a grace period.
package balance
