package stage

import (
	"context"
	"errors"

	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// entryServer is a running entry, in this process or in another one.
type entryServer interface {
	Address() string
	AdminAddress() string
	PeerAddress() string
	Close() error
	Drain(ctx context.Context) error
}

// Addresses are the host:port addresses on which an entry in another process listens.
type Addresses struct {
	Caller string
	Admin  string
	Peer   string
}

// externalEntry is an entry in another process. It can't be stopped from this process.
type externalEntry struct {
	addresses Addresses
}

func (x externalEntry) Address() string      { return x.addresses.Caller }
func (x externalEntry) AdminAddress() string { return x.addresses.Admin }
func (x externalEntry) PeerAddress() string  { return x.addresses.Peer }
func (x externalEntry) Close() error         { return nil }

func (x externalEntry) Drain(context.Context) error {
	return errors.New("entry runs in another process and can't be drained from here")
}

// NextSettings returns the settings of another entry in a region, to be run in another
// process. Its ports are chosen by the system.
func (s *Deployment) NextSettings(r ident.Region) (config.Entry, error) { return s.nextSettings(r) }

// AddExternalEntry adds an entry in another process to the instance list and publishes the list. A
// later call for the same name replaces the addresses.
func (s *Deployment) AddExternalEntry(name ident.Entry, r ident.Region, a Addresses) error {
	e := &Entry{Name: name, Region: r, server: externalEntry{a}, state: watch.StateLive}
	if old, err := s.findEntry(name); err == nil {
		s.removeEntry(old)
	}
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	return s.PublishInstances()
}

// RemoveExternalEntry removes an entry in another process from the instance list and publishes the
// list. It returns a KindUnknown error if there is no such entry.
func (s *Deployment) RemoveExternalEntry(name ident.Entry) error {
	e, err := s.findEntry(name)
	if err != nil {
		return fault.Wrap("drop", KindUnknown, err)
	}
	s.removeEntry(e)
	return s.PublishInstances()
}
