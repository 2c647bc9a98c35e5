// Package membership tells which entry VMs answer now, and how far each VM's
// configuration is.
//
// The platform's list says who exists, late. Each entry VM sends a probe to a
// few random others every interval; one that stays silent through several
// probes is suspect. Suspicion is local and not news: it only keeps new work
// away, and ends with the next message from the VM.
//
// Probes carry the sender's configuration revision, so that a newer one is
// noticed and pulled, and a few news items: what VMs last said about
// themselves. An item is passed on a logarithmic number of times and then only
// if it changes, so an idle fleet sends nothing but the probes, while a change
// reaches everybody in a logarithmic number of rounds.
//
// Table is a pure state machine: time, randomness and messages are arguments.
// Prober connects it to a UDP socket.
package membership
