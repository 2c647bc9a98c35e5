// Package platform is a stand-in for the operators' platform. Its clients can only read and
// watch values, which have revisions; it limits the rate of reads and counts them.
//
// Faults: the platform can be down, frozen at an old revision, or rate-limited.
package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	client "baywall.example/core/platform"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

const (
	// ReadsPerSecond is the rate limit shared by all readers.
	ReadsPerSecond = 2000
	// teamShards is the number of values over which the teams are spread.
	teamShards = 16
)

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	server  *http.Server
	limiter *rate.Limiter

	mu        sync.Mutex
	revision  uint64
	resources map[resource.Key]client.Resource
	values    map[string]client.Value
	frozen    map[string]client.Value // if not nil, served instead of values
	down      bool
	changed   chan struct{}
	calls     int64
	limited   int64
}

// New returns a platform without resources and VMs.
func New() *Platform {
	p := &Platform{
		limiter:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		resources: make(map[resource.Key]client.Resource),
		values:    make(map[string]client.Value),
		changed:   make(chan struct{}),
	}
	p.publish()
	return p
}

// Serve starts serving on the address and returns the address that was bound.
func (p *Platform) Serve(address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", p.read)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Close stops serving.
func (p *Platform) Close() { _ = p.server.Close() }

// Put publishes a resource without validating it and returns its revision.
func (p *Platform) Put(kind resource.Kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // only a test can pass a value that cannot be encoded
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	key := resource.Key{Kind: kind, Name: name}
	p.resources[key] = client.Resource{Kind: kind, Name: name, Revision: p.revision, Spec: raw}
	p.publish()
	return p.revision
}

// PutAll publishes resources of one kind at one revision.
func (p *Platform) PutAll(kind resource.Kind, specs map[string]any) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for name, spec := range specs {
		key := resource.Key{Kind: kind, Name: name}
		p.resources[key] = client.Resource{Kind: kind, Name: name, Revision: p.revision, Spec: encode(spec)}
	}
	p.publish()
	return p.revision
}

// Delete removes a resource and returns the revision of the deletion.
func (p *Platform) Delete(kind resource.Kind, name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	delete(p.resources, resource.Key{Kind: kind, Name: name})
	p.publish()
	return p.revision
}

// SetVMs publishes the list of VMs and returns its revision.
func (p *Platform) SetVMs(vms []vm.VM) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[client.KeyVMs] = client.Value{Revision: p.revision, Data: encode(vm.List{VMs: vms})}
	p.notifyWatchers()
	return p.revision
}

// SetDown makes every read fail while down is true.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatchers()
}

// Freeze makes the platform serve its current state and ignore what is published later;
// Freeze(false) ends that.
func (p *Platform) Freeze(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if frozen {
		p.frozen = make(map[string]client.Value, len(p.values))
		for k, v := range p.values {
			p.frozen[k] = v
		}
	}
	p.notifyWatchers()
}

// Snapshot is the state of the platform at one point in time.
type Snapshot map[string]client.Value

// Unfreeze ends a freeze and returns the state that was frozen.
func (p *Platform) Unfreeze() Snapshot {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	p.Freeze(false)
	return frozen
}

// Rewind makes the platform serve an earlier state, as a replica that lags far behind does.
func (p *Platform) Rewind(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = s
	p.notifyWatchers()
}

// Calls returns the number of reads so far, and how many of them exceeded the rate limit.
func (p *Platform) Calls() (calls, limited int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.limited
}

// Revision returns the newest revision.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// publish renders the shards and the index. The caller holds the lock.
func (p *Platform) publish() {
	shards := make(map[string][]client.Resource)
	for key, r := range p.resources {
		shards[shardOf(key)] = append(shards[shardOf(key)], r)
	}
	for name := range p.values {
		if name != client.KeyVMs && name != client.KeyIndex && shards[name] == nil {
			shards[name] = nil // a shard that became empty stays in the index
		}
	}
	index := client.Index{Shards: make(map[string]uint64)}
	for name, list := range shards {
		data := encode(client.Shard{Resources: list})
		old := p.values[name]
		if len(old.Data) != len(data) || newest(list) > old.Revision {
			p.values[name] = client.Value{Revision: p.revision, Data: data}
		}
		index.Shards[name] = p.values[name].Revision
	}
	p.values[client.KeyIndex] = client.Value{Revision: p.revision, Data: encode(index)}
	p.notifyWatchers()
}

func newest(list []client.Resource) uint64 {
	n := uint64(0)
	for _, r := range list {
		n = max(n, r.Revision)
	}
	return n
}

func shardOf(key resource.Key) string {
	if key.Kind != resource.KindTeam {
		return string(key.Kind)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key.Name))
	return fmt.Sprintf("teams-%02d", h.Sum32()%teamShards)
}

func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // only a test can pass a value that cannot be encoded
	}
	return raw
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// lookup returns the value to serve and a channel that is closed at the next change.
func (p *Platform) lookup(key string) (v client.Value, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v = p.values[key]
	if p.frozen != nil {
		v = p.frozen[key]
	}
	return v, p.down, p.changed
}

func (p *Platform) allowRead() bool {
	allowed := p.limiter.Allow()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if !allowed {
		p.limited++
	}
	return allowed
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	if !p.allowRead() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, down, changed := p.lookup(r.PathValue("key"))
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if v.Revision > after {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}
