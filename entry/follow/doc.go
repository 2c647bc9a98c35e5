// Package follow decides which gateways follow the operators' store for the others, and when a gateway
// asks the store again, or another gateway for its state. It has no input and output; package gateway
// tells it what heartbeats say and carries out what it says.
//
// # The load it answers
//
// Each call to the store has a price and its rate is shared, so one gateway of each availability zone
// follows it, all of them in a small fleet, and the others take what these hear. A store that is
// silent for some gateways, or a follower that is frozen or cut off, must not hold a change back
// beyond the time within which it has to be in force: heartbeats tell the newest change that
// each gateway knows, and one that is behind asks those that know it, a second one if the first does
// not answer soon.
package follow
