package configuration

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"baywall.example/core/rendezvous"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

// maxTombstones is the largest number of tombstones that a Store retains.
const maxTombstones = 4096

// Record is one version of one resource, as received from the platform or a peer.
type Record struct {
	Key      resource.Key
	Revision uint64 // of Spec
	Spec     []byte // JSON, nil if no version was ever valid
	Deleted  bool
	// RejectedRevision is the revision of a newer version that did not validate.
	RejectedRevision uint64
	RejectedReason   string
}

// latest returns the larger of Revision and RejectedRevision.
func (r Record) latest() uint64 { return max(r.Revision, r.RejectedRevision) }

// Batch is a set of records at one revision of the configuration.
type Batch struct {
	Revision uint64
	Full     bool // Records is complete; missing resources were deleted
	Records  []Record
}

// Status reports which version of a resource is in force and which was rejected.
type Status struct {
	Key              resource.Key
	Revision         uint64 // in force, 0 if none
	RejectedRevision uint64 // newer than Revision, 0 if none
	RejectedReason   string
}

// View is a snapshot of the configuration in force. It is immutable once published, so
// readers need no lock.
type View struct {
	Revision uint64
	Services map[string]*resource.Service
	Intents  map[string]*resource.Intent // by service
	Groups   map[string]*resource.Group

	versions map[resource.Key]uint64 // of all resources except teams
	teams    [teamShards]map[string]teamVersion
}

// teamShards is the number of maps over which a View spreads its teams. A change of one
// team rebuilds only one of them.
const teamShards = 256

// teamVersion is a team with its revision.
type teamVersion struct {
	team     *resource.Team
	revision uint64
}

func teamShard(name string) uint64 { return rendezvous.Hash(name) % teamShards }

// Team returns the team with the given name, nil if there is none.
func (v *View) Team(name string) *resource.Team { return v.teams[teamShard(name)][name].team }

// Version returns the revision of a resource that is in force, 0 if there is none.
func (v *View) Version(key resource.Key) uint64 {
	if key.Kind == resource.KindTeam {
		return v.teams[teamShard(key.Name)][key.Name].revision
	}
	return v.versions[key]
}

// Digests are hashes over all versions in force, which peers compare to detect
// differences.
type Digests struct {
	Core  uint64 // services, intents and groups
	Teams uint64
}

// Store holds the configuration of one process. It is safe for concurrent use.
type Store struct {
	withoutTeams bool
	view         atomic.Pointer[View]

	mu                sync.Mutex
	revision          uint64
	records           map[resource.Key]*entry
	tombstones        int
	compactedRevision uint64 // tombstones up to this revision may have been dropped
	digests           Digests
	changed           chan struct{}
	dirty             [teamShards]bool // team shards that changed since the last publish
}

// entry is a record that holds its content only in decoded form.
type entry struct {
	Record
	spec resource.Spec // nil if deleted or never valid
}

// full returns the record with its content encoded as JSON.
func (e *entry) full() Record {
	r := e.Record
	if e.spec != nil {
		r.Spec, _ = json.Marshal(e.spec) // cannot fail: specs are plain structs
	}
	return r
}

// NewStore returns an empty store. If withoutTeams is set it ignores team records, which
// agents do not use.
func NewStore(withoutTeams bool) *Store {
	s := &Store{
		withoutTeams: withoutTeams,
		records:      make(map[resource.Key]*entry),
		changed:      make(chan struct{}),
	}
	s.view.Store(emptyView())
	return s
}

func emptyView() *View {
	return &View{
		Services: make(map[string]*resource.Service),
		Intents:  make(map[string]*resource.Intent),
		Groups:   make(map[string]*resource.Group),
		versions: make(map[resource.Key]uint64),
	}
}

// View returns the configuration in force.
func (s *Store) View() *View { return s.view.Load() }

// Revision returns the largest configuration revision that was applied.
func (s *Store) Revision() uint64 { return s.View().Revision }

// Digest returns the digests of the versions in force.
func (s *Store) Digest() Digests {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digests
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply merges a batch into the store. It returns the status of each resource whose
// version or rejection changed; the result is empty if none did.
func (s *Store) Apply(b Batch) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Status
	for _, rec := range b.Records {
		rec.Key.Kind = canonicalKind(rec.Key.Kind)
		if s.withoutTeams && rec.Key.Kind == resource.KindTeam {
			continue
		}
		if s.merge(rec) {
			changes = append(changes, s.statusOf(rec.Key))
		}
	}
	if b.Full && b.Revision > s.revision {
		changes = append(changes, s.deleteMissing(b)...)
	}
	if b.Revision <= s.revision && len(changes) == 0 {
		return nil
	}
	s.revision = max(s.revision, b.Revision)
	s.publish()
	return changes
}

// merge applies one record to its entry and reports whether the entry changed.
func (s *Store) merge(rec Record) bool {
	old := s.records[rec.Key]
	if old == nil {
		old = &entry{Record: Record{Key: rec.Key}}
	}
	next := *old
	if rec.Revision > old.Revision {
		s.mergeVersion(&next, rec)
	}
	if rec.RejectedRevision > next.latest() {
		next.RejectedRevision = rec.RejectedRevision
		next.RejectedReason = rec.RejectedReason
	}
	if next.RejectedRevision <= next.Revision {
		next.RejectedRevision = 0
		next.RejectedReason = ""
	}
	if next.Revision == old.Revision && next.RejectedRevision == old.RejectedRevision {
		return false
	}
	s.replace(old, &next)
	return true
}

func (s *Store) mergeVersion(next *entry, rec Record) {
	if rec.Deleted {
		next.Revision, next.spec, next.Deleted = rec.Revision, nil, true
		return
	}
	if rec.Spec == nil {
		return
	}
	spec, err := resource.Decode(rec.Key, rec.Spec)
	if err != nil {
		if rec.Revision > next.RejectedRevision {
			next.RejectedRevision = rec.Revision
			next.RejectedReason = err.Error()
		}
		return
	}
	next.Revision, next.spec, next.Deleted = rec.Revision, spec, false
}

// canonicalKind returns the constant for a known kind, so that thousands of resources
// share one string.
func canonicalKind(k resource.Kind) resource.Kind {
	for _, known := range resource.Kinds() {
		if k == known {
			return known
		}
	}
	return k
}

// replace stores an entry and updates the digests and the tombstone count.
func (s *Store) replace(old, next *entry) {
	digest := &s.digests.Core
	if next.Key.Kind == resource.KindTeam {
		digest = &s.digests.Teams
		s.dirty[teamShard(next.Key.Name)] = true
	}
	*digest ^= versionHash(old.Record) ^ versionHash(next.Record)
	if next.Deleted && !old.Deleted {
		s.tombstones++
	}
	if old.Deleted && !next.Deleted {
		s.tombstones--
	}
	s.records[next.Key] = next
	if s.tombstones > maxTombstones {
		s.dropTombstones()
	}
}

// versionHash hashes a resource and its version in force. A resource that has none or is
// deleted hashes to 0, so that dropping a tombstone does not change the digest.
func versionHash(r Record) uint64 {
	if r.Revision == 0 || r.Deleted {
		return 0
	}
	return rendezvous.Weight(rendezvous.Hash(r.Key.String()), r.Revision)
}

func (s *Store) dropTombstones() {
	for key, e := range s.records {
		if e.Deleted && e.RejectedRevision == 0 {
			s.compactedRevision = max(s.compactedRevision, e.Revision)
			delete(s.records, key)
		}
	}
	s.tombstones = 0
}

func (s *Store) deleteMissing(b Batch) []Status {
	present := make(map[resource.Key]struct{}, len(b.Records))
	for _, rec := range b.Records {
		present[rec.Key] = struct{}{}
	}
	var changes []Status
	for key, e := range s.records {
		_, ok := present[key]
		if ok || e.Deleted || e.latest() > b.Revision {
			continue
		}
		s.merge(Record{Key: key, Revision: b.Revision, Deleted: true})
		changes = append(changes, s.statusOf(key))
	}
	return changes
}

// publish builds a new View and notifies the waiters on Changed. Team shards that did not
// change are shared with the previous View.
func (s *Store) publish() {
	v := emptyView()
	v.Revision = s.revision
	v.teams = s.view.Load().teams
	for i, dirty := range s.dirty {
		if dirty {
			v.teams[i] = nil
		}
	}
	for key, e := range s.records {
		if e.spec == nil {
			continue
		}
		if key.Kind == resource.KindTeam {
			s.publishTeam(v, key.Name, e)
			continue
		}
		v.versions[key] = e.Revision
		switch spec := e.spec.(type) {
		case *resource.Service:
			v.Services[key.Name] = spec
		case *resource.Intent:
			v.Intents[spec.Service] = spec
		case *resource.Group:
			v.Groups[key.Name] = spec
		}
	}
	s.dirty = [teamShards]bool{}
	s.view.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) publishTeam(v *View, name string, e *entry) {
	i := teamShard(name)
	if !s.dirty[i] {
		return
	}
	if v.teams[i] == nil {
		v.teams[i] = make(map[string]teamVersion)
	}
	if team, ok := e.spec.(*resource.Team); ok {
		v.teams[i][name] = teamVersion{team: team, revision: e.Revision}
	}
}

func (s *Store) statusOf(key resource.Key) Status {
	e := s.records[key]
	if e == nil {
		return Status{Key: key}
	}
	revision := e.Revision
	if e.Deleted {
		revision = 0
	}
	return Status{Key: key, Revision: revision, RejectedRevision: e.RejectedRevision, RejectedReason: e.RejectedReason}
}

// Resource returns the record of a resource, and false if it does not exist.
func (s *Store) Resource(key resource.Key) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[key]
	if e == nil || e.Deleted {
		return Record{}, false
	}
	return e.full(), true
}

// Select returns the records of one kind that are not deleted, in unspecified order.
func (s *Store) Select(kind resource.Kind) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Record
	for key, e := range s.records {
		if key.Kind == kind && !e.Deleted {
			out = append(out, e.full())
		}
	}
	return out
}

// Count returns the number of resources of a kind.
func (s *Store) Count(kind resource.Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key, e := range s.records {
		if key.Kind == kind && !e.Deleted {
			count++
		}
	}
	return count
}

// Since returns the records that changed after the revision, as a batch for a peer. If
// full is set, or if tombstones newer than the revision may have been dropped, it returns
// all records.
func (s *Store) Since(revision uint64, full, withoutTeams bool) Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	full = full || revision < s.compactedRevision || revision == 0
	b := Batch{Revision: s.revision, Full: full}
	for key, e := range s.records {
		if withoutTeams && key.Kind == resource.KindTeam {
			continue
		}
		if full || e.latest() > revision {
			b.Records = append(b.Records, e.full())
		}
	}
	return b
}

// VMs holds the newest list of VMs received. It is safe for concurrent use.
type VMs struct {
	list atomic.Pointer[vm.List]

	mu      sync.Mutex
	changed chan struct{}
}

// NewVMs returns VMs that hold an empty list at revision 0.
func NewVMs() *VMs {
	v := &VMs{changed: make(chan struct{})}
	v.list.Store(&vm.List{})
	return v
}

// List returns the newest list.
func (v *VMs) List() vm.List { return *v.list.Load() }

// Changed returns a channel that is closed at the next change.
func (v *VMs) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Apply replaces the list if the given one has a larger revision, and reports whether it
// did.
func (v *VMs) Apply(l vm.List) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l.Revision <= v.list.Load().Revision {
		return false
	}
	v.list.Store(&l)
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}
