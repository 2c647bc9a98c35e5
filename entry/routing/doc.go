// Package routing defines the interface of a balancing strategy and the load that it
// sees.
//
// A strategy picks one of the runners that may take a request. It sees each runner's load
// as this entry VM estimates it: its own requests in flight, counted immediately, plus
// the requests of other entry VMs according to the runner's last report. Reports are
// delayed; a strategy that relied on them alone would send every request to the runner
// that looked idle until the next report. For this reason this VM's own share is always
// current, and only the share of the others is delayed.
//
// The strategies are in sub-packages: affinity (rendezvous hashing with bounded loads on
// the prompt prefix), and the baselines roundrobin, leastload and twochoices.
package routing
