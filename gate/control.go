package gate

import (
	"slices"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// restoreGrace is how long the evacuations from before are kept after the store has come back from a
// copy: the operator writes again what the copy lacks.
const restoreGrace = 2300 * clock.Millisecond

// control is what the operator has published, as far as this instance knows.
type control struct {
	// settled is the newest data whose evacuations are in use. Other instances are told these.
	settled        store.Snapshot
	settledVersion ident.Version
	evacuated      []ident.Zone
	// restored is the data of a store that has come back from a copy, until they are settled.
	restored *store.Snapshot
	// newestVersion and newestZones are the version of the configuration and the evacuated zones in the
	// newest data. The version is 0 if there is no valid configuration.
	newestVersion ident.Version
	newestZones   []ident.Zone
	// newestDiffers is set if that configuration has the version in force but other customers.
	newestDiffers bool
	// version is the highest version of the configuration, which is in force, and inForce the data that
	// had it.
	version ident.Version
	inForce store.Snapshot
}

// newest returns the newest data, whether their evacuations are in use or not.
func (c *control) newest() store.Snapshot {
	if c.restored != nil {
		return *c.restored
	}
	return c.settled
}

// apply applies an update. The data of a later era are not settled yet.
func (c *control) apply(update store.Update) {
	switch {
	case c.restored != nil:
		next := c.restored.Apply(update)
		c.restored = &next
	case c.settled.Items != nil && c.settled.Position.Era < update.Position.Era && update.Whole:
		next := store.Snapshot{}.Apply(update)
		c.restored = &next
	default:
		c.settled = c.settled.Apply(update)
	}
	c.confirm(c.newest().Position, c.newest().Read)
}

// confirm records that the data as of a position are complete as of a time.
func (c *control) confirm(position store.Position, read clock.Time) {
	if c.newest().Position != position && c.settled.Position != position {
		return
	}
	c.settled.Read = max(c.settled.Read, read)
	if c.restored != nil {
		c.restored.Read = max(c.restored.Read, read)
	}
}

// settle takes the evacuations of the newest data into use.
func (c *control) settle() {
	c.settled, c.restored = c.newest(), nil
	c.settledVersion, c.evacuated = c.newestVersion, c.newestZones
}

// after returns what is newer than the data of another instance: the settled data, and those with the
// version in force if they are needed too.
func (c *control) after(query syncQuery) (settled, inForce map[string]store.Item) {
	if query.control.Before(c.settled.Position) {
		settled = c.settled.Items
	}
	told := settled != nil && c.settledVersion == c.version
	if query.version < c.version && !told {
		inForce = c.inForce.Items
	}
	return settled, inForce
}

// applyControl applies an update of the operator's data. The lock must be held.
func (s *state) applyControl(update store.Update) {
	before := s.control.newest().Items
	s.control.apply(update)
	if newest := s.control.newest(); before == nil || !sameItems(before, newest.Items) {
		s.control.newestVersion, s.control.newestZones, s.control.newestDiffers = s.applyTable(newest)
	}
	s.settleControl()
}

// proveKeys renews the key lease if data that are complete as of a time are the newest known ones and prove it. The
// lock must be held.
func (s *state) proveKeys(position store.Position, read clock.Time) {
	if s.control.newest().Position == position && s.control.provesInForce() {
		s.lease.prove(read)
	}
}

// settleControl takes the newest evacuations into use, unless the store has just come back from a copy.
// The lock must be held.
func (s *state) settleControl() {
	if s.control.restored != nil && s.clock.Now().Before(s.restoredAt.Add(restoreGrace)) {
		return
	}
	before := s.control.evacuated
	s.control.settle()
	if !slices.Equal(before, s.control.evacuated) {
		s.pool.SetEvacuatedZones(s.control.evacuated)
	}
}

// applyTable puts the configuration in some data into force unless its version is lower than that in
// force. It returns the version, or 0 if there is no valid one, the evacuated zones, and whether the customers differ
// from those of the same version in force. The lock must be held.
func (s *state) applyTable(data store.Snapshot) (version ident.Version, zones []ident.Zone, differs bool) {
	table, zones, err := s.source.Control(data)
	slices.Sort(zones)
	position := []zap.Field{zap.Int64("era", int64(data.Position.Era)), zap.Int64("revision", int64(data.Position.Revision))}
	if err != nil {
		s.log.With(position...).Error("malformed configuration, keeping the version in force", zap.Error(err))
	}
	if table == nil {
		return 0, zones, false
	}
	switch inForce := s.table.Load(); {
	case inForce == nil || table.Version > s.control.version:
		s.putIntoForce(table, data, position)
	case table.Version < s.control.version:
		s.log.With(position...).Info("older configuration ignored", zap.Uint64("version", uint64(table.Version)),
			zap.Uint64("in_force", uint64(s.control.version)))
	case !table.SameCustomers(inForce):
		s.log.With(position...).Warn("configuration with the version in force but other customers ignored", zap.Uint64("version", uint64(table.Version)))
		differs = true
	}
	return table.Version, zones, differs
}

func (s *state) putIntoForce(table *bundle.Table, data store.Snapshot, position []zap.Field) {
	s.log.With(position...).Info("configuration in force", zap.Uint64("version", uint64(table.Version)),
		zap.Uint64("before", uint64(s.control.version)), zap.Int("routes", len(table.Routes)))
	s.table.Store(table)
	names := table.RouteNames()
	s.durations.keepOnly(names)
	s.metrics.keepRoutes(names)
	s.control.version, s.control.inForce = table.Version, data
}

// sameItems reports whether two sets of items have the same keys, each last changed at the same
// position.
func sameItems(a, b map[string]store.Item) bool {
	if len(a) != len(b) {
		return false
	}
	for key, item := range a {
		if other, ok := b[key]; !ok || other.Changed != item.Changed {
			return false
		}
	}
	return true
}
