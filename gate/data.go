package gate

import (
	"slices"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// applyOwnList applies an update of the list that this instance has read itself.
func (s *state) applyOwnList(update store.Update) {
	s.recordAnswer()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logOlder("endpoints", update.Revision, s.listing.revision)
	malformed := s.listing.applyUpdate(update, s.source.EndpointPrefix(), s.source.Endpoint)
	for _, key := range malformed {
		s.log.Warn("malformed endpoint entry", zap.String("key", key))
	}
	s.publishList()
}

// applyOwnControl applies an update of the configuration that this instance has read itself.
func (s *state) applyOwnControl(update store.Update) {
	s.recordAnswer()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logOlder("control", update.Revision, s.control.Revision)
	s.applyControl(s.control.Apply(update))
}

// logOlder logs that an answer of the store is ignored because it is older than what is known.
func (s *state) logOlder(content string, answer, known store.Revision) {
	if answer < known {
		s.log.Info("older data of the store ignored", zap.String("followed", content),
			zap.Int64("revision", int64(answer)), zap.Int64("known", int64(known)))
	}
}

// applySync applies what another instance has answered.
func (s *state) applySync(received syncResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.listDiffers = s.listing.applyDelta(now, received.List)
	if s.listing.revision > 0 {
		s.publishList()
	}
	control := store.Update{Whole: true, Revision: received.ControlRevision, Read: now.Add(-received.ControlAge)}
	switch {
	case received.Control != nil:
		for _, i := range received.Control {
			control.Items = append(control.Items, i)
		}
		s.applyControl(s.control.Apply(control))
	case received.ControlRevision == s.control.Revision:
		s.control.Read = max(s.control.Read, control.Read)
	}
}

// publishList passes the changes of the list to the pool. The lock must be held.
func (s *state) publishList() {
	now := s.clock.Now()
	updated, removed := s.listing.takeUnpublished()
	changes := s.pool.Update(now, s.listing.read, updated, removed)
	s.listed.Store(true)
	if len(changes) > 0 {
		s.closeUnusedRelays()
	}
	for _, c := range changes {
		s.log.Info("endpoint "+c.Kind, zap.String("endpoint", string(c.Endpoint)),
			zap.String("service", string(c.Service)), zap.Int64("revision", int64(s.listing.revision)))
		if c.Kind == pool.Restarted {
			s.recordCrash(now, c.Endpoint)
		}
	}
}

// applyControl applies a new configuration and new evacuations. The lock must be held.
func (s *state) applyControl(snapshot store.Snapshot) {
	if snapshot.Revision < s.control.Revision {
		return
	}
	changed := s.control.Items == nil || !sameItems(s.control.Items, snapshot.Items)
	if !changed {
		s.control = snapshot
		return
	}
	table, zones, err := s.source.Control(snapshot)
	if err != nil {
		s.log.Error("malformed configuration, keeping the version in force", zap.Error(err),
			zap.Int64("revision", int64(snapshot.Revision)))
	}
	s.control = snapshot
	slices.Sort(zones)
	s.pool.SetEvacuatedZones(zones)
	if table == nil {
		return
	}
	before := ident.Version(0)
	if previous := s.table.Load(); previous != nil {
		if table.Version <= previous.Version {
			return
		}
		before = previous.Version
	}
	s.table.Store(table)
	s.log.Info("configuration in force", zap.Uint64("version", uint64(table.Version)),
		zap.Uint64("before", uint64(before)), zap.Int("routes", len(table.Routes)),
		zap.Int64("revision", int64(snapshot.Revision)))
}

// sameItems reports whether two sets of items have the same keys, each last changed at the same
// revision.
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

// recordAnswer records that the store, or an instance that reads it, answered this one.
func (s *state) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = s.clock.Now()
}

// lastAnswer returns when the store, or an instance that reads it, last answered this one.
func (s *state) lastAnswer() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt
}

// listRevision returns the revision of the list, and controlRevision that of the configuration.
func (s *state) listRevision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing.revision
}

func (s *state) controlRevision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.Revision
}

// syncURI returns the URI at which another instance tells what is newer than the data of this one.
func (s *state) syncURI() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := syncQuery{list: s.listing.revision, control: s.control.Revision}
	if s.listDiffers {
		query.digests = &s.listing.digests
	}
	return query.uri()
}

// syncResponse returns what is newer than the data of another instance, and whether that includes
// the whole list.
func (s *state) syncResponse(query syncQuery) (response syncResponse, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	response = syncResponse{ControlRevision: s.control.Revision, ControlAge: now.Sub(s.control.Read)}
	if s.listing.revision > 0 {
		response.List = s.listing.since(now, query.list, query.digests)
	}
	if query.control < s.control.Revision {
		response.Control = s.control.Items
	}
	return response, response.List.Whole
}
