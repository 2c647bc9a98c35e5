// Package concurrency decides how many streams the engines of a service run at a time, so
// that the events of all of them arrive in time. It performs no I/O and reads no clock.
//
// # The load it is designed for
//
// The ranks of a group execute each pass together, and each stream gets one event per pass.
// A pass takes as long as its most loaded rank, so its length grows with the number of
// streams and with how unevenly their tokens use the experts. When the experts in demand
// change, the load of one rank rises to a multiple of the mean until a new expert map is in
// use, about a second later. If the batch is full at that moment, every stream in it gets an
// event late. Streams that run cannot be taken back, so the batch has to be small enough
// before the change. A smaller batch costs throughput, as
// a step has a fixed part.
//
// # The decision
//
// The published parameters of the engine give the time of a step: a fixed part, and a part
// for each sequence in the batch. The Limiter learns by which factor the latter is longer
// than published, the cost factor, from the gaps between events and the number of requests
// in flight. Its limit is the batch with which a pass with the highest recent cost factor
// takes the target. The factor is learned from all streams of a service together, since
// its groups serve the same demand.
//
// If demand exceeds the limited batch for some seconds, more and more callers are refused. As
// a late stream is worth more than none, the limit then rises until few enough are refused.
//
// # Limits
//
// Prompts and copies of experts lengthen passes too; they are part of the learned factor.
// The factor is known only after the first change of demand that a gateway observes.
package concurrency
