package pool

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

const (
	// spareSlotDivisor leaves one in so many slots of a brittle endpoint, rounded, free for what no instance counts, such
	// as new connections and runs whose callers have left.
	spareSlotDivisor = 8
	// shareSettleTime is how long after a change of its share an instance uses no more than it had before and has
	// now. Within it the others hear of the same change and of the requests sent before it.
	shareSettleTime = clock.Second
)

// share is the part of a brittle endpoint's slots that this instance may fill without asking anyone. The slots
// are numbered; slot i belongs to the instance at position (first+i) modulo the number of members.
type share struct {
	first int
	slots int
	// before is the part before the last change, at the time changed.
	before  int
	changed clock.Time
	// known reports whether the share has been computed.
	known bool
}

// update sets the share. One that changes again before the last change has settled stays as small as it was.
func (s *share) update(now clock.Time, first, slots int) {
	s.first = first
	switch {
	case !s.known:
		*s = share{first: first, slots: slots, before: slots, known: true}
	case slots != s.slots:
		if now.Sub(s.changed) >= shareSettleTime {
			s.before = s.slots
		}
		s.before, s.changed, s.slots = min(s.before, s.slots), now, slots
	}
}

// limit bounds the requests in progress until the last change has settled.
func (s *share) limit(now clock.Time) int {
	if now.Sub(s.changed) < shareSettleTime {
		return min(s.before, s.slots)
	}
	return s.slots
}

// shareOf returns how many of the first slots of an endpoint belong to the member at a position.
func shareOf(position, first, members, slots int) int {
	offset := ((position-first)%members + members) % members
	if slots <= offset {
		return 0
	}
	return (slots-offset-1)/members + 1
}

// sharedSlots is the number of slots of a brittle endpoint that the instances divide.
func sharedSlots(slots int) int { return slots - (slots+spareSlotDivisor/2)/spareSlotDivisor }

// updateShares divides the slots of the endpoints of a service among the instances of the region: the slots of all
// endpoints in a row, so that each instance has as many as any other, or one more.
func (p *Pool) updateShares(now clock.Time, service *serviceState) {
	if service.brittle.shared == now {
		return
	}
	service.brittle.shared = now
	position, member := slices.BinarySearch(p.members, p.config.Self)
	first := 0
	service.brittle.ownSlots = 0
	for _, e := range service.regional {
		slots := sharedSlots(e.Slots)
		own := 0
		if member {
			first %= len(p.members)
			own = shareOf(position, first, len(p.members), slots)
		}
		e.share.update(now, first, own)
		first += slots
		service.brittle.ownSlots += own
	}
}
