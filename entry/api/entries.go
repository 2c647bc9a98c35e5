package api

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"baywall.example/core/contract"
	"baywall.example/core/rendezvous"
	"baywall.example/core/vm"
	"baywall.example/core/zone"
)

// maxTickets bounds the number of tickets in one answer.
const maxTickets = 16

// EntriesAnswer lists the entry VMs that a caller should use for a service, the
// preferred ones first, and how long the list is valid. Each ticket is for one
// non-idempotent request.
type EntriesAnswer struct {
	Service string   `json:"service"`
	TTLMS   int64    `json:"ttl_ms"`
	Entries []Entry  `json:"entries"`
	Tickets []string `json:"tickets,omitempty"`
}

// Entry is one entry VM's address.
type Entry struct {
	VM      vm.ID   `json:"vm"`
	Zone    zone.ID `json:"zone"`
	Address string  `json:"address"`
}

// serveEntries answers with the entry VMs that a caller should use.
func (a *API) serveEntries(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !a.Ready() {
		a.problem(w, http.StatusServiceUnavailable, "", starting(), startingDetail)
		return
	}
	service := r.URL.Query().Get("service")
	if a.Config.View().Services[service] == nil {
		a.problem(w, http.StatusNotFound, "", notRun(contract.ReasonUnknownService), fmt.Sprintf("service: value %q is not configured", service))
		return
	}
	near := zone.ID(r.URL.Query().Get("zone"))
	if near == "" {
		near = a.Zone
	}
	count := 0
	if raw := r.URL.Query().Get("tickets"); raw != "" {
		n, err := strconv.Atoi(raw)
		if err != nil || n < 0 || n > maxTickets {
			a.problem(w, http.StatusBadRequest, "", notRun(contract.ReasonBadRequest), fmt.Sprintf("tickets: value %q, allowed: from 0 to %d", raw, maxTickets))
			return
		}
		count = n
	}
	answer := EntriesAnswer{Service: service, TTLMS: a.AddressTTL.Milliseconds(), Tickets: a.tickets(r.Context(), service, count)}
	subset := slices.Clone(a.subset(service))
	// Callers keep the order; without a shuffle all callers of a zone would use the same VM.
	mathrand.Shuffle(len(subset), func(i, j int) { subset[i], subset[j] = subset[j], subset[i] })
	slices.SortStableFunc(subset, func(x, y vm.VM) int { return zone.Distance(near, x.Zone) - zone.Distance(near, y.Zone) })
	for _, v := range subset {
		answer.Entries = append(answer.Entries, Entry{VM: v.ID, Zone: v.Zone, Address: v.HTTP})
	}
	writeJSON(w, http.StatusOK, answer)
}

// tickets issues tickets for distinct backend servers of a service.
func (a *API) tickets(ctx context.Context, service string, n int) []string {
	var out []string
	now := time.Now()
	for _, b := range a.Dispatcher.Pick(ctx, service, n) {
		t := contract.Ticket{
			Service: service, VM: b.VM().ID, Incarnation: b.Incarnation(), Nonce: rand.Text(),
			Issued: now, Expires: now.Add(a.TicketTTL),
		}
		out = append(out, t.String())
	}
	return out
}

// subset returns the entry VMs that are listed to callers of a service: the first
// usable ones in rendezvous order, from at least two availability zones where
// possible. The result is shared and must not be modified.
func (a *API) subset(service string) []vm.VM {
	size := 0
	if s := a.Config.View().Services[service]; s != nil {
		size = s.EntrySubset
	}
	snapshot, draining := a.Fleet.Snapshot(), a.Draining()
	key := subsetKey{service: service, size: size, draining: draining}
	return a.subsets.get(key, snapshot.Generation, func() []vm.VM {
		usable := snapshot.Usable
		if draining {
			usable = slices.DeleteFunc(slices.Clone(usable), func(v vm.VM) bool { return v.ID == a.Self })
		}
		return Subset(usable, service, size)
	})
}

// subsetKey holds what a subset depends on besides the usable entry VMs.
type subsetKey struct {
	service  string
	size     int
	draining bool
}

// subsetCache caches subsets until the usable entry VMs change, as subsets are
// looked up for every backend server several times a second.
type subsetCache struct {
	mu         sync.Mutex
	generation uint64
	subsets    map[subsetKey][]vm.VM
}

func (c *subsetCache) get(key subsetKey, generation uint64, compute func() []vm.VM) []vm.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subsets == nil || c.generation != generation {
		c.subsets = make(map[subsetKey][]vm.VM)
		c.generation = generation
	}
	s, ok := c.subsets[key]
	if !ok {
		s = compute()
		c.subsets[key] = s
	}
	return s
}

// Subset picks size VMs for a service in rendezvous order. If all of them are in
// one availability zone, the last is replaced by the first VM of another zone.
func Subset(usable []vm.VM, service string, size int) []vm.VM {
	order := rendezvous.Order(usable, service, func(v vm.VM) string { return string(v.ID) })
	size = min(size, len(order))
	if size < 2 {
		return order[:size]
	}
	out := slices.Clone(order[:size])
	zones := make([]zone.ID, size)
	for i, v := range out {
		zones[i] = v.Zone
	}
	if zone.CountDistinct(zones) > 1 {
		return out
	}
	for _, v := range order[size:] {
		if v.Zone != out[0].Zone {
			out[size-1] = v
			break
		}
	}
	return out
}

// InSubset reports whether this VM is listed to callers of the service.
func (a *API) InSubset(service string) bool {
	for _, v := range a.subset(service) {
		if v.ID == a.Self {
			return true
		}
	}
	return false
}
