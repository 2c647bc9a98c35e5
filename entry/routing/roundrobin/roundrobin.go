// Package roundrobin picks the runners in turn, whatever their load. It is the simplest
// baseline.
package roundrobin

import (
	"sync/atomic"

	"baywall.example/entry/routing"
)

// Policy is the strategy. The zero value is ready to use.
type Policy struct {
	next atomic.Uint64
}

// Pick implements routing.Policy.
func (p *Policy) Pick(runners []*routing.Runner, _ uint64) int {
	if len(runners) == 0 {
		return -1
	}
	return int(p.next.Add(1) % uint64(len(runners)))
}
