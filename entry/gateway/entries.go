package gateway

import (
	"bytes"
	"strings"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/source"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// appliedState identifies the store state that this gateway applied last, for logs and for
// other gateways.
type appliedState struct {
	at, changed source.Position
	from        string // the gateway that it came from, empty = the store itself
	appliedAt   time.Time
}

// source returns the name of the gateway that the state came from, or "store".
func (s appliedState) source() string {
	if s.from == "" {
		return "store"
	}
	return s.from
}

// applied returns the state that was applied last, or its zero value if there was none.
func (g *Gateway) applied() appliedState {
	if s := g.appliedState.Load(); s != nil {
		return *s
	}
	return appliedState{}
}

// rules returns the rules that decide which entries are newer than those that the store
// lists after it was restored from an older copy.
//
//   - A configuration with a lower version than the known one is older: versions only rise.
//     One with the same version and different content was written after the restore.
//   - A backend server that reported that it leaves does not return in the same incarnation,
//     so an entry that says otherwise is older. Of two incarnations, the one that started first
//     is older. Entries that give no start time and have two addresses cannot be ordered: the
//     store's entry counts.
//   - An entry that was removed and is listed again is older until the store's lease has
//     expired.
//   - An evacuation that the copy lacks continues until it is withdrawn: sending to a backend
//     server that must get nothing is worse than leaving one out needlessly.
func (g *Gateway) rules() source.Rules {
	return source.Rules{
		Outdated: g.outdated,
		Lasting: func(key string) bool {
			_, evacuation := g.adapter.EvacuatedZone(key)
			return evacuation || key == g.adapter.CatalogKey()
		},
		Permanent: func(key string) bool { return key == g.adapter.CatalogKey() },
		Leaving:   g.isLeavingEntry,
		Lease:     g.settings.Follow.lease(),
	}
}

// isLeavingEntry reports whether an entry belongs to a backend server that leaves.
func (g *Gateway) isLeavingEntry(i source.Item) bool {
	if !strings.HasPrefix(i.Key, g.adapter.BackendsPrefix()) {
		return false
	}
	info, err := g.adapter.DecodeBackend(i.Key, i.Value)
	return err == nil && info.Draining
}

func (g *Gateway) outdated(known, listed source.Item) bool {
	switch {
	case known.Key == g.adapter.CatalogKey():
		return g.outdatedCatalog(known, listed)
	case strings.HasPrefix(known.Key, g.adapter.BackendsPrefix()):
		return g.outdatedBackend(known, listed)
	default:
		return false
	}
}

func (g *Gateway) outdatedCatalog(known, listed source.Item) bool {
	if bytes.Equal(known.Value, listed.Value) {
		return false
	}
	before, err := g.adapter.DecodeCatalog(known.Value)
	if err != nil {
		return false // it was never in force
	}
	after, err := g.adapter.DecodeCatalog(listed.Value)
	return err != nil || after.Version < before.Version
}

func (g *Gateway) outdatedBackend(known, listed source.Item) bool {
	before, err := g.adapter.DecodeBackend(known.Key, known.Value)
	if err != nil {
		return false // it named no server
	}
	after, err := g.adapter.DecodeBackend(listed.Key, listed.Value)
	if err != nil {
		return false // it names no server now
	}
	if before.Started != after.Started && before.Started != 0 && after.Started != 0 {
		return after.Started < before.Started
	}
	return before.Address == after.Address && before.Draining && !after.Draining
}

// applyUpdate applies what the store holds.
func (g *Gateway) applyUpdate(u source.Update) {
	g.applyCatalog(u)
	g.applyEvacuations(u)
	g.applyBackends(u)
	g.appliedState.Store(&appliedState{at: u.Position, changed: u.Changed, from: u.From, appliedAt: clock.Now()})
	g.listed.Store(true)
}

// catalogEntry is the configuration entry that was processed last.
type catalogEntry struct {
	at    source.Position
	value []byte
}

// applyCatalog puts a published configuration into force.
func (g *Gateway) applyCatalog(u source.Update) {
	item, ok := u.Items[g.adapter.CatalogKey()]
	if !ok {
		g.log.Warn().Uint64("era", u.Term).Uint64("revision", u.Revision).Msg("no configuration is published")
		return
	}
	if item.Position == g.catalogEntry.at {
		return
	}
	// Different content with the same version can only have been written after the store
	// was restored.
	rewritten := item.Term > g.catalogEntry.at.Term && !bytes.Equal(item.Value, g.catalogEntry.value)
	g.catalogEntry = catalogEntry{at: item.Position, value: item.Value}
	content, err := g.adapter.DecodeCatalog(item.Value)
	var next *catalog.Snapshot
	if err == nil {
		next, err = catalog.New(content)
	}
	before := g.catalog.Version()
	if err != nil {
		g.log.Error().Err(err).Uint64("era", item.Term).Uint64("revision", item.Revision).Uint64("in_force", before).Msg("configuration refused")
		return
	}
	if !g.catalog.Apply(next, rewritten) {
		g.log.Info().Uint64("version", next.Version).Uint64("in_force", before).Uint64("era", item.Term).Uint64("revision", item.Revision).
			Msg("configuration not newer than the one in force")
		return
	}
	g.log.Info().Uint64("version", next.Version).Uint64("before", before).Uint64("era", item.Term).Uint64("revision", item.Revision).
		Str("from", u.From).Int("routes", len(content.Routes)).Int("teams", len(content.Teams)).Msg("configuration in force")
}

// applyBackends applies the list of backend servers.
func (g *Gateway) applyBackends(u source.Update) {
	list := make([]balance.Info, 0, len(u.Items))
	refusedEntries := make(map[string]source.Position)
	for key, item := range u.Items {
		if !strings.HasPrefix(key, g.adapter.BackendsPrefix()) {
			continue
		}
		info, err := g.adapter.DecodeBackend(key, item.Value)
		if err != nil {
			refusedEntries[key] = item.Position
			if before, ok := g.refusedEntries[key]; !ok || before != item.Position { // each is logged once
				g.inst.entriesRefused.Inc()
				g.log.Error().Err(err).Str("key", key).Uint64("era", item.Term).Uint64("revision", item.Revision).Msg("backend server refused")
			}
			continue
		}
		info.At = item.Position
		list = append(list, info)
	}
	g.refusedEntries = refusedEntries
	now := clock.Now()
	g.registry.Update(list, u.Position, u.MissingGrace, now)
	g.limits.updateCold(list, now)
}
