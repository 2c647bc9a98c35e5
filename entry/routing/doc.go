// Package routing says what a balancing strategy is and what it sees.
//
// A strategy picks one of the runners that may take a request. It sees each
// runner's load as this entry VM estimates it: its own requests in flight,
// counted at once, plus what other entry VMs had in flight according to the
// runner's last report. Reports lag; a strategy that trusted them alone would
// send every request to the runner that looked idle until the next report. The
// own share is therefore always current, and only the others' share is late.
//
// The strategies are in sub-packages: affinity (bounded-load rendezvous on the
// prompt prefix), and the baselines roundrobin, leastload and twochoices.
package routing
