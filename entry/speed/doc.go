// Package speed learns how fast the backend servers of a service without engines answer,
// compared with each other. It performs no I/O and reads no clock; packages balance and
// gateway pass in the answers and apply the result.
//
// # Model
//
// The time of an answer is taken to be the typical time of its route times the slowness of
// its server. Both are learned from the same answers: the time over the route's typical
// time updates the server, and the time over the server's slowness updates the route. A mix
// of requests with different work therefore does not make a server look slow. Times exclude
// the time for which the request queued.
//
// The slowness of a server is relative to the median server of the service, and at least 1.
// Of an even number of servers, the faster of the middle two is the reference.
//
// # Noise, recovery and failure
//
// The median of a server's latest three answers counts, with a weight of 0.2, so a single
// slow answer has no effect. If all three differ from the smoothed time in the same
// direction by half or more, the speed has changed and the smoothed time starts again. A
// server with fewer than two answers, or without one for 10 s, is taken to be as fast as the
// median. A process that has started knows nothing and learns a server's slowness from its
// first two answers.
package speed
