package gate

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// applyOwnList applies an update of the list that this instance has read itself.
func (s *state) applyOwnList(update store.Update) {
	s.recordAnswer()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordEra(update.Position.Era)
	s.logOlder("endpoints", update.Position, s.listing.position)
	malformed := s.listing.applyUpdate(update, s.source.EndpointPrefix(), s.source.Endpoint)
	for _, key := range malformed {
		s.log.Warn("malformed endpoint entry", zap.String("key", key))
	}
	s.publishList()
}

// applyOwnControl applies an update of the operator's data that this instance has read itself.
func (s *state) applyOwnControl(update store.Update) {
	s.recordAnswer()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordEra(update.Position.Era)
	s.logOlder("control", update.Position, s.control.newest().Position)
	if !s.control.settled.Position.Known() && update.Position.Era > 0 {
		s.provesFrom = s.clock.Now().Add(restoreGrace)
	}
	s.applyControl(update)
	if !s.clock.Now().Before(s.provesFrom) {
		s.proveKeys(update.Position, update.Read)
	}
}

// logOlder logs that an answer of the store is ignored because it is older than what is known.
func (s *state) logOlder(content string, answer, known store.Position) {
	if answer.Before(known) {
		s.log.Info("older data of the store ignored", zap.String("followed", content), zap.Int64("era", int64(answer.Era)),
			zap.Int64("revision", int64(answer.Revision)), zap.Int64("known", int64(known.Revision)))
	}
}

// recordEra records an era of the store. In a later one than before, the store has come back from a copy:
// entries and evacuations that the copy lacks or still has are written again soon. The lock must be held.
func (s *state) recordEra(era store.Era) {
	if era <= s.era {
		return
	}
	if s.listing.position.Known() || s.control.settled.Position.Known() {
		s.restoredAt = s.clock.Now()
		s.pool.RecordRestore(s.restoredAt)
		s.log.Warn("store came back from a copy", zap.Int64("era", int64(era)), zap.Int64("before", int64(s.era)),
			zap.Int64("known", int64(s.listing.position.Revision)))
	}
	s.era = era
}

// applySync applies what another instance has answered that was asked at a time.
func (s *state) applySync(asked clock.Time, received syncResponse) {
	s.removeKeys(received.Control)
	s.removeKeys(received.InForce)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordEra(max(received.Era, received.List.At.Era, received.ControlPosition.Era))
	s.listDiffers = s.listing.applyDelta(asked, received.List)
	if s.listing.position.Known() {
		s.publishList()
	}
	s.applySyncedControl(asked, received)
}

// removeKeys replaces the keys of customers in the data of another instance, which may be of a build that doesn't.
func (s *state) removeKeys(items map[string]store.Item) {
	for key, item := range items {
		items[key] = s.source.WithoutKeys(item)
	}
}

// applySyncedControl applies the operator's data that another instance has answered. The lock must be held.
func (s *state) applySyncedControl(asked clock.Time, received syncResponse) {
	update := store.Update{
		Whole: true, Position: received.ControlPosition, Read: asked.Add(-received.ControlAge), Items: slices.Collect(maps.Values(received.Control)),
	}
	if received.Era > received.ControlPosition.Era && s.restoredAt == 0 {
		s.restoredAt = s.clock.Now() // this instance has started after the restore, and the other one keeps the evacuations
	}
	if received.InForce != nil {
		s.applyTable(store.Snapshot{Items: received.InForce, Position: received.ControlPosition})
	}
	if received.Control != nil {
		s.applyControl(update)
	} else {
		s.control.confirm(update.Position, update.Read)
		s.settleControl()
	}
	if received.Era == received.ControlPosition.Era { // else the other instance has data from before a restore
		s.proveKeys(update.Position, update.Read)
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
			zap.String("service", string(c.Service)), zap.Int64("revision", int64(s.listing.position.Revision)))
		switch c.Kind {
		case pool.Restarted:
			s.recordCrash(now, c.Endpoint)
		case pool.Gone:
			s.recordGone(now, c.Endpoint)
		}
	}
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

// listPosition returns the position of the list, and controlPosition that of the operator's data.
func (s *state) listPosition() store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing.position
}

// listRead returns the time as of which the list is complete.
func (s *state) listRead() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing.read
}

func (s *state) controlPosition() store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.newest().Position
}

// syncURI returns the URI at which another instance tells what is newer than the data of this one.
func (s *state) syncURI() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := syncQuery{list: s.listing.position, control: s.control.newest().Position, version: s.control.version}
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
	response = syncResponse{Era: s.era, ControlPosition: s.control.settled.Position, ControlAge: now.Sub(s.control.settled.Read)}
	if s.listing.position.Known() {
		response.List = s.listing.since(now, query.list, query.digests)
	}
	response.Control, response.InForce = s.control.after(query)
	return response, response.List.Whole
}
