// Package membership detects which entry VMs respond, and distributes the configuration
// revision of each VM.
//
// The platform's list determines which VMs exist, with a delay. Each entry VM sends a probe to
// a few random others every interval; one that does not answer several probes becomes suspect.
// Suspicion is local and is not reported to others: it only keeps new work away from the VM,
// and ends with the next message from it.
//
// Probes carry the sender's configuration revision, so that receivers notice a newer one
// and pull it, and a few updates: what VMs last reported about themselves. An update is
// forwarded a logarithmic number of times, and again only when it changes. So an idle fleet
// sends nothing but the probes, while a change reaches every VM in a logarithmic number of
// rounds.
//
// Table is a pure state machine: time, randomness and messages are arguments. Prober connects
// it to a UDP socket.
package membership
