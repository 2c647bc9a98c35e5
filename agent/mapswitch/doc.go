// Package mapswitch switches all ranks of a group to a new expert map in the same step.
// It consists of two state machines without clocks or sockets: a Member on the agent of
// every rank and a Coordinator on one of these agents.
//
// The protocol is a two-phase commit whose state is stored by its participants:
//
//	read     every rank promises to accept no smaller fencing number than the coordinator's
//	prepare  every rank loads the new experts beside the old ones
//	hold     one rank, the lock holder, does not begin step S until it is released
//	commit   every rank is armed: it uses the new map from step S on
//	release  once all ranks are armed, the lock holder may begin step S
//
// The ranks run in lock-step, so a rank that holds step S stops the whole group before S.
// While it does, all other ranks can still be armed; a switch is therefore never rolled
// back once S is held. If S began before any rank held it, the coordinator chooses a
// later step. No step is held twice, because an order to release it may still be in
// flight. A new coordinator takes a larger fencing number, reads all ranks and continues
// where the previous one stopped. Two coordinators at a time are safe, as ranks obey only
// the larger number.
//
// Orders may be carried out late, after newer ones, and an order to release names only a
// step. A step is therefore released only once all ranks are armed, so that a late order to
// release it finds that it has begun or that all ranks are still armed. If ranks hold a step
// that belongs to no switch (StageHeld), for example after a late order to hold, the
// coordinator is to propose the map in use again, for which no rank copies anything, and that
// switch takes the step. Engines that load nothing while they hold a step are the exception,
// see Timing.LoadWhileHeld.
//
// The lock holder is not the coordinator's own rank, and the order to hold may be sent by
// a VM without a rank (an Outgoing of PhaseHold that is not Resent). If the sender
// freezes right after it sent the order, the group continues without it. An order to hold
// that arrives late, twice or never does no harm, as the lock holder's own agent gets the
// order in any case.
//
// A Member keeps only its promise in memory; held and armed steps are read from the
// engine. A restarted agent has lost the promise. Every order therefore names the
// incarnation that the coordinator read, and a member refuses orders to another
// incarnation; the coordinator then starts over with a larger number. Orders also name
// the epoch in which the group was formed. In a new epoch all ranks start over with the
// initial map.
//
// An order of an earlier coordinator or agent may take effect late. Versions increase, and
// each contains a checksum of its map (numbers.go), so that a version that a rank has loaded
// is the coordinator's map, whoever ordered it. A coordinator repeats orders that may be in
// flight instead of undoing them. If it cannot, as ranks hold two steps, it assigns a new
// version, for which late orders are void. Where a late order could still do harm to an engine, a
// restarted member waits until every order of its predecessor has expired.
//
// Limits: a rank that never answers blocks a decision. The group then waits at step S;
// removing the rank requires a new epoch of the group, not a switch. For example, a VM
// that freezes after its rank was armed, and before its agent reported that, keeps the
// group waiting until the VM resumes.
package mapswitch
