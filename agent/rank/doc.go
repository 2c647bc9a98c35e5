// Package rank sends orders about expert maps to one rank of an expert-parallel
// group. The rank's engine may leave an order unanswered and carry it out seconds
// later.
//
// The engine has no fencing numbers. Every order names the epoch of the group and
// the number of orders that the rank has begun; in another epoch, or once another
// order was begun, it is void. That alone does not void a late copy of an order to
// hold, release or arm. So an order without an answer is sent again until the
// rank's report shows its effect or the rank refuses it. Until then the Engine
// sends no other order and reports no state, so the coordinator only sees states
// that no earlier order of this process can still change. Orders name their step,
// and each step is used once, so a copy that arrives late finds that the step has
// begun or that the effect is already there.
package rank
