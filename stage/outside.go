package stage

import (
	"context"
	"errors"

	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// server is a running entry, in this process or in another one.
type server interface {
	Address() string
	Admin() string
	Peer() string
	Close() error
	Drain(ctx context.Context) error
}

// Addresses are those that an entry in another process listens on.
type Addresses struct {
	Caller string
	Admin  string
	Peer   string
}

// outside is an entry in another process, which this one can't end.
type outside struct {
	addresses Addresses
}

func (o outside) Address() string { return o.addresses.Caller }
func (o outside) Admin() string   { return o.addresses.Admin }
func (o outside) Peer() string    { return o.addresses.Peer }
func (o outside) Close() error    { return nil }

func (o outside) Drain(context.Context) error {
	return errors.New("the entry runs in another process")
}

// Settings returns the settings of one more entry in a region, for an entry that
// runs in another process. Its ports are picked by the system.
func (s *Stage) Settings(r ident.Region) (config.Entry, error) { return s.settings(r) }

// Join puts an entry of another process on the list. A later call for the same
// name replaces the addresses.
func (s *Stage) Join(name ident.Entry, r ident.Region, a Addresses) error {
	e := &Entry{Name: name, Region: r, server: outside{a}, state: watch.StateLive}
	if old, err := s.find(name); err == nil {
		s.remove(old)
	}
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	return s.List()
}

// Drop takes an entry of another process off the list.
func (s *Stage) Drop(name ident.Entry) error {
	e, err := s.find(name)
	if err != nil {
		return fault.Wrap("drop", KindUnknown, err)
	}
	s.remove(e)
	return s.List()
}
