// Package rank gives orders about expert maps to one rank of an
// expert-parallel group, whose engine may leave an order unanswered and carry
// it out seconds later.
//
// The engine has no fencing numbers. Every order names the epoch of the group
// and the number of orders that the rank has begun; in another epoch, or once
// another order was begun, it is void. That alone does not void an order that
// holds, releases or arms. So an order without an answer is given again until
// the rank's report shows its effect or the rank refuses it, and until then the
// Engine gives no other order and reports no state: what the coordinator is told
// is what no order of this process can change any more. Orders name their step,
// and steps are used once; so the copies that arrive late find the step begun,
// or the effect there.
package rank
