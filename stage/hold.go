package stage

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// holder is an entry of this process, which can be held.
type holder interface {
	Hold(d clock.Span)
}

// Hold keeps an entry from deciding anything for a while and returns after it. Its
// peers and callers get no answer meanwhile, and it wakes up with an old view.
func (s *Stage) Hold(name ident.Entry, d clock.Span) error {
	e, err := s.find(name)
	if err != nil {
		return err
	}
	h, ok := e.server.(holder)
	if !ok {
		return fault.Newf("hold", KindUnknown, "entry %s runs in another process", name)
	}
	h.Hold(d)
	return nil
}
