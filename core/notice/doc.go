// Package notice holds what backend servers say of themselves in their answers, beside the
// answer itself, and what follows from it for one incarnation of a server.
//
// # What is said
//
// A Notice is what one answer says, whatever it answers: a request, a probe, a report or an
// order. An adapter reads all of it in one place. What cannot be read says nothing; it never
// takes back what was said before.
//
// # What is known
//
// A State belongs to one incarnation of a backend server and outlives its entries: an entry that
// is older than an answer, or is written again from a copy, does not take back that the server
// leaves. A new incarnation, under the same id or at the same address, has a State of its own.
//
// A rest is asked of the process that got the answer. It ends at the latest of all ends asked
// for: a shorter one that is asked for later, or an answer to a request that was under way, does
// not end it sooner. Other processes are not told: each is turned away once and then
// knows, while a server that had too much from one process goes on serving the others.
//
// That a server leaves is final for its incarnation, whether its entry or an answer said so.
package notice
