// Package follow decides which gateways follow the operators' store on behalf of the others,
// and when a gateway queries the store again or requests the state of another gateway. It does
// no input or output; package gateway passes it the contents of heartbeats and carries out its
// decisions.
//
// # The load on the store
//
// Each call to the store is charged and the rate of calls is shared by all gateways. So one
// gateway of each availability zone follows the store (in a small fleet all of them do), and
// the others take the changes from these. A store that does not respond to some gateways, or a
// follower that is frozen or cut off, must not delay a change beyond the time within which it
// has to be in force. Heartbeats therefore report the newest change that each gateway knows. A
// gateway that is behind requests the state from one that knows the change, and from a second
// one if the first does not answer soon.
package follow
