package stage

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// pauser is implemented by entries of this process, which can be paused.
type pauser interface {
	BlockCore(d clock.Span)
}

// PauseEntry pauses the decision loop of an entry for the duration d and returns afterwards, to
// simulate a stopped process. Meanwhile its peers and callers get no answers; afterwards
// it continues with an outdated view. It returns a KindUnknown error if there is no such
// entry or it runs in another process.
func (s *Deployment) PauseEntry(name ident.Entry, d clock.Span) error {
	e, err := s.findEntry(name)
	if err != nil {
		return err
	}
	h, ok := e.server.(pauser)
	if !ok {
		return fault.Newf("hold", KindUnknown, "entry %s runs in another process and can't be paused", name)
	}
	h.BlockCore(d)
	return nil
}
