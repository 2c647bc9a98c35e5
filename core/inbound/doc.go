// Package inbound accepts connections from clients that the process does not control, and bounds
// what they can make it hold: memory, descriptors and time. All listeners of a process are in one
// Set and share its memory budget.
//
// # Memory
//
// A connection by itself has a fixed cost, which its listener bounds by their number. What a request
// takes beyond that is reserved before it is read: a head of many lines in the budget for heads, a
// body and the buffered part of an answer in the budget for bodies. A reservation succeeds if it
// takes at most half of what is free, so that small requests find room when large ones fill a
// budget, and small ones leave a part of it to large ones. It covers all that is still to come, so that
// whatever has begun to be read can be read to its end. If there is no room, the request waits for a
// moment; meanwhile whoever has a reservation and sends slowly is ended, the slowest first, and after
// that whoever reads an answer slowly. Requests that are whole are never ended before their answers.
//
// # Connections
//
// When a listener has its largest number of connections, a new one takes the place of the one that
// has kept the process waiting the longest: silent ones, unfinished heads, slow bodies and answers
// that are not read come first, then idle connections that have been used before. Connections whose
// request is in progress are never closed for that.
//
// # Time
//
// A head and an idle connection have a time limit each. A body has the deadline of its request. A
// client that reads nothing of its answer between two checks is ended. While a request finds no backend
// server with a free slot, whoever keeps one busy by reading slowly is ended, too.
//
// docs/design/inbound.md compares the alternatives.
package inbound
