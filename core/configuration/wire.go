package configuration

import (
	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
)

// RecordToWire converts a record to its protobuf message.
func RecordToWire(r Record) *wire.Record {
	return &wire.Record{
		Kind: string(r.Key.Kind), Name: r.Key.Name, Revision: r.Revision, Spec: r.Spec,
		Deleted: r.Deleted, RejectedRevision: r.RejectedRevision, RejectedReason: r.RejectedReason,
	}
}

// RecordFromWire converts a protobuf message to a record.
func RecordFromWire(w *wire.Record) Record {
	return Record{
		Key:              resource.Key{Kind: resource.Kind(w.GetKind()), Name: w.GetName()},
		Revision:         w.GetRevision(),
		Spec:             w.GetSpec(),
		Deleted:          w.GetDeleted(),
		RejectedRevision: w.GetRejectedRevision(),
		RejectedReason:   w.GetRejectedReason(),
	}
}

// ReplyToPull builds the reply to a peer's Pull from the stores of this process.
func ReplyToPull(p *wire.Pull, store *Store, vms *VMs) *wire.PullReply {
	digests := store.Digest()
	digest := digests.Core
	if !p.GetWithoutTeams() {
		digest ^= digests.Teams
	}
	sameRevision := p.GetConfigRevision() == store.Revision()
	differs := sameRevision && p.GetConfigDigest() != digest
	reply := &wire.PullReply{ConfigRevision: store.Revision()}
	if differs || p.GetConfigRevision() < store.Revision() {
		b := store.Since(p.GetConfigRevision(), differs, p.GetWithoutTeams())
		reply.ConfigRevision, reply.Full = b.Revision, b.Full
		for _, r := range b.Records {
			reply.Records = append(reply.Records, RecordToWire(r))
		}
	}
	list := vms.List()
	reply.VmsRevision = list.Revision
	if p.GetVmsRevision() < list.Revision {
		for _, v := range list.VMs {
			reply.Vms = append(reply.Vms, vmToWire(v))
		}
	}
	return reply
}

// NewPull builds a Pull that states the revisions and the digest of this process.
func NewPull(store *Store, vms *VMs) *wire.Pull {
	d := store.Digest()
	return &wire.Pull{
		ConfigRevision: store.Revision(),
		VmsRevision:    vms.List().Revision,
		WithoutTeams:   store.withoutTeams,
		ConfigDigest:   d.Core ^ d.Teams,
	}
}

// ApplyPull merges a peer's reply into the stores of this process. It returns the
// resources that changed, and whether the list of VMs did.
func ApplyPull(r *wire.PullReply, store *Store, vms *VMs) ([]Status, bool) {
	b := Batch{Revision: r.GetConfigRevision(), Full: r.GetFull()}
	for _, rec := range r.GetRecords() {
		b.Records = append(b.Records, RecordFromWire(rec))
	}
	changes := store.Apply(b)
	if len(r.GetVms()) == 0 {
		return changes, false
	}
	list := vm.List{Revision: r.GetVmsRevision()}
	for _, v := range r.GetVms() {
		list.VMs = append(list.VMs, vmFromWire(v))
	}
	return changes, vms.Apply(list)
}

func vmToWire(v vm.VM) *wire.VMRecord {
	return &wire.VMRecord{
		Id: string(v.ID), Zone: string(v.Zone), Role: string(v.Role), Http: v.HTTP,
		Link: v.Link, Probe: v.Probe, Services: v.Services, State: string(v.State),
	}
}

func vmFromWire(w *wire.VMRecord) vm.VM {
	return vm.VM{
		ID: vm.ID(w.GetId()), Zone: zone.ID(w.GetZone()), Role: vm.Role(w.GetRole()), HTTP: w.GetHttp(),
		Link: w.GetLink(), Probe: w.GetProbe(), Services: w.GetServices(), State: vm.State(w.GetState()),
	}
}
