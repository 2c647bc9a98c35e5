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
//
// It needs every rank, always. That costs no availability: in lock-step the
// group cannot advance without every rank anyway. For the same reason a switch
// is never taken back once a rank holds its step: as long as one does, the step
// cannot begin, so all others can still be armed and committed. If a step began
// before any rank held it, a later one is taken. A new coordinator takes a
// larger fencing number, reads all ranks and goes on where the old one stopped;
// two at a time are safe, as ranks obey the larger number only. A step is
// released without a switch only if the ranks have not all loaded the same
// version: then no rank can have been committed for it.
//
// A Member keeps nothing but its promise in memory; held and committed steps are
// read from the engine. A restarted agent has lost the promise. So every order
// names the incarnation that the coordinator read, and a member refuses orders
// to another one; the coordinator then starts over with a larger number. Orders
// also name the epoch in which the group was formed; in each, all ranks begin
// anew.
//
// An order of an earlier coordinator or agent may take effect late. Versions are
// unique and grow; steps are used once; and whoever leads repeats what may be
// under way instead of undoing it, so a late order finds its step begun or its
// effect there. Where an engine can do harm all the same, a restarted member
// waits until every order of its predecessor has expired.
//
// Limits: a rank that never answers blocks a decision. Holding ranks then wait
// at step S; taking the rank out is a new epoch of the group, not a switch.
package mapswitch
