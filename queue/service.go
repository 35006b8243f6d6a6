package queue

import (
	"slices"
	"sort"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// maxPassedOver is how many items may be taken from more urgent bands while a band waits;
// after that, the band's first item that fits is taken ahead of them. Without it, a
// sustained surplus of urgent requests would starve the others.
const maxPassedOver = 16

// serviceQueue is a priority queue of the items of one service, with one band per urgency.
type serviceQueue struct {
	service ident.Service
	bands   []*band
	count   int
	// taken and skippedClasses are buffers reused by scan.
	taken          []*queuedItem
	skippedClasses []ident.Class
}

// add adds an item to the band of its urgency.
func (s *serviceQueue) add(element *queuedItem) {
	s.bandFor(element.item.Urgency).add(element)
	s.count++
}

// remove removes an item from its band.
func (s *serviceQueue) remove(element *queuedItem) {
	s.bandFor(element.item.Urgency).remove(element)
	s.count--
}

// bandFor returns the band of an urgency and creates it if needed; bands are sorted by urgency.
func (s *serviceQueue) bandFor(urgency int) *band {
	index := sort.Search(len(s.bands), func(i int) bool { return s.bands[i].urgency >= urgency })
	if index < len(s.bands) && s.bands[index].urgency == urgency {
		return s.bands[index]
	}
	band := newBand(urgency)
	s.bands = append(s.bands, nil)
	copy(s.bands[index+1:], s.bands[index:])
	s.bands[index] = band
	return band
}

// shedCandidates returns count items to shed in favour of an item of the given urgency:
// the least urgent first and among those the latest deadline first. It returns nil if
// fewer than count items are less urgent.
func (s *serviceQueue) shedCandidates(count, urgency int) []*queuedItem {
	var found []*queuedItem
	for i := len(s.bands) - 1; i >= 0 && len(found) < count; i-- {
		band := s.bands[i]
		if band.urgency <= urgency {
			return nil
		}
		found = append(found, band.latestDeadlines(count-len(found))...)
	}
	if len(found) < count {
		return nil
	}
	return found
}

// appendExpired appends the items whose deadline has passed to found.
func (s *serviceQueue) appendExpired(now clock.Time, found []*queuedItem) []*queuedItem {
	for _, b := range s.bands {
		for _, e := range b.elements {
			if e.item.Deadline.Before(now) {
				found = append(found, e)
			}
		}
	}
	return found
}

// scan visits the items in order and returns the taken ones. The slice is valid until
// the next scan.
func (s *serviceQueue) scan(now clock.Time, visit func(Item) Decision) []*queuedItem {
	s.taken = s.taken[:0]
	s.skippedClasses = s.skippedClasses[:0]
	stopped := s.visitPassedOver(now, visit)
	for i := 0; i < len(s.bands) && !stopped; i++ {
		stopped = s.visitBand(now, i, len(s.bands[i].elements), visit)
	}
	return s.taken
}

// visitPassedOver first lets each band that was passed over too often take one item. It
// reports whether the callback stopped.
func (s *serviceQueue) visitPassedOver(now clock.Time, visit func(Item) Decision) bool {
	for i := 1; i < len(s.bands); i++ {
		band := s.bands[i]
		if band.passedOver < maxPassedOver || len(band.elements) == 0 {
			continue
		}
		if s.visitBand(now, i, 1, visit) {
			return true
		}
	}
	return false
}

// visitBand visits the band at index until its end, until limit items were taken or
// until the callback stops. It reports whether the callback stopped.
func (s *serviceQueue) visitBand(now clock.Time, index, limit int, visit func(Item) Decision) bool {
	band := s.bands[index]
	first := len(s.taken)
	stopped := false
	band.visit(func(element *queuedItem) (take, end bool) {
		if element.item.Deadline.Before(now) || s.classSkipped(element.item.Class) {
			return false, false
		}
		switch visit(element.item) {
		case Take:
			s.taken = append(s.taken, element)
			s.count--
			return true, len(s.taken)-first >= limit
		case SkipClass:
			s.skippedClasses = append(s.skippedClasses, element.item.Class)
			return false, !band.mixedClasses
		case Stop:
			stopped = true
			return false, true
		}
		return false, false
	})
	s.updatePassedOver(index, len(s.taken)-first)
	return stopped
}

// updatePassedOver updates the counts after items were taken from the band at index.
func (s *serviceQueue) updatePassedOver(index, taken int) {
	if taken == 0 {
		return
	}
	s.bands[index].passedOver = 0
	for _, b := range s.bands[index+1:] {
		if len(b.elements) > 0 {
			b.passedOver += taken
		}
	}
}

// classSkipped reports whether the callback returned SkipClass for this class.
func (s *serviceQueue) classSkipped(class ident.Class) bool {
	return slices.Contains(s.skippedClasses, class)
}
