// Package mapswitch moves all ranks of a group to a new expert map in one and
// the same step. It is made of two state machines without clocks or sockets: a
// Member on every rank's agent and a Coordinator on one of them.
//
// The protocol is a two-phase commit whose participants are also its memory:
//
//	read     every rank promises the coordinator's fencing number
//	prepare  every rank loads the new experts beside the old ones
//	arm      every rank promises not to begin step S unless told
//	commit   once all are armed: use the new map from step S on
//	abort    otherwise: begin step S with the old map
//
// It needs every rank, always. That costs no availability: in lock-step the
// group cannot advance without every rank anyway. A new coordinator takes a
// larger fencing number and reads all ranks. If any has committed, the old
// coordinator had decided to commit, and the new one commits everywhere. If
// none has, none ever will under the old number, as all have promised the new
// one; it aborts. Two coordinators at a time are safe for the same reason.
//
// A Member keeps nothing but its promise in memory; armed and committed are
// read from the engine. A restarted agent has lost the promise. So every order
// names the incarnation that the coordinator read, and a member refuses orders
// to another one; the coordinator then starts over with a larger number. A
// restarted member first waits until every order of its predecessor that may
// still be on its way has expired, since some engines do not check fencing
// numbers.
//
// Limits: a rank that never answers blocks a decision. Holding ranks then wait
// at step S; taking the rank out is a new epoch of the group, not a switch.
package mapswitch
